"""Answers the calls of the other instances of a deployment."""

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
    """Answers the calls of other instances."""

    def __init__(
        self,
        *,
        scheduler: Callable[[], Scheduler | None],
        advice: AdviceService,
        store: TransactionStore,
        is_cut_off: Callable[[], bool],
        is_gone: Callable[[str], Awaitable[bool]],
        metrics: FleetMetrics,
    ) -> None:
        """Use the parts of this instance.

        Args:
            scheduler: None while this instance does not lead.
            advice: the advice service.
            store: reaches the store directly.
            is_cut_off: tells whether the store did not answer this instance.
            is_gone: tells whether the process of an instance has ended.
            metrics: served to whoever scrapes them.
        """
        self._scheduler = scheduler
        self._advice = advice
        self._store = store
        self._is_cut_off = is_cut_off
        self._is_gone = is_gone
        self._metrics = metrics

    async def handle(self, request: Request) -> Response:
        """Answer a call.

        Args:
            request: the call.

        Returns:
            The answer.
        """
        try:
            return await self._answer(request)
        except InvalidJson as error:
            return error_response(
                HTTPStatus.BAD_REQUEST, 'malformed', str(error)
            )

    async def _answer(self, request: Request) -> Response:
        if request.path == METRICS_PATH:
            return Response(
                status=HTTPStatus.OK,
                headers=(('content-type', CONTENT_TYPE_LATEST),),
                body=self._metrics.render(),
            )
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
            asked = decode_json(request.body, StateCall)
            return json_response(HTTPStatus.OK, state_reply(scheduler, asked))
        if request.path == PENDING_PATH:
            question = decode_json(request.body, PendingCall)
            return json_response(
                HTTPStatus.OK,
                PendingReply(pending=scheduler.pending(question.queue)),
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

    async def _probe(self, question: ProbeCall) -> Response:
        gone = bool(question.name) and await self._is_gone(question.name)
        return json_response(HTTPStatus.OK, ProbeReply(gone=gone))

    async def _advise(self, question: AdviceCall) -> Response:
        try:
            advice = await self._advice.advise(
                GroupId(*question.group),
                question.workers,
                Millis(question.timeout_ms),
            )
        except AdviceUnavailable as error:
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, 'no_advice', str(error)
            )
        return json_response(
            HTTPStatus.OK,
            AdviceReply(tickets=advice.tickets, validity_ms=advice.validity_ms),
        )
