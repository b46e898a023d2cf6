"""Who changes a job record, and why a change is refused."""

import dataclasses

from jayshore.jobs.record import WorkerBoot
from jayshore.outcomes import JayshoreError


class TransitionError(JayshoreError):
    """The record does not allow the change."""


class NotOwnerError(TransitionError):
    """The record has another epoch than the writer."""


class JobOverError(TransitionError):
    """The job has ended; nothing of it changes any more."""


class TaskStateError(TransitionError):
    """The task or its attempt is not in the state that the change needs."""


class WorkerNotNamedError(TransitionError):
    """The worker is not in the intent."""


class MissingProofError(TransitionError):
    """The attempt may still be running, or may have run.

    Attributes:
        workers: for which a proof is missing.
    """

    def __init__(self, workers: tuple[WorkerBoot, ...]) -> None:
        """Name the workers.

        Args:
            workers: for which a proof is missing.
        """
        super().__init__(f'no sufficient proof for {workers}')
        self.workers = workers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Writer:
    """Who makes a change.

    Attributes:
        epoch: of the writing leader.
        write_id: random id of this write.
    """

    epoch: int
    write_id: str
