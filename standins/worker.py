"""Stand-in for a worker: tasks are timers, leases are honoured, nothing else.

Run with `python -m standins.worker --port PORT --settings JSON`. It starts
whatever the holder of the newest lease tells it to, also beyond its capacity
and also twice; a checker finds such faults in `GET /admin/history`.
"""

import curio
import msgspec

from jayshore.clock import (
    Clock,
    Millis,
    MonotonicClock,
    to_seconds,
)
from jayshore.http.messages import (
    Request,
    Response,
    decode_json,
    error_response,
    json_response,
)
from jayshore.http.serverconnection import DropConnection
from jayshore.resources import Resources
from standins.faults import FaultGate, Faults
from standins.fencing import (
    EpochTooLow,
    LeaseNotCurrent,
    LeaseState,
    OpenBody,
    refusal,
)
from standins.serving import (
    ADMIN,
    Route,
    StandIn,
    decode_settings,
    read_arguments,
    route,
    run,
)
from standins.tasks import (
    Outcome,
    Payload,
    RunningTask,
    StartedUnder,
    TaskOrder,
)
from standins.tasktable import TaskName, TaskTable

_TICK_MS = Millis(5)
_STATUS_OK = 200
_STATUS_CREATED = 201
_STATUS_NOT_FOUND = 404


class WorkerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the process.

    Attributes:
        capacity: what the worker reports as its capacity.
        usage_lag_ms: age of a task at its first usage report, in ms.
    """

    capacity: Resources = Resources(cpu_millis=32_000, memory_mb=131_072)
    usage_lag_ms: int = 1000


class WorkerFaults(Faults, kw_only=True):
    """Faults of a worker.

    Attributes:
        fail_starts: whether every task that is started fails.
        fail_after_ms: run time of these tasks, in ms.
        leaving: whether the worker reports that it leaves.
        drop_next_stops: for how many stops the connection ends without an
            effect.
    """

    fail_starts: bool = False
    fail_after_ms: int = 0
    leaving: bool = False
    drop_next_stops: int = 0


class _Renew(msgspec.Struct, kw_only=True):
    lease_id: int
    ack: list[TaskName] = []
    wait_ms: int = 0


class _Start(msgspec.Struct, kw_only=True):
    lease_id: int
    task: TaskOrder


class _Change(msgspec.Struct, kw_only=True):
    lease_id: int
    percent: int = 100


class WorkerStandIn(StandIn):
    """Answers the worker's calls of section 8.3 of the design page."""

    def __init__(self, *, settings: WorkerSettings, clock: Clock) -> None:
        """Boot without tasks.

        Args:
            settings: of the process.
            clock: time of tasks and leases.
        """
        self._settings = settings
        self._clock = clock
        self._faults = WorkerFaults()
        self._lease = LeaseState(clock=clock)
        self._tasks = TaskTable(clock=clock, usage_lag_ms=settings.usage_lag_ms)
        self._changed = curio.Event()
        self._has_news = False
        self._leaving_shown = False
        super().__init__(gate=FaultGate(self._faults))

    def routes(self) -> list[Route]:
        """List the calls.

        Returns:
            The table of routes.
        """
        return [
            route('POST', '/v1/lease/open', 'lease_open', self._open),
            route('POST', '/v1/lease/renew', 'lease_renew', self._renew),
            route('POST', '/v1/tasks', 'start', self._start),
            route(
                'POST',
                '/v1/tasks/(.+)/(stop|checkpoint|throttle)',
                'change',
                self._change,
            ),
            route('GET', '/admin/history', ADMIN, self._read_history),
            route('POST', '/admin/reboot', ADMIN, self._reboot),
        ]

    async def background(self) -> None:
        """Let time pass for the tasks."""
        while True:
            await curio.sleep(to_seconds(_TICK_MS))
            await self._advance()

    async def _open(self, request: Request) -> Response:
        try:
            lease_id = self._lease.open(decode_json(request.body, OpenBody))
        except EpochTooLow as error:
            return refusal(error)
        await self._advance()
        # A renewal that waits under the older lease has to be refused.
        await self._announce()
        self._gate.leave_write('lease_open')
        self._has_news = False
        return json_response(
            _STATUS_OK,
            {
                'lease_id': lease_id,
                'boot_id': self._lease.boot_id,
                'capacity': self._settings.capacity,
                **self._inventory(),
            },
        )

    async def _renew(self, request: Request) -> Response:
        body = decode_json(request.body, _Renew)
        try:
            self._lease.renew(body.lease_id)
            self._tasks.acknowledge(body.ack)
            await self._advance()
            if body.wait_ms > 0:
                await self._wait_for_news(body)
            self._lease.check(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal(error)
        self._gate.leave_wait(request)
        self._has_news = False
        self._leaving_shown = self._faults.leaving
        return json_response(
            _STATUS_OK,
            {'leaving': self._leaving_shown, 'tasks': self._tasks.news()},
        )

    async def _wait_for_news(self, body: _Renew) -> None:
        async with curio.ignore_after(to_seconds(Millis(body.wait_ms))):
            await self._wait_for_change(body.lease_id)

    async def _wait_for_change(self, lease_id: int) -> None:
        while not self._has_news:
            if self._leaving_shown != self._faults.leaving:
                return
            await self._changed.wait()
            self._lease.check(lease_id)

    async def _start(self, request: Request) -> Response:
        body = decode_json(request.body, _Start)
        try:
            self._lease.check(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal(error)
        if self._faults.fail_starts:
            body.task.payload = Payload(
                run_ms=self._faults.fail_after_ms, fail=True
            )
        self._tasks.start(
            body.task,
            StartedUnder(
                lease_id=body.lease_id,
                boot_id=self._lease.boot_id,
                leaving=self._faults.leaving,
            ),
        )
        self._gate.leave_write('start')
        return json_response(_STATUS_CREATED, {'task_id': body.task.task_id})

    async def _change(
        self, request: Request, task_id: str, action: str
    ) -> Response:
        body = decode_json(request.body, _Change)
        if action == 'stop' and self._faults.drop_next_stops > 0:
            self._faults.drop_next_stops -= 1
            raise DropConnection('stop lost by order')
        try:
            self._lease.check(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal(error)
        await self._advance()
        found = self._tasks.find(task_id)
        if not found:
            return error_response(_STATUS_NOT_FOUND, 'no_such_task', task_id)
        for task in found:
            _apply(action, task, body)
        await self._announce()
        self._gate.leave_write(action)
        lag = self._settings.usage_lag_ms
        return json_response(
            _STATUS_OK, {'tasks': [changed.report(lag) for changed in found]}
        )

    async def _read_history(self, _request: Request) -> Response:
        await self._advance()
        return json_response(
            _STATUS_OK,
            {
                'boot_id': self._lease.boot_id,
                'now_ms': self._clock.now(),
                'capacity': self._settings.capacity,
                'leases': self._lease.grants,
                'tasks': self._tasks.records(),
            },
        )

    async def _reboot(self, _request: Request) -> Response:
        await self._advance()
        self._tasks.forget_all()
        self._lease.reboot()
        await self._announce()
        return json_response(_STATUS_OK, {'boot_id': self._lease.boot_id})

    async def _advance(self) -> None:
        changed = self._tasks.advance()
        if self._lease.is_task_lease_over():
            changed = self._tasks.end_all(Outcome.LEASE_EXPIRED) or changed
        if changed or self._leaving_shown != self._faults.leaving:
            await self._announce()

    async def _announce(self) -> None:
        self._has_news = True
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    def _inventory(self) -> dict[str, object]:
        self._leaving_shown = self._faults.leaving
        return {
            'leaving': self._leaving_shown,
            'tasks': self._tasks.reports(),
        }


def _apply(action: str, task: RunningTask, body: _Change) -> None:
    if task.outcome is not None:
        return
    if action == 'stop':
        task.end(Outcome.STOPPED)
    elif action == 'checkpoint':
        task.checkpoint()
    else:
        task.throttle(body.percent)


def main() -> None:
    """Run the process."""
    arguments = read_arguments('worker stand-in')
    settings = decode_settings(arguments.settings, WorkerSettings)
    stand_in = WorkerStandIn(settings=settings, clock=MonotonicClock())
    run(stand_in, arguments.port)


if __name__ == '__main__':
    main()
