"""Errors of the protocol between daemons."""

from jayshore.outcomes import JayshoreError


class WireError(JayshoreError):
    """Base class of the errors of this package."""


class MalformedMessageError(WireError):
    """Bytes are not a valid message, or a value does not fit into its field."""


class FrameTooLargeError(WireError):
    """A frame exceeds the maximum length."""


class FrameNotSentError(WireError):
    """The frame was not sent completely, so the peer cannot act on it."""


class StreamBrokenError(WireError):
    """The connection ended; nothing more can be read from it."""


class PeerError(WireError):
    """A call to a peer failed."""


class PeerUnreachable(PeerError):  # noqa: N818
    """The call was certainly not sent completely, so it did not run."""


class PeerLost(PeerError):  # noqa: N818
    """The call was sent and the connection ended before the answer."""


class PeerTimedOut(PeerError):  # noqa: N818
    """The call was sent and no answer came in time."""


class PeerFailed(PeerError):  # noqa: N818
    """The peer's handler failed or its answer is invalid; effects unknown."""
