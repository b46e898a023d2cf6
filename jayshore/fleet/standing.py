"""Standing of a job while capacity is full, as the overload policy decides."""

import enum


class Standing(enum.Enum):
    """Standing of a job among the waiting ones.

    `USUAL`: capacity is not full, or its queue has no objective. `PLANNED`: it
    can be in time. `DEFERRED`: it waits for all that can be in time.
    `PROMOTED`: it was accepted, is of no use any more, and is finished now.
    """

    USUAL = 'usual'
    PLANNED = 'planned'
    DEFERRED = 'deferred'
    PROMOTED = 'promoted'
