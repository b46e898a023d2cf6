"""Computes when a daemon sends its next heartbeat to a peer.

A heartbeat and its reply give each daemon the status of the other, so one
exchange per pair and interval is enough. Evidence of freshness is valid only
for the daemon that sent the heartbeat, so a daemon that needs evidence sends
one itself.
"""

import dataclasses

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatSchedule:
    """The schedule of heartbeats between this daemon and one peer.

    Attributes:
        interval_ms: interval between two exchanges, in ms.
        is_initiator: whether this daemon normally starts the exchanges. The
            other daemon starts one half an interval after the initiator's is
            overdue, so that both do not send at the same time.
    """

    interval_ms: Millis
    is_initiator: bool

    def due_at(self, *, sent_at: Millis, received_at: Millis | None) -> Millis:
        """Compute the latest time at which to send the next heartbeat.

        Args:
            sent_at: when this daemon last sent a heartbeat.
            received_at: when the last heartbeat sent by the peer arrived,
                None before the first. A reply of the peer does not count: it
                does not show that the peer can open a call to this daemon.

        Returns:
            The due time, on the clock of the arguments.
        """
        due = sent_at + self.interval_ms
        if received_at is not None:
            grace = 0 if self.is_initiator else self.interval_ms // 2
            due = max(due, received_at + self.interval_ms + grace)
        return Millis(due)
