"""Tickets of the placement advice, which permit a worker to run a group."""

import dataclasses

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A worker's permission to run the tasks of a group.

    Attributes:
        text: the ticket.
        valid_until: end of its validity on the local clock, in ms.
    """

    text: str
    valid_until: Millis


def invalidate_ticket(tickets: dict[str, Ticket], worker: str) -> None:
    """Mark a ticket as expired, so that it is renewed before the next start.

    The worker remains one that may run the group.

    Args:
        tickets: tickets of a group by worker.
        worker: worker whose ticket was refused or has expired.
    """
    ticket = tickets.get(worker)
    if ticket is not None:
        tickets[worker] = dataclasses.replace(ticket, valid_until=Millis(0))
