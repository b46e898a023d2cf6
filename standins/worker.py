"""Simulated worker: tasks are timers, only leases are enforced.

Run with `python -m standins.worker --port PORT --settings JSON`. It starts
every task that the holder of the newest lease orders, even beyond its
capacity and even twice; checks find such faults in `GET /admin/history`.
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
from standins.fencing import (
    LeaseNotCurrent,
    refusal_response,
)
from standins.leasing import LeasingStandIn, UpstreamFaults
from standins.serving import (
    ADMIN,
    Route,
    decode_settings,
    parse_arguments,
    route,
    run,
)
from standins.tasks import (
    Outcome,
    Payload,
    SimulatedTask,
    StartContext,
    TaskOrder,
)
from standins.tasktable import AttemptId, TaskTable

_TICK_MS = Millis(5)
_STATUS_OK = 200
_STATUS_CREATED = 201
_STATUS_NOT_FOUND = 404


class WorkerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the process.

    Attributes:
        capacity: the capacity that the worker reports.
        usage_lag_ms: age of a task at its first usage report, in ms.
    """

    capacity: Resources = Resources(cpu_millis=32_000, memory_mb=131_072)
    usage_lag_ms: int = 1000


class WorkerFaults(UpstreamFaults, kw_only=True):
    """Faults of a worker.

    Attributes:
        fail_starts: whether every newly started task fails.
        fail_after_ms: run time of these tasks, in ms.
        drop_next_stops: number of stops whose connection is closed without
            an effect.
    """

    fail_starts: bool = False
    fail_after_ms: int = 0
    drop_next_stops: int = 0


class _StartTaskRequest(msgspec.Struct, kw_only=True):
    lease_id: int
    task: TaskOrder


class _ChangeTaskRequest(msgspec.Struct, kw_only=True):
    lease_id: int
    percent: int = 100


class WorkerStandIn(LeasingStandIn):
    """Serves the worker protocol (section 8.3 of the design page)."""

    def __init__(self, *, settings: WorkerSettings, clock: Clock) -> None:
        """Start a first boot without tasks.

        Args:
            settings: settings of the process.
            clock: clock of tasks and leases.
        """
        self._settings = settings
        self._faults = WorkerFaults()
        self._tasks = TaskTable(clock=clock, usage_lag_ms=settings.usage_lag_ms)
        self._has_task_changes = False
        super().__init__(clock=clock, faults=self._faults)

    def routes(self) -> list[Route]:
        """List the calls of the worker, its lease and its history.

        Returns:
            The routes.
        """
        return [
            route('POST', '/v1/tasks', 'start', self._start_task),
            route(
                'POST',
                '/v1/tasks/(.+)/(stop|checkpoint|throttle)',
                'change',
                self._change_task,
            ),
            route('GET', '/admin/history', ADMIN, self._read_history),
            *self._lease_routes(),
        ]

    async def background(self) -> None:
        """End tasks that have completed or whose lease has expired."""
        while True:
            await curio.sleep(to_seconds(_TICK_MS))
            await self._advance()

    async def _advance(self) -> None:
        changed = self._tasks.advance()
        if self._lease.is_task_lease_expired():
            changed = self._tasks.end_all(Outcome.LEASE_EXPIRED) or changed
        if changed:
            await self._signal_task_change()

    def _capacity(self) -> object:
        return self._settings.capacity

    def _has_changes(self) -> bool:
        return self._has_task_changes or super()._has_changes()

    def _acknowledge(self, attempt_ids: list[AttemptId]) -> None:
        self._tasks.acknowledge(attempt_ids)

    def _report_all(self) -> object:
        self._has_task_changes = False
        return self._tasks.reports()

    def _report_changes(self) -> object:
        self._has_task_changes = False
        return self._tasks.changed_reports()

    def _forget_all(self) -> None:
        self._tasks.forget_all()

    async def _start_task(self, request: Request) -> Response:
        body = decode_json(request.body, _StartTaskRequest)
        try:
            self._lease.require_current(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal_response(error)
        if self._faults.fail_starts:
            body.task.payload = Payload(
                run_ms=self._faults.fail_after_ms, fail=True
            )
        self._tasks.start(
            body.task,
            StartContext(
                lease_id=body.lease_id,
                boot_id=self._lease.boot_id,
                leaving=self._faults.leaving,
            ),
        )
        self._gate.after_write('start')
        return json_response(_STATUS_CREATED, {'task_id': body.task.task_id})

    async def _change_task(
        self, request: Request, task_id: str, action: str
    ) -> Response:
        body = decode_json(request.body, _ChangeTaskRequest)
        if action == 'stop' and self._faults.drop_next_stops > 0:
            self._faults.drop_next_stops -= 1
            raise DropConnection('injected fault: stop lost')
        try:
            self._lease.require_current(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal_response(error)
        await self._advance()
        matching = self._tasks.find(task_id)
        if not matching:
            return error_response(_STATUS_NOT_FOUND, 'no_such_task', task_id)
        for task in matching:
            _apply_action(action, task, body)
        await self._signal_task_change()
        self._gate.after_write(action)
        lag = self._settings.usage_lag_ms
        return json_response(
            _STATUS_OK, {'tasks': [changed.report(lag) for changed in matching]}
        )

    async def _read_history(self, _request: Request) -> Response:
        await self._advance()
        return json_response(
            _STATUS_OK,
            {
                'boot_id': self._lease.boot_id,
                'now_ms': self._clock.now(),
                'capacity': self._settings.capacity,
                'leases': self._lease.granted_leases,
                'tasks': self._tasks.records(),
            },
        )

    async def _signal_task_change(self) -> None:
        self._has_task_changes = True
        await self._wake_renewals()


def _apply_action(
    action: str, task: SimulatedTask, body: _ChangeTaskRequest
) -> None:
    if task.outcome is not None:
        return
    if action == 'stop':
        task.end(Outcome.STOPPED)
    elif action == 'checkpoint':
        task.checkpoint()
    else:
        task.throttle(body.percent)


def main() -> None:
    """Run the worker until the process is terminated."""
    arguments = parse_arguments('worker stand-in')
    settings = decode_settings(arguments.settings, WorkerSettings)
    stand_in = WorkerStandIn(settings=settings, clock=MonotonicClock())
    run(stand_in, arguments.port)


if __name__ == '__main__':
    main()
