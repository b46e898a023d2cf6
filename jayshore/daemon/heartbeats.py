"""When a daemon sends its next heartbeat to a peer.

An exchange of heartbeats tells both daemons the status of the other, so one
for each pair and interval is enough. Evidence of freshness is different: it
counts only for the daemon that asked, which therefore asks itself when it
needs some.
"""

import dataclasses

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatSchedule:
    """Times of the heartbeats between this daemon and one peer.

    Attributes:
        interval_ms: between two exchanges, in ms.
        is_initiator: whether this daemon is the one that begins exchanges. The
            other one steps in half an interval after one is missing, so that
            both do not begin at the same time.
    """

    interval_ms: Millis
    is_initiator: bool

    def due_at(self, *, sent_at: Millis, received_at: Millis | None) -> Millis:
        """Compute when the next heartbeat is sent at the latest.

        Args:
            sent_at: when this daemon last sent one.
            received_at: when the peer's last own heartbeat arrived, None when
                none did. An answer of the peer does not count: it does not
                show that the peer can reach this daemon.

        Returns:
            Time of the next heartbeat.
        """
        due = sent_at + self.interval_ms
        if received_at is not None:
            grace = 0 if self.is_initiator else self.interval_ms // 2
            due = max(due, received_at + self.interval_ms + grace)
        return Millis(due)
