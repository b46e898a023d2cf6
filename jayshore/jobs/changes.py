"""The writer of a record change, and the errors that refuse a change."""

import dataclasses

from jayshore.jobs.record import WorkerBoot
from jayshore.outcomes import JayshoreError


class TransitionError(JayshoreError):
    """The state of the record does not allow the change."""


class NotOwnerError(TransitionError):
    """The record is owned by the leader of another epoch."""


class JobOverError(TransitionError):
    """The job has ended; its record is final."""


class TaskStateError(TransitionError):
    """The task, its attempt or its job is not in the required state."""


class WorkerNotNamedError(TransitionError):
    """The worker is not in the intent of the record."""


class MissingProofError(TransitionError):
    """The proofs do not rule out that the attempt is running or has run.

    Attributes:
        workers: the workers without sufficient proof.
    """

    def __init__(self, workers: tuple[WorkerBoot, ...]) -> None:
        """Create the error for the given workers.

        Args:
            workers: the workers without sufficient proof.
        """
        super().__init__(f'no sufficient proof for {workers}')
        self.workers = workers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Writer:
    """The leader that makes a change, and the id of the write.

    Attributes:
        epoch: epoch of the leader.
        write_id: random id of this write.
    """

    epoch: int
    write_id: str
