"""A worker in memory: fences, runs and a lease on its own clock.

It does what it is told. It records every run, so that a test can tell whether
a task ran twice at the same time.
"""

import dataclasses
from collections.abc import Callable

import curio

from jayshore.clock import Clock, Millis, MonotonicClock, to_seconds
from jayshore.fleet.interfaces import (
    EndedTask,
    EndKind,
    RenewalReply,
    RenewalRequest,
    RunningTask,
    StartOrder,
    StartReply,
    StartResult,
    WorkerClient,
    WorkerUnreachable,
)
from jayshore.fleet.model import TaskId, format_task_id

_POLL_MS = Millis(2)
_CLOCK_START_MS = 10_000
_HUNDRED_PERCENT = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerTrouble:
    """What goes wrong; tests change it while the worker is in use.

    Attributes:
        silent: calls are not carried out and get no answer.
        refused: connections are refused.
        lose_starts: number of starts without an answer.
        late_ms: a start without an answer is carried out after this time;
            None for never.
        lose_stops: number of stops that are carried out without an answer.
        fail_all: every run ends as failed.
        hang: runs do not end.
    """

    silent: bool = False
    refused: bool = False
    lose_starts: int = 0
    late_ms: Millis | None = Millis(0)
    lose_stops: int = 0
    fail_all: bool = False
    hang: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class RunEntry:
    """A run in the worker's history.

    Attributes:
        task: the task.
        run: number of the run.
        payload: text of the job.
        started_at: on the clock of the test, in ms.
        ended_at: None while it runs.
        kind: how it ended.
        noted: a leader took note of the end.
    """

    task: TaskId
    run: int
    payload: str
    started_at: Millis
    ended_at: Millis | None = None
    kind: EndKind | None = None
    noted: bool = False


class MemoryWorker:
    """The state of a worker.

    Attributes:
        worker_id: its id.
        trouble: what goes wrong.
        history: all runs of all lives.
        clock_percent: speed of its clock; 98 for one that is 2% slow.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        run_ms: Callable[[TaskId], Millis],
        clock: Clock | None = None,
    ) -> None:
        """Start with nothing running.

        Args:
            worker_id: its id.
            run_ms: how long a run of a task takes, in ms.
            clock: the clock of the test.
        """
        self.worker_id = worker_id
        self.trouble = WorkerTrouble()
        self.history: list[RunEntry] = []
        self._clock_speed_percent = _HUNDRED_PERCENT
        self._run_ms = run_ms
        self._clock = clock or MonotonicClock()
        self._born_ms = 1
        self._fence: int
        self._lease_until: int
        self._lease_expired_at: Millis
        self._reset()

    @property
    def clock_ms(self) -> int:
        """The worker's clock."""
        elapsed = self._clock.now() - self._clock_base_at
        return (
            self._clock_base_ms
            + elapsed * self._clock_speed_percent // _HUNDRED_PERCENT
        )

    @property
    def clock_percent(self) -> int:
        """Speed of its clock."""
        return self._clock_speed_percent

    @clock_percent.setter
    def clock_percent(self, percent: int) -> None:
        self._clock_base_ms = self.clock_ms
        self._clock_base_at = self._clock.now()
        self._clock_speed_percent = percent

    @property
    def running(self) -> list[RunEntry]:
        """Runs that have not ended."""
        self._advance()
        return [run for run in self._runs.values() if run.ended_at is None]

    @property
    def unacknowledged(self) -> int:
        """Number of ends that nobody has taken note of."""
        return len(self._ended)

    def end_due_runs(self) -> None:
        """End runs whose time or whose lease is over."""
        self._advance()

    def reboot(self) -> None:
        """Begin another life: everything that runs ends, nothing is known."""
        self._advance()
        for run in self.running:
            run.ended_at = self._clock.now()
        self._born_ms += 1
        self._reset()

    def start(self, order: StartOrder) -> StartReply:
        """Carry out a start.

        Args:
            order: what to start.

        Returns:
            What was done.
        """
        self._advance()
        if order.fence < self._fence:
            return StartReply(result=StartResult.FENCED)
        self._fence = order.fence
        self._extend_lease(order.lease_until_ms)
        known = self._runs.get(order.task)
        if known and known.run == order.run and known.ended_at is None:
            return self._reply(StartResult.STARTED)
        if order.run <= self._highest_ended_run.get(order.task, 0):
            return self._reply(StartResult.OLD_RUN)
        if order.lease_until_ms <= self.clock_ms:
            return self._reply(StartResult.LATE)
        entry = RunEntry(
            task=order.task,
            run=order.run,
            payload=order.payload,
            started_at=self._clock.now(),
        )
        self._runs[order.task] = entry
        self.history.append(entry)
        return self._reply(StartResult.STARTED)

    def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Carry out a stop.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader.

        Returns:
            False for an old fence.
        """
        self._advance()
        if fence < self._fence:
            return False
        self._fence = fence
        self._highest_ended_run[task] = max(
            run, self._highest_ended_run.get(task, 0)
        )
        entry = self._runs.get(task)
        if entry and entry.run == run and entry.ended_at is None:
            self._end_run(entry, EndKind.STOPPED, self._clock.now())
        return True

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew the lease and list what runs and what has ended.

        Args:
            request: what to renew and from where to list ends.

        Returns:
            The lists.
        """
        if request.fence < self._fence:
            return RenewalReply(fenced=True)
        self._advance()
        self._fence = request.fence
        self._extend_lease(request.lease_until_ms or 0)
        self._acknowledge_ends(request.last_seen)
        until = self._clock.now() + request.wait_ms
        while not self._ended and self._clock.now() < until:
            await curio.sleep(to_seconds(_POLL_MS))
            self._advance()
        return RenewalReply(
            clock_ms=self.clock_ms,
            born_ms=self._born_ms,
            running=tuple(
                RunningTask(
                    task=run.task,
                    name=format_task_id(run.task),
                    run=run.run,
                    checkpoint='',
                    percent=self._progress_percent(run),
                )
                for run in self.running
            ),
            ended=tuple(self._ended),
        )

    def _reset(self) -> None:
        self._clock_base_at = self._clock.now()
        self._clock_base_ms = _CLOCK_START_MS
        self._fence = 0
        self._lease_until = 0
        self._lease_expired_at = Millis(0)
        self._runs: dict[TaskId, RunEntry] = {}
        self._highest_ended_run: dict[TaskId, int] = {}
        self._ended: list[EndedTask] = []
        self._last_end_number = 0

    def _acknowledge_ends(self, last_seen: int) -> None:
        noted = {
            (end.task, end.run)
            for end in self._ended
            if end.number <= last_seen
        }
        for run in self.history:
            # A lapse between the end and its note stands for good.
            if (run.task, run.run) in noted and not self._expired_since(run):
                run.noted = True
        self._ended = [rest for rest in self._ended if rest.number > last_seen]

    def _expired_since(self, run: RunEntry) -> bool:
        return (
            run.ended_at is not None and run.ended_at < self._lease_expired_at
        )

    def _reply(self, result: StartResult) -> StartReply:
        return StartReply(result=result, clock_ms=self.clock_ms)

    def _extend_lease(self, until: int) -> None:
        if 0 < self._lease_until < self.clock_ms:
            self._lease_expired_at = self._clock.now()
        self._lease_until = max(self._lease_until, until)

    def _advance(self) -> None:
        """End runs whose time, or whose lease, is over."""
        remaining = self._lease_until - self._clock_base_ms
        lease_expires_at = Millis(
            self._clock_base_at
            + remaining * _HUNDRED_PERCENT // self._clock_speed_percent
        )
        for run in list(self._runs.values()):
            ends_at = Millis(run.started_at + self._run_ms(run.task))
            if self.trouble.hang or lease_expires_at < ends_at:
                ends_at = lease_expires_at
            if run.ended_at is None and self._clock.now() >= ends_at:
                expired = ends_at == lease_expires_at
                self._end_run(run, self._end_kind(expired=expired), ends_at)

    def _progress_percent(self, run: RunEntry) -> int:
        if self.trouble.hang:
            return 0
        age = self._clock.now() - run.started_at
        return min(
            _HUNDRED_PERCENT,
            _HUNDRED_PERCENT * age // max(1, self._run_ms(run.task)),
        )

    def _end_kind(self, *, expired: bool) -> EndKind:
        if expired:
            return EndKind.LEASE_EXPIRED
        return EndKind.FAILED if self.trouble.fail_all else EndKind.DONE

    def _end_run(self, run: RunEntry, kind: EndKind, ended_at: Millis) -> None:
        run.ended_at = ended_at
        run.kind = kind
        self._highest_ended_run[run.task] = max(
            run.run, self._highest_ended_run.get(run.task, 0)
        )
        self._last_end_number += 1
        self._ended.append(
            EndedTask(
                number=self._last_end_number,
                task=run.task,
                run=run.run,
                kind=kind,
                checkpoint='',
            )
        )


class MemoryWorkerClient(WorkerClient):
    """Calls a worker in memory."""

    def __init__(self, *, worker: MemoryWorker, timeout_ms: Millis) -> None:
        """Use a worker.

        Args:
            worker: the worker.
            timeout_ms: after which a call without an answer is given up.
        """
        self._worker = worker
        self._timeout_ms = timeout_ms

    async def start(self, order: StartOrder) -> StartReply:
        """Order a start.

        Args:
            order: what to start.

        Returns:
            What the worker did.
        """
        await self._check_reachable()
        trouble = self._worker.trouble
        if not trouble.lose_starts:
            return self._worker.start(order)
        trouble.lose_starts -= 1
        if trouble.late_ms is not None:
            await curio.spawn(
                self._start_late, order, trouble.late_ms, daemon=True
            )
        return await self._raise_timeout()

    async def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Order a stop.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader.

        Returns:
            True when the worker took the order.
        """
        await self._check_reachable()
        accepted = self._worker.stop(task, run, fence)
        if self._worker.trouble.lose_stops:
            self._worker.trouble.lose_stops -= 1
            await self._raise_timeout()
        return accepted

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew the lease and read the lists.

        Args:
            request: what to renew.

        Returns:
            The lists.
        """
        await self._check_reachable()
        reply = await self._worker.renew(request)
        await self._check_reachable()
        return reply

    async def close(self) -> None:
        """Do nothing; there is no connection."""

    async def _start_late(self, order: StartOrder, delay: Millis) -> None:
        await curio.sleep(to_seconds(delay))
        self._worker.start(order)

    async def _check_reachable(self) -> None:
        if self._worker.trouble.refused:
            raise WorkerUnreachable('refused', sent=False)
        if self._worker.trouble.silent:
            await self._raise_timeout()

    async def _raise_timeout(self) -> StartReply:
        await curio.sleep(to_seconds(self._timeout_ms))
        raise WorkerUnreachable('no answer', sent=True)
