"""What a leader knows about the newest attempt of each task.

The record says what may have happened; this says what this leader has seen
since it was elected, and turns it into the proofs of `transitions`.
"""

import enum
from collections.abc import Collection, Iterator

from jayshore.jobs.proofs import NeverSent, Proof, WorkerReport
from jayshore.jobs.record import JobRecord, WorkerBoot


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
    """The newest attempt of one task.

    Attributes:
        job_id: the job.
        index: of the task.
        number: of the attempt.
        phase: how far it has come.
        worker: where it is starting or running.
        avoided: workers on which an earlier attempt failed.
        launches: number of starts sent, to tell their results apart.
    """

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
        self._is_own = phase is not Phase.INHERITED
        self._proofs: dict[WorkerBoot, Proof] = {}

    @property
    def name(self) -> str:
        """Name of the task towards workers."""
        return task_name(self.job_id, self.index)

    def proofs(self, record: JobRecord) -> tuple[Proof, ...]:
        """List what is proved about the workers of the intent.

        Of an attempt that this leader wrote itself, it knows where it has sent
        a start; a start that certainly had no effect counts as not sent.

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
        """List the workers of the intent that are not accounted for.

        Args:
            record: the job.

        Returns:
            Those for which there is no proof.
        """
        proved = {proof.worker for proof in self.proofs(record)}
        return [worker for worker in record.intent if worker not in proved]

    def note(self, proof: Proof) -> None:
        """Take note of a proof about one worker.

        Args:
            proof: it replaces an earlier one, unless that one is as strong.
        """
        known = self._proofs.get(proof.worker)
        if not isinstance(known, WorkerReport):
            self._proofs[proof.worker] = proof

    def begin(self, number: int) -> None:
        """Go on to the next attempt, which this leader has just written.

        Args:
            number: of the new attempt.
        """
        self.number = number
        self.worker = None
        self._is_own = True
        self._proofs.clear()


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

    def waiting_job_ids(self) -> set[str]:
        """List the jobs of which a task waits for a worker.

        Returns:
            Their ids.
        """
        return {item.job_id for item in self if item.phase is Phase.QUEUED}

    def unsettled(self, worker_id: str = '') -> list[Attempt]:
        """List the attempts about which a worker's word may be needed.

        Args:
            worker_id: attempts that this worker runs are left out.

        Returns:
            Inherited, running and ended attempts; the end of an inherited one
            needs the word of every worker of the intent.
        """
        phases = {Phase.INHERITED, Phase.RUNNING, Phase.ENDED}
        return [
            item
            for item in self
            if item.phase in phases
            and (item.worker is None or item.worker.worker_id != worker_id)
        ]
