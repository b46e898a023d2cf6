"""What a leader knows about the newest attempt of each task.

The record says what may have happened; this says what this leader has seen
since it was elected, and turns it into the proofs of `transitions`.
"""

import enum
from collections.abc import Collection, Iterable, Iterator

from jayshore.jobs.record import JobRecord, WorkerBoot
from jayshore.jobs.transitions import AttemptOver, NeverStarted, Proof


class Phase(enum.Enum):
    """How far an attempt has come, as far as this leader knows.

    `INHERITED` attempts may have been started by an earlier leader on any
    worker of the intent; only the workers can tell.
    """

    INHERITED = 'inherited'
    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    ENDED = 'ended'


def task_name(job_id: str, index: int) -> str:
    """Name a task towards workers.

    Args:
        job_id: the job.
        index: of the task.

    Returns:
        `<job_id>.<index>`.
    """
    return f'{job_id}.{index}'


class Attempt:
    """The newest attempt of one task."""

    def __init__(
        self, *, job_id: str, index: int, number: int, phase: Phase
    ) -> None:
        """Start with what the record says.

        Args:
            job_id: the job.
            index: of the task.
            number: of the attempt.
            phase: how far it has come.
        """
        self.job_id = job_id
        self.index = index
        self.number = number
        self.phase = phase
        self.worker: WorkerBoot | None = None
        self.avoided: frozenset[str] = frozenset()
        self.launches = 0
        self._unresolved: set[WorkerBoot] = set()
        self._never_on: set[WorkerBoot] = set()
        self._over: str = ''

    @property
    def name(self) -> str:
        """Name of the task towards workers."""
        return task_name(self.job_id, self.index)

    @property
    def is_settled(self) -> bool:
        """Whether every worker that may run it has been accounted for."""
        return not self._unresolved

    @property
    def unresolved(self) -> frozenset[WorkerBoot]:
        """The workers that have not been accounted for."""
        return frozenset(self._unresolved)

    @property
    def proof(self) -> Proof:
        """What the workers' answers prove, once all have answered."""
        if self._over:
            return AttemptOver(reason=self._over)
        return NeverStarted(workers=frozenset(self._never_on))

    def await_answers(self, workers: Iterable[WorkerBoot]) -> None:
        """Wait for the word of every worker that may have it.

        Args:
            workers: the intent of the record.
        """
        self._unresolved = set(workers)
        self._never_on = set()
        self._over = ''

    def note_absent(self, worker_id: str, boot_id: str) -> None:
        """Take note that a newly opened lease shows no sign of it.

        Args:
            worker_id: the worker.
            boot_id: its present boot.
        """
        for known in self._of_worker(worker_id):
            self._unresolved.discard(known)
            if known.boot_id == boot_id:
                self._never_on.add(known)
            else:
                self._over = 'worker_report'

    def note_over(self, worker_id: str, reason: str) -> None:
        """Take note that whatever ran on a worker is over.

        Args:
            worker_id: the worker.
            reason: see `AttemptOver`.
        """
        for known in self._of_worker(worker_id):
            self._unresolved.discard(known)
            self._over = reason

    def note_found(self, worker: WorkerBoot) -> None:
        """Take note that a worker has it, which rules all others out.

        Args:
            worker: the worker.
        """
        self.worker = worker
        self._unresolved.clear()

    def _of_worker(self, worker_id: str) -> list[WorkerBoot]:
        return [
            known for known in self._unresolved if known.worker_id == worker_id
        ]


class AttemptTable:
    """The newest attempts of all tasks of a domain."""

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[str, Attempt] = {}

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over a copy, as attempts may end meanwhile."""
        return iter(tuple(self._attempts.values()))

    def find(self, name: str) -> Attempt | None:
        """Look up a task by its name towards workers.

        Args:
            name: `<job_id>.<index>`.

        Returns:
            Its newest attempt, or None when it has ended or is unknown.
        """
        return self._attempts.get(name)

    def of_job(self, record: JobRecord) -> list[Attempt]:
        """List the attempts of a job.

        Args:
            record: the job.

        Returns:
            Those that have not ended.
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
        """Take over the tasks of a record that was just claimed.

        Args:
            record: the claimed record.
            epoch: of this leader; attempts of other epochs are inherited.
            known: indexes of tasks that were taken over before.

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
            if not is_own:
                attempt.await_answers(record.intent)
            self._attempts[attempt.name] = attempt
            adopted.append(attempt)
        return adopted

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended.

        Args:
            attempt: the attempt.
        """
        if self._attempts.get(attempt.name) is attempt:
            del self._attempts[attempt.name]

    def on_worker(self, worker_id: str) -> list[Attempt]:
        """List what is starting or running on a worker.

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
        """Tell whether a task of a job is known to run.

        Args:
            record: the job.

        Returns:
            True when one runs.
        """
        return any(item.phase is Phase.RUNNING for item in self.of_job(record))

    def waiting_jobs(self) -> set[str]:
        """List the jobs of which a task waits for a worker.

        Returns:
            Their ids.
        """
        return {item.job_id for item in self if item.phase is Phase.QUEUED}

    def inherited(self) -> list[Attempt]:
        """List the attempts whose fate is not known.

        Returns:
            The attempts.
        """
        return [item for item in self if item.phase is Phase.INHERITED]
