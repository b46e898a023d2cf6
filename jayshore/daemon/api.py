"""The HTTP API for callers and operators."""

import dataclasses
import hashlib
import hmac
import re
import secrets
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import eliot
import msgspec

from jayshore.clock import Clock, Millis
from jayshore.config.document import Document
from jayshore.config.loading import decode_document
from jayshore.config.model import DomainState, Service
from jayshore.daemon.access import (
    Access,
    Denied,
    Granted,
    NotFresh,
    check_key,
    grant_open_access,
    read_bearer_key,
)
from jayshore.daemon.configuration import (
    Applied,
    ApplyOutcome,
    ConfigManager,
    NoMajority,
    VersionConflict,
)
from jayshore.daemon.jobgateway import JobGateway
from jayshore.daemon.metrics import Metrics
from jayshore.daemon.peers import PeerGroup
from jayshore.daemon.requestgateway import AdmittedRequest, RequestGateway
from jayshore.daemon.responses import request_response, submission_response
from jayshore.daemon.settings import Settings
from jayshore.daemon.slo import SloTracker
from jayshore.daemon.status import StatusReporter
from jayshore.http.messages import (
    InvalidJson,
    Request,
    Response,
    decode_json,
    error_response,
    json_response,
)
from jayshore.http.serverconnection import Handler
from jayshore.jobs.acceptance import Submission
from jayshore.outcomes import (
    NotRun,
    NotRunReason,
    RefusalReason,
    Refused,
    RequestOutcome,
    SubmitOutcome,
    Unconfirmed,
)
from jayshore.routing.executor import RoutedRequest
from jayshore.wire import messages as msg

_RETRY_AFTER_MS = Millis(1000)
_METRICS_CONTENT_TYPE = ('content-type', 'text/plain; version=0.0.4')
_JSON_CONTENT_TYPE = ('content-type', 'application/json')

_RouteHandler: TypeAlias = Callable[..., Awaitable[Response]]
_Route: TypeAlias = tuple[str, re.Pattern[str], _RouteHandler]


class ApplyBody(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """The body of `PUT /v1/config`.

    Attributes:
        expected_version: the version that the new document replaces.
        document: the complete new configuration.
    """

    expected_version: int
    document: msgspec.Raw


@dataclasses.dataclass(frozen=True, kw_only=True)
class ApiDependencies:
    """The components that the API calls."""

    settings: Settings
    clock: Clock
    config: ConfigManager
    peers: PeerGroup
    request_gateway: RequestGateway
    job_gateway: JobGateway
    status: StatusReporter
    metrics: Metrics
    slo: SloTracker


class Api(Handler):
    """Routes HTTP requests by method and path to their handlers."""

    def __init__(self, *, dependencies: ApiDependencies) -> None:
        """Build the routing table.

        Args:
            dependencies: the components that the handlers call.
        """
        self._dependencies = dependencies
        self._config = dependencies.config
        self._routes: list[_Route] = [
            ('POST', re.compile('/v1/requests/([^/]+)'), self._run_request),
            ('POST', re.compile('/v1/jobs'), self._submit),
            ('GET', re.compile('/v1/jobs/([^/]+)'), self._show_job),
            ('POST', re.compile('/v1/jobs/([^/]+)/cancel'), self._cancel_job),
            ('GET', re.compile('/v1/config'), self._show_config),
            ('PUT', re.compile('/v1/config'), self._apply_config),
            ('GET', re.compile('/v1/status'), self._show_status),
            ('GET', re.compile('/v1/slo'), self._show_slo),
            ('GET', re.compile('/metrics'), self._show_metrics),
            ('GET', re.compile('/healthz'), self._show_health),
            ('GET', re.compile('/readyz'), self._show_readiness),
        ]

    async def handle(self, request: Request) -> Response:
        """Dispatch a request to the handler of its method and path.

        Args:
            request: the HTTP request.

        Returns:
            The response; 404 when no route matches.
        """
        for method, path, handler in self._routes:
            match = path.fullmatch(request.path)
            if match and method == request.method:
                return await self._dispatch(handler, request, match.groups())
        return error_response(404, 'no_such_call', 'no call of this name')

    async def _dispatch(
        self, handler: _RouteHandler, request: Request, groups: tuple[str, ...]
    ) -> Response:
        try:
            return await handler(request, *groups)
        except InvalidJson as error:
            return error_response(400, 'malformed', str(error))

    async def _run_request(self, request: Request, name: str) -> Response:
        arrived_at = self._dependencies.clock.now()
        service = self._config.snapshot.service(name)
        if service is None:
            reason = NotRunReason.UNKNOWN_SERVICE
            if not self._config.is_fresh:
                reason = NotRunReason.NOT_FRESH
            return request_response(
                NotRun(reason=reason, retry_after_ms=_RETRY_AFTER_MS)
            )
        request_id = secrets.token_hex(16)
        with eliot.start_action(
            action_type='request', request_id=request_id, service=name
        ) as action:
            outcome = await self._authorise_and_route(
                request, service, request_id
            )
            action.add_success_fields(outcome=type(outcome).__name__)
        elapsed = Millis(self._dependencies.clock.now() - arrived_at)
        self._dependencies.metrics.request_answered(name, outcome, elapsed)
        return request_response(outcome)

    async def _authorise_and_route(
        self, request: Request, service: Service, request_id: str
    ) -> RequestOutcome:
        access = self._authenticate(request, service.open, service.team)
        if isinstance(access, NotFresh):
            return NotRun(
                reason=NotRunReason.NOT_FRESH, retry_after_ms=_RETRY_AFTER_MS
            )
        if isinstance(access, Denied):
            return NotRun(reason=NotRunReason.UNAUTHORISED)
        timeout = self._parse_timeout(request, service)
        if timeout is None:
            return NotRun(reason=NotRunReason.MALFORMED)
        routed = RoutedRequest(
            request_id=request_id,
            service=service.name,
            team=access.team.name,
            idempotent=request.headers.get('jayshore-idempotent') == 'true',
            timeout_ms=timeout,
            body=request.body,
            content_type=request.headers.get(
                'content-type', 'application/octet-stream'
            ),
        )
        snapshot = self._config.snapshot
        arrived_at = self._dependencies.clock.now()
        outcome = await self._dependencies.request_gateway.route(
            AdmittedRequest(
                request=routed,
                key_id=access.key_id,
                config_version=snapshot.version,
            ),
            [
                domain.name
                for domain in snapshot.document.domains
                if domain.state is DomainState.ACTIVE
            ],
        )
        elapsed = Millis(self._dependencies.clock.now() - arrived_at)
        self._dependencies.slo.request_answered(routed.team, outcome, elapsed)
        return outcome

    def _authenticate(
        self, request: Request, is_open: bool, team: str | None
    ) -> Access:
        if is_open and not read_bearer_key(request):
            return grant_open_access(team, self._config)
        return check_key(request, self._config)

    def _parse_timeout(
        self, request: Request, service: Service
    ) -> Millis | None:
        text = request.headers.get('jayshore-timeout-ms')
        if text is None:
            return service.default_timeout_ms
        max_ms = self._dependencies.settings.limits.max_request_ms
        if text.isdecimal() and 0 < int(text) <= max_ms:
            return Millis(int(text))
        return None

    async def _submit(self, request: Request) -> Response:
        submission = decode_json(request.body, Submission)
        with eliot.start_action(
            action_type='job:submit', queue=submission.queue
        ) as action:
            outcome = await self._submit_to_queue(request, submission)
            reason = 'accepted'
            if isinstance(outcome, Refused):
                reason = outcome.reason.value
            elif isinstance(outcome, Unconfirmed):
                reason = 'unknown'
            action.add_success_fields(outcome=reason)
        self._dependencies.metrics.job_submitted(reason)
        return submission_response(outcome)

    async def _submit_to_queue(
        self, request: Request, submission: Submission
    ) -> SubmitOutcome:
        queue = self._config.snapshot.queue(submission.queue)
        if queue is not None:
            access = self._authenticate(request, queue.open, queue.team)
            return await self._dependencies.job_gateway.submit(
                submission, queue, access
            )
        if self._config.is_fresh:
            return Refused(
                reason=RefusalReason.MALFORMED,
                detail=f'queue: no queue {submission.queue}',
            )
        return Refused(
            reason=RefusalReason.NOT_FRESH, retry_after_ms=_RETRY_AFTER_MS
        )

    async def _show_job(self, request: Request, job_id: str) -> Response:
        wait_text = request.query.get('wait_ms', '0')
        max_ms = self._dependencies.settings.limits.max_wait_ms
        if not wait_text.isdecimal():
            return error_response(400, 'malformed', 'wait_ms is no number')
        ticket = request.headers.get('jayshore-ticket')
        access: msg.TicketAccess | msg.TeamAccess
        if ticket:
            access = msg.TicketAccess(ticket=ticket)
        else:
            granted = check_key(request, self._config)
            if not isinstance(granted, Granted):
                return _access_error(granted)
            access = msg.TeamAccess(team=granted.team.name)
        document = await self._dependencies.job_gateway.find(
            job_id, access, min(int(wait_text), max_ms)
        )
        if document is None:
            return error_response(404, 'no_such_job', 'no such job is known')
        return Response(
            status=200, headers=(_JSON_CONTENT_TYPE,), body=document
        )

    async def _cancel_job(self, request: Request, job_id: str) -> Response:
        granted = check_key(request, self._config)
        if not isinstance(granted, Granted):
            return _access_error(granted)
        outcome = await self._dependencies.job_gateway.cancel(
            job_id, granted.team.name
        )
        if outcome is msg.CancelResult.CANCELLED:
            return json_response(200, {'outcome': 'cancelled'})
        return error_response(409, outcome.value, 'the job was not cancelled')

    async def _show_config(self, request: Request) -> Response:
        if not self._is_operator(request):
            return error_response(401, 'unauthorised', 'no operator key')
        await self._config.refresh()
        snapshot = self._config.snapshot
        return json_response(
            200,
            {
                'version': snapshot.version,
                'is_fresh': self._config.is_fresh,
                'document': snapshot.document,
            },
        )

    async def _apply_config(self, request: Request) -> Response:
        if not self._is_operator(request):
            return error_response(401, 'unauthorised', 'no operator key')
        body = decode_json(request.body, ApplyBody)
        document = decode_document(bytes(body.document))
        if not isinstance(document, Document):
            return json_response(
                400, {'error': 'invalid', 'faults': document.faults}
            )
        with eliot.start_action(
            action_type='config:apply', expected=body.expected_version
        ) as action:
            outcome = await self._config.apply(
                document,
                expected_version=body.expected_version,
                ask_promises=self._dependencies.peers.ask_promises,
            )
            action.add_success_fields(outcome=type(outcome).__name__)
        if isinstance(outcome, Applied):
            await self._dependencies.peers.notify_committed(
                self._config.committed_message()
            )
        return _apply_response(outcome)

    async def _show_status(self, _request: Request) -> Response:
        return json_response(200, self._dependencies.status.report())

    async def _show_slo(self, request: Request) -> Response:
        if not self._is_operator(request):
            return error_response(401, 'unauthorised', 'no operator key')
        collected = await self._dependencies.peers.collect_slo_samples()
        return json_response(200, self._dependencies.slo.report(collected))

    async def _show_metrics(self, _request: Request) -> Response:
        self._dependencies.status.update_metrics()
        rendered = self._dependencies.metrics.render()
        return Response(
            status=200, headers=(_METRICS_CONTENT_TYPE,), body=rendered
        )

    async def _show_health(self, _request: Request) -> Response:
        return json_response(200, {'status': 'alive'})

    async def _show_readiness(self, _request: Request) -> Response:
        reasons = self._dependencies.status.readiness_failures()
        if reasons:
            return error_response(503, 'not_ready', ', '.join(reasons))
        return json_response(200, {'status': 'ready'})

    def _is_operator(self, request: Request) -> bool:
        digest = hashlib.sha256(read_bearer_key(request).encode()).hexdigest()
        return hmac.compare_digest(
            digest, self._dependencies.settings.operator_key_sha256
        )


def _access_error(access: Access) -> Response:
    if isinstance(access, NotFresh):
        return error_response(503, 'not_fresh', 'keys cannot be checked now')
    return error_response(401, 'unauthorised', 'no valid key')


def _apply_response(outcome: ApplyOutcome) -> Response:
    match outcome:
        case Applied():
            return json_response(
                200, {'outcome': 'applied', 'version': outcome.version}
            )
        case VersionConflict():
            return json_response(
                409, {'outcome': 'conflict', 'version': outcome.version}
            )
        case NoMajority():
            return json_response(
                503, {'outcome': 'no_majority', 'promised': outcome.promised}
            )
    return json_response(
        503, {'outcome': 'unsettled', 'detail': outcome.detail}
    )
