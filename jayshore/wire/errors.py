"""Errors of the protocol between daemons."""

from jayshore.outcomes import JayshoreError


class WireError(JayshoreError):
    """Base of the errors of this package."""


class MalformedMessageError(WireError):
    """Bytes that are no valid message, or values that do not fit into one."""


class FrameTooLargeError(WireError):
    """A frame exceeds the maximum size."""


class FrameNotSentError(WireError):
    """The frame was not handed over in whole, so the peer cannot act on it."""


class StreamBrokenError(WireError):
    """The connection ended, or nothing more can be read from it."""


class PeerError(WireError):
    """A call to a peer has no answer."""


class PeerUnreachable(PeerError):  # noqa: N818
    """The call was certainly not sent in whole, so it did not run."""


class PeerLost(PeerError):  # noqa: N818
    """The call was sent and the connection ended before the answer."""


class PeerTimedOut(PeerError):  # noqa: N818
    """The call was sent and no answer came in time."""


class PeerFailed(PeerError):  # noqa: N818
    """The peer's handler failed; what it did before is not known."""
