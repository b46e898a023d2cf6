"""Simulated executor: requests are timers, leases are enforced.

Run with `python -m standins.executor --port PORT --settings JSON`. Slots and
connections are reported but not enforced; checks compare them with the runs
in `GET /admin/history`.
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
    InvalidJson,
    Request,
    Response,
    decode_json,
    json_response,
)
from jayshore.http.serverconnection import DropConnection
from standins.answerswap import AnswerSwap
from standins.fencing import (
    LeaseNotCurrent,
    refusal_response,
)
from standins.leasing import LeasingStandIn, UpstreamFaults
from standins.runs import RunTable
from standins.serving import (
    ADMIN,
    Route,
    decode_settings,
    parse_arguments,
    route,
    run,
)

REQUEST_ID_HEADER = 'jayshore-request-id'

_STATUS_OK = 200
_CONTENT_TYPE = ('content-type', 'application/octet-stream')


class ExecutorSettings(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the process.

    Attributes:
        slots: reported number of requests that can run concurrently.
        connections: reported number of concurrent connections.
        service_ms: run time of a request whose body does not set it, in ms.
        record_history: whether finished runs are kept for checks; a benchmark
            disables it to keep memory constant.
    """

    slots: int = 8
    connections: int = 64
    service_ms: int = 0
    record_history: bool = True


class ExecutorFaults(UpstreamFaults, kw_only=True):
    """Faults of an executor.

    Attributes:
        drop_next_before_run: number of requests whose connection is closed
            before they run.
        delay_next_answers: number of answers to delay.
        answer_delay_ms: delay of these answers, in ms.
        cross_next_pairs: number of pairs of answers that are swapped between
            their connections.
    """

    drop_next_before_run: int = 0
    delay_next_answers: int = 0
    answer_delay_ms: int = 0
    cross_next_pairs: int = 0


class _RequestBody(msgspec.Struct, kw_only=True):
    service_ms: int | None = None


class ExecutorStandIn(LeasingStandIn):
    """Serves the executor protocol (section 8.3 of the design page)."""

    def __init__(self, *, settings: ExecutorSettings, clock: Clock) -> None:
        """Start a first boot without requests.

        Args:
            settings: settings of the process.
            clock: clock of leases and runs.
        """
        self._settings = settings
        self._faults = ExecutorFaults()
        self._runs = RunTable(clock=clock, keep_history=settings.record_history)
        self._answer_swap = AnswerSwap()
        super().__init__(clock=clock, faults=self._faults)

    def routes(self) -> list[Route]:
        """List the calls of the executor, its lease and its history.

        Returns:
            The routes.
        """
        return [
            route('POST', '/v1/run', 'run', self._run_request),
            route('GET', '/v1/runs/(.+)', 'query', self._read_run_state),
            route('GET', '/admin/history', ADMIN, self._read_history),
            *self._lease_routes(),
        ]

    def _capacity(self) -> object:
        return {
            'slots': self._settings.slots,
            'connections': self._settings.connections,
        }

    def _report_all(self) -> object:
        return self._runs.running()

    def _forget_all(self) -> None:
        self._runs.forget_all()

    async def _run_request(self, request: Request) -> Response:
        request_id = request.headers[REQUEST_ID_HEADER]
        lease_id = int(request.headers['jayshore-lease'])
        if self._faults.drop_next_before_run > 0:
            self._faults.drop_next_before_run -= 1
            raise DropConnection(
                'injected fault: connection dropped before the run'
            )
        try:
            self._lease.require_current(lease_id)
        except LeaseNotCurrent as error:
            return refusal_response(error)
        started = self._runs.start(
            request_id=request_id,
            team=request.headers.get('jayshore-team', ''),
            lease_id=lease_id,
            boot_id=self._lease.boot_id,
            leaving=self._faults.leaving,
        )
        service_ms = _decode_service_ms(request.body, self._settings.service_ms)
        if service_ms > 0:
            await curio.sleep(to_seconds(service_ms))
        if not self._runs.finish(started):
            raise DropConnection('the executor rebooted during the run')
        return await self._apply_answer_faults(
            Response(
                status=_STATUS_OK,
                headers=((REQUEST_ID_HEADER, request_id), _CONTENT_TYPE),
                body=request.body,
            )
        )

    async def _apply_answer_faults(self, answer: Response) -> Response:
        self._gate.after_write('run')
        if self._faults.delay_next_answers > 0:
            self._faults.delay_next_answers -= 1
            delay = Millis(self._faults.answer_delay_ms)
            await curio.sleep(to_seconds(delay))
        if self._answer_swap.is_waiting:
            return await self._answer_swap.exchange(answer)
        if self._faults.cross_next_pairs > 0:
            self._faults.cross_next_pairs -= 1
            return await self._answer_swap.hold_first(answer)
        return answer

    async def _read_run_state(
        self, _request: Request, request_id: str
    ) -> Response:
        return json_response(
            _STATUS_OK, {'state': self._runs.find_state(request_id)}
        )

    async def _read_history(self, _request: Request) -> Response:
        return json_response(
            _STATUS_OK,
            {
                'boot_id': self._lease.boot_id,
                'now_ms': self._clock.now(),
                'slots': self._settings.slots,
                'connections': self._settings.connections,
                'leases': self._lease.granted_leases,
                'runs': self._runs.records(),
            },
        )


def _decode_service_ms(body: bytes, default_ms: int) -> Millis:
    if body.startswith(b'{'):
        try:
            requested_ms = decode_json(body, _RequestBody).service_ms
        except InvalidJson:
            requested_ms = None
        if requested_ms is not None:
            return Millis(requested_ms)
    return Millis(default_ms)


def main() -> None:
    """Run the executor until the process is terminated."""
    arguments = parse_arguments('executor stand-in')
    settings = decode_settings(arguments.settings, ExecutorSettings)
    stand_in = ExecutorStandIn(settings=settings, clock=MonotonicClock())
    run(stand_in, arguments.port)


if __name__ == '__main__':
    main()
