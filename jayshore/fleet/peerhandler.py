"""HTTP handler of calls from the other instances of the deployment."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST

from jayshore.clock import Millis
from jayshore.fleet.interfaces import AdviceService, AdviceUnavailable
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import GroupId
from jayshore.fleet.peering import (
    ADVICE_PATH,
    PENDING_PATH,
    PROBE_PATH,
    STATE_PATH,
    STORE_PATH,
    AdviceCall,
    AdviceReply,
    PendingCall,
    PendingReply,
    ProbeCall,
    ProbeReply,
    StateCall,
    state_reply,
)
from jayshore.fleet.scheduler import Scheduler
from jayshore.http.messages import (
    InvalidJson,
    Request,
    Response,
    decode_json,
    error_response,
    json_response,
)
from jayshore.http.server import Handler
from jayshore.store.storecalls import StoreCall, execute_relayed_call
from jayshore.store.transactions import TransactionStore

METRICS_PATH = '/metrics'


class PeerHandler(Handler):
    """Handles calls of other instances and requests for the metrics."""

    def __init__(
        self,
        *,
        scheduler: Callable[[], Scheduler | None],
        advice: AdviceService,
        store: TransactionStore,
        is_cut_off: Callable[[], bool],
        is_gone: Callable[[str], Awaitable[bool]],
        note_peer_call: Callable[[], None],
        metrics: FleetMetrics,
    ) -> None:
        """Create the handler of one instance.

        Args:
            scheduler: returns the scheduler, None while this instance does not
                lead.
            advice: the advice service.
            store: the store, called directly.
            is_cut_off: returns whether the store did not reply to the last
                direct call of this instance.
            is_gone: checks whether the process of an instance has ended.
            note_peer_call: called for each call of another instance.
            metrics: metrics of this instance.
        """
        self._note_peer_call = note_peer_call
        self._scheduler = scheduler
        self._advice = advice
        self._store = store
        self._is_cut_off = is_cut_off
        self._is_gone = is_gone
        self._metrics = metrics

    async def handle(self, request: Request) -> Response:
        """Handle a call.

        Args:
            request: the call.

        Returns:
            The response.
        """
        try:
            return await self._dispatch(request)
        except InvalidJson as error:
            return error_response(
                HTTPStatus.BAD_REQUEST, 'malformed', str(error)
            )

    async def _dispatch(self, request: Request) -> Response:
        if request.path == METRICS_PATH:
            return Response(
                status=HTTPStatus.OK,
                headers=(('content-type', CONTENT_TYPE_LATEST),),
                body=self._metrics.render(),
            )
        self._note_peer_call()
        if request.path == ADVICE_PATH:
            return await self._advise(decode_json(request.body, AdviceCall))
        if request.path == STORE_PATH:
            return await self._relay(
                decode_json(request.body, StoreCall)  # type: ignore[arg-type]
            )
        if request.path == PROBE_PATH:
            return await self._probe(decode_json(request.body, ProbeCall))
        scheduler = self._scheduler()
        if scheduler is None:
            return error_response(
                HTTPStatus.CONFLICT, 'no_leader', 'this instance leads nothing'
            )
        if request.path == STATE_PATH:
            state_call = decode_json(request.body, StateCall)
            return json_response(
                HTTPStatus.OK, state_reply(scheduler, state_call)
            )
        if request.path == PENDING_PATH:
            pending_call = decode_json(request.body, PendingCall)
            return json_response(
                HTTPStatus.OK,
                PendingReply(pending=scheduler.pending(pending_call.queue)),
            )
        return error_response(HTTPStatus.NOT_FOUND, 'not_found', request.path)

    async def _relay(self, call: StoreCall) -> Response:
        if self._is_cut_off():
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'store_unavailable',
                'cut off as well',
            )
        return json_response(
            HTTPStatus.OK, await execute_relayed_call(self._store, call)
        )

    async def _probe(self, call: ProbeCall) -> Response:
        gone = bool(call.name) and await self._is_gone(call.name)
        return json_response(HTTPStatus.OK, ProbeReply(gone=gone))

    async def _advise(self, call: AdviceCall) -> Response:
        try:
            advice = await self._advice.advise(
                GroupId(*call.group),
                call.workers,
                Millis(call.timeout_ms),
            )
        except AdviceUnavailable as error:
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, 'no_advice', str(error)
            )
        return json_response(
            HTTPStatus.OK,
            AdviceReply(tickets=advice.tickets, validity_ms=advice.validity_ms),
        )
