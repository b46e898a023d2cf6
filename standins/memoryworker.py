"""In-memory worker with fencing, runs and a lease on its own clock.

It carries out every valid order and records every run, so that a test can
check whether a task ran twice at the same time.
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
)
from jayshore.fleet.model import TaskId, format_task_id
from standins.memoryworkerfaults import MemoryWorkerFaults

_POLL_MS = Millis(2)
_CLOCK_START_MS = 10_000
_HUNDRED_PERCENT = 100


def _ignore(_worker: 'MemoryWorker', _former: str) -> None:
    """Ignore a restart."""


@dataclasses.dataclass(kw_only=True, slots=True)
class RunEntry:
    """A run in the worker's history.

    Attributes:
        task: the task.
        run: number of the run.
        payload: text of the job, as ordered.
        started_at: when it started, in ms on the clock of the test.
        ended_at: when it ended, in ms on the same clock; None while it runs.
        kind: how it ended, None while it runs and after a reboot.
        noted: a leader has acknowledged the end.
        stop_at: when it ends because of a stop, in ms on the same clock.
    """

    task: TaskId
    run: int
    payload: str
    started_at: Millis
    ended_at: Millis | None = None
    kind: EndKind | None = None
    noted: bool = False
    stop_at: Millis | None = None


class MemoryWorker:
    """State and history of one worker.

    Attributes:
        worker_id: id of the worker.
        faults: the injected faults.
        history: all runs, across reboots.
        crashes: tasks that ran at each crash.
        restarted: called with the worker and its former id when it is up again
            after a crash.
        clock_percent: speed of its clock; 98 for one that is 2% slow.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        run_ms: Callable[[TaskId], Millis],
        clock: Clock | None = None,
    ) -> None:
        """Start the worker without runs.

        Args:
            worker_id: id of the worker.
            run_ms: returns the run time of a task, in ms.
            clock: the clock of the test; monotonic time by default.
        """
        self.worker_id = worker_id
        self.faults = MemoryWorkerFaults()
        self.history: list[RunEntry] = []
        self.crashes: list[tuple[TaskId, ...]] = []
        self.restarted: Callable[[MemoryWorker, str], None] = _ignore
        self._crash_at: Millis | None = None
        self._down_until: Millis | None = None
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
        """Time on the worker's own clock, in ms."""
        elapsed = self._clock.now() - self._clock_base_at
        return (
            self._clock_base_ms
            + elapsed * self._clock_speed_percent // _HUNDRED_PERCENT
        )

    @property
    def clock_percent(self) -> int:
        """Speed of the worker's clock, in percent of the test's clock."""
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
        """Number of ended runs that no leader has acknowledged."""
        return len(self._ended)

    def end_due_runs(self) -> None:
        """End runs whose run time is over or whose lease has expired."""
        self._advance()

    @property
    def down(self) -> bool:
        """Whether the worker has crashed and is not up again yet."""
        self._advance()
        if self._down_until is None:
            return False
        if self._clock.now() < self._down_until:
            return True
        self._down_until = None
        former = self.worker_id
        if self.faults.new_id:
            name = former.partition('~')[0]
            self.worker_id = f'{name}~{self._born_ms}'
        self.restarted(self, former)
        return False

    @property
    def incarnation(self) -> int:
        """Number of the incarnation; it rises with each crash or reboot."""
        return self._born_ms

    def crash(self) -> None:
        """Crash: runs end without a report, and the worker is down."""
        self._crash_at = None
        self.crashes.append(
            tuple(
                run.task for run in self._runs.values() if run.ended_at is None
            )
        )
        self._down_until = Millis(self._clock.now() + self.faults.down_ms)
        self.reboot()

    def reboot(self) -> None:
        """Restart the worker: runs end, lease, fence and results are lost.

        One that is not down registers its new incarnation at once.
        """
        self._advance()
        for run in self.running:
            run.ended_at = self._clock.now()
        self._born_ms += 1
        self._reset()
        if self._down_until is None:
            self.restarted(self, self.worker_id)

    def start(self, order: StartOrder) -> StartReply:
        """Start a run, unless the order is fenced, outdated or late.

        Args:
            order: the run to start.

        Returns:
            Whether the run was started, or why not.
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
        if self.faults.crashing(order.task):
            age = self.faults.crash_after_ms
            self._crash_at = Millis(self._clock.now() + (age or 0))
            if age is None:
                self._advance()
        return self._reply(StartResult.STARTED)

    def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Stop a run and refuse later starts of it.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader, as the fencing token.

        Returns:
            False if the fencing token is outdated.
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
            if entry.stop_at is None:
                entry.stop_at = Millis(self._clock.now() + self.faults.stop_ms)
            self._advance()
        return True

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew the lease and list running and ended runs.

        Waits up to `wait_ms` of the request for a run to end.

        Args:
            request: end of the lease, and the last end that the leader saw.

        Returns:
            The running and the unacknowledged ended runs.
        """
        if request.fence < self._fence:
            return RenewalReply(fenced=True)
        self._advance()
        self._fence = request.fence
        self._extend_lease(request.lease_until_ms or 0)
        self._acknowledge_ends(request.last_seen)
        until = self._clock.now() + request.wait_ms
        incarnation = self._born_ms
        while not self._ended and self._clock.now() < until:
            await curio.sleep(to_seconds(_POLL_MS))
            self._advance()
            if self._born_ms != incarnation:
                break
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
            ended=tuple(self._ended[: self.faults.listed_ends]),
            more_ends=len(self._ended) >= self.faults.listed_ends,
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
            # If the lease expired between the end of a run and its
            # acknowledgement, the run stays unacknowledged.
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
        """End runs whose run time is over or whose lease has expired."""
        if self._crash_at is not None and self._clock.now() >= self._crash_at:
            self.crash()
        remaining = self._lease_until - self._clock_base_ms
        lease_expires_at = Millis(
            self._clock_base_at
            + remaining * _HUNDRED_PERCENT // self._clock_speed_percent
        )
        for run in list(self._runs.values()):
            if run.ended_at is None:
                self._end_if_due(run, lease_expires_at)

    def _end_if_due(self, run: RunEntry, lease_expires_at: Millis) -> None:
        ends_at = Millis(run.started_at + self._run_ms(run.task))
        kind = self._end_kind()
        if self.faults.hang or lease_expires_at < ends_at:
            ends_at = lease_expires_at
            kind = EndKind.LEASE_EXPIRED
        if run.stop_at is not None and run.stop_at < ends_at:
            ends_at = run.stop_at
            kind = EndKind.STOPPED
        if self._clock.now() >= ends_at:
            self._end_run(run, kind, ends_at)

    def _progress_percent(self, run: RunEntry) -> int:
        if self.faults.hang:
            return 0
        age = self._clock.now() - run.started_at
        return min(
            _HUNDRED_PERCENT,
            _HUNDRED_PERCENT * age // max(1, self._run_ms(run.task)),
        )

    def _end_kind(self) -> EndKind:
        return EndKind.FAILED if self.faults.fail_all else EndKind.DONE

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
