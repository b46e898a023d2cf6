"""The state of the latest attempt of each task, as a leader observes it.

The job record holds what may have happened. The attempts here hold what this
leader has observed since it was elected, as proofs for `transitions`.
"""

import enum
from collections.abc import Collection, Iterator

from jayshore.jobs.proofs import NeverSent, Proof, WorkerReport
from jayshore.jobs.record import JobRecord, WorkerBoot


class Phase(enum.Enum):
    """The progress of an attempt, as known to this leader.

    An `INHERITED` attempt may have been started by an earlier leader on any
    worker of the intent; the leader has to ask the workers.
    """

    INHERITED = 'inherited'
    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    ENDED = 'ended'


def task_name(job_id: str, index: int) -> str:
    """Return the task id that is used in messages to and from workers.

    Args:
        job_id: the job.
        index: index of the task.

    Returns:
        The id, `<job_id>.<index>`.
    """
    return f'{job_id}.{index}'


class Attempt:
    """The latest attempt of one task.

    Attributes:
        job_id: the job.
        index: index of the task.
        number: number of the attempt.
        phase: progress of the attempt.
        worker: where it was last placed; None while it waits.
        avoided: ids of workers on which an earlier attempt failed.
        launches: number of placements of the task so far; tells an outdated
            start from the current one.
    """

    def __init__(
        self, *, job_id: str, index: int, number: int, phase: Phase
    ) -> None:
        """Create the attempt from the values in the record.

        Args:
            job_id: the job.
            index: index of the task.
            number: number of the attempt.
            phase: progress of the attempt.
        """
        self.job_id = job_id
        self.index = index
        self.number = number
        self.phase = phase
        self.worker: WorkerBoot | None = None
        self.avoided: frozenset[str] = frozenset()
        self.launches = 0
        self._is_own = phase is not Phase.INHERITED
        self._proofs: dict[WorkerBoot, Proof] = {}

    @property
    def name(self) -> str:
        """The task id in messages to and from workers."""
        return task_name(self.job_id, self.index)

    def proofs(self, record: JobRecord) -> tuple[Proof, ...]:
        """List the proofs about the workers of the intent.

        For an attempt of its own, the leader knows to which worker it has sent
        a start. A start that certainly had no effect counts as not sent.

        Args:
            record: the job.

        Returns:
            At most one proof for each worker of the intent.
        """
        found = []
        for worker in record.intent:
            proof = self._proofs.get(worker)
            if proof is None and self._is_own and worker != self.worker:
                proof = NeverSent(worker=worker)
            if proof is not None:
                found.append(proof)
        return tuple(found)

    def unproved(self, record: JobRecord) -> list[WorkerBoot]:
        """List the workers of the intent for which there is no proof.

        Args:
            record: the job.

        Returns:
            The workers on which the attempt may be running.
        """
        proved = {proof.worker for proof in self.proofs(record)}
        return [worker for worker in record.intent if worker not in proved]

    def add_proof(self, proof: Proof) -> None:
        """Store a proof about one worker.

        Args:
            proof: replaces an earlier proof about the same worker, unless that
                one is a report of the worker itself.
        """
        known = self._proofs.get(proof.worker)
        if not isinstance(known, WorkerReport):
            self._proofs[proof.worker] = proof

    def advance_to(self, number: int) -> None:
        """Switch to the next attempt, which this leader has just recorded.

        Args:
            number: number of the next attempt.
        """
        self.number = number
        self.worker = None
        self._is_own = True
        self._proofs.clear()


class AttemptTable:
    """The latest attempts of all tasks of a domain that have not ended."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._attempts: dict[str, Attempt] = {}

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over a copy, as attempts may be removed meanwhile."""
        return iter(tuple(self._attempts.values()))

    def find(self, name: str) -> Attempt | None:
        """Look up the attempt of a task.

        Args:
            name: the task id, `<job_id>.<index>`.

        Returns:
            The latest attempt, or None when the task has ended or is unknown.
        """
        return self._attempts.get(name)

    def of_job(self, record: JobRecord) -> list[Attempt]:
        """List the attempts of a job.

        Args:
            record: the job.

        Returns:
            Its attempts that are in the table.
        """
        found = (
            self._attempts.get(task_name(record.job_id, task.index))
            for task in record.tasks
        )
        return [attempt for attempt in found if attempt is not None]

    def adopt(
        self,
        record: JobRecord,
        *,
        epoch: int,
        known: Collection[int] = (),
    ) -> list[Attempt]:
        """Add the possibly started tasks of a record that was just claimed.

        Args:
            record: the claimed record.
            epoch: epoch of this leader; attempts of other epochs are inherited.
            known: indexes of tasks that are in the table already.

        Returns:
            The attempts that were added.
        """
        adopted = []
        for task in record.tasks:
            if task.index in known or not task.may_run:
                continue
            is_own = task.attempt_epoch == epoch
            attempt = Attempt(
                job_id=record.job_id,
                index=task.index,
                number=task.attempt,
                phase=Phase.QUEUED if is_own else Phase.INHERITED,
            )
            self._attempts[attempt.name] = attempt
            adopted.append(attempt)
        return adopted

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended.

        Args:
            attempt: the attempt.
        """
        if self._attempts.get(attempt.name) is attempt:
            del self._attempts[attempt.name]

    def on_worker(self, worker_id: str) -> list[Attempt]:
        """List the attempts that are starting or running on a worker.

        Args:
            worker_id: the worker.

        Returns:
            The attempts.
        """
        return [
            attempt
            for attempt in self
            if attempt.worker is not None
            and attempt.worker.worker_id == worker_id
            and attempt.phase in {Phase.STARTING, Phase.RUNNING}
        ]

    def is_running(self, record: JobRecord) -> bool:
        """Check whether a task of a job is known to be running.

        Args:
            record: the job.

        Returns:
            True if at least one is running.
        """
        return any(item.phase is Phase.RUNNING for item in self.of_job(record))

    def waiting_job_ids(self) -> set[str]:
        """Return the ids of the jobs with a task that waits for a worker.

        Returns:
            The job ids.
        """
        return {item.job_id for item in self if item.phase is Phase.QUEUED}

    def unsettled(self, worker_id: str = '') -> list[Attempt]:
        """List the attempts that may need a proof about some worker.

        Args:
            worker_id: attempts that were last placed on this worker are left
                out.

        Returns:
            Inherited, running and ended attempts. An inherited attempt needs a
            proof for every worker of the intent before it counts as ended.
        """
        phases = {Phase.INHERITED, Phase.RUNNING, Phase.ENDED}
        return [
            item
            for item in self
            if item.phase in phases
            and (item.worker is None or item.worker.worker_id != worker_id)
        ]
