"""A placement of an attempt whose start is in progress."""

import dataclasses

from jayshore.jobs.attempts import Attempt, Phase
from jayshore.jobs.record import JobRecord, WorkerBoot
from jayshore.leases.worker import TaskStartOrder


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Launch:
    """An attempt with the worker on which it is to start.

    While the launch waits for a store write, a lease that is opened on the
    worker may enqueue the attempt again. The start must not be sent then.

    Attributes:
        attempt: the attempt.
        number: value of `Attempt.launches` for this launch.
        worker: the worker on which to start it.
    """

    attempt: Attempt
    number: int
    worker: WorkerBoot

    @property
    def is_current(self) -> bool:
        """Whether the attempt is still starting because of this launch."""
        is_newest = self.attempt.launches == self.number
        return is_newest and self.attempt.phase is Phase.STARTING

    def start_order(self, record: JobRecord) -> TaskStartOrder:
        """Create the message that starts the attempt on the worker.

        Args:
            record: the job.

        Returns:
            The start order.
        """
        return TaskStartOrder(
            task_id=self.attempt.name,
            attempt=self.attempt.number,
            job_id=record.job_id,
            team=record.team,
            resources=record.demand,
            payload=record.payload,
        )
