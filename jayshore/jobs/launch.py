"""One decision to start an attempt, while it is carried out."""

import dataclasses

from jayshore.jobs.attempts import Attempt, Phase
from jayshore.jobs.record import JobRecord, WorkerBoot
from jayshore.leases.worker import TaskStartOrder


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Launch:
    """An attempt with the worker that was chosen for it.

    While it waits for the store, a newly opened lease may queue the attempt
    again; the start must then not be sent any more.

    Attributes:
        attempt: the attempt.
        number: of this launch among those of the attempt.
        worker: where it is to start.
    """

    attempt: Attempt
    number: int
    worker: WorkerBoot

    @property
    def is_current(self) -> bool:
        """Whether the attempt has not been decided about again."""
        is_newest = self.attempt.launches == self.number
        return is_newest and self.attempt.phase is Phase.STARTING

    def order(self, record: JobRecord) -> TaskStartOrder:
        """Describe the start to the worker.

        Args:
            record: the job.

        Returns:
            What the worker is told.
        """
        return TaskStartOrder(
            task_id=self.attempt.name,
            attempt=self.attempt.number,
            job_id=record.job_id,
            team=record.team,
            resources=record.demand,
            payload=record.payload,
        )
