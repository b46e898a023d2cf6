"""HTTP client of a daemon, as the commands use it."""

import dataclasses
import json
from typing import Any, TypeVar
from urllib.parse import urlsplit

import msgspec

from jayshore.cli.client import (
    AnswerLostError,
    Applied,
    ApplyOutcome,
    Cancelled,
    CancelOutcome,
    ConfigView,
    DaemonClient,
    DaemonStatus,
    DaemonUnreachableError,
    JobNotFound,
    JobOutcome,
    JobView,
    JobViewState,
    NotCancelled,
    SloView,
    UnexpectedAnswerError,
    VersionConflict,
)
from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.config.loading import decode_document
from jayshore.http.client import (
    Address,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    InvalidAddress,
)
from jayshore.http.messages import Request, Response
from jayshore.outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    SubmitOutcome,
)

_Converted = TypeVar('_Converted')

_TIMEOUT_MS = Millis(15_000)
_CONNECT_TIMEOUT_MS = Millis(3000)
_STATUS_OK = 200
_STATUS_ACCEPTED = 202
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_UNKNOWN = 504

# Errors of the daemon that are equivalent to a refusal reason.
_REFUSAL_REASON_BY_ERROR = {  # noqa: WPS407 never changed
    'unauthorised': RefusalReason.UNAUTHORISED,
    'not_fresh': RefusalReason.NOT_FRESH,
    'no_majority': RefusalReason.STORE_UNAVAILABLE,
    'unsettled': RefusalReason.STORE_UNAVAILABLE,
    'too_many_connections': RefusalReason.OVER_LIMIT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _JobBody:
    job_id: str
    state: JobViewState
    tasks: tuple[str, ...]
    results: tuple[str | None, ...]


class HttpDaemonClient(DaemonClient):
    """Daemon client that calls one daemon over HTTP."""

    def __init__(self, *, url: str, bearer: str) -> None:
        """Create a client; nothing is sent yet.

        Args:
            url: base URL of the daemon, with an IP number and a port.
            bearer: the bearer key, empty for none.

        Raises:
            DaemonUnreachableError: the URL contains no IP number and port.
        """
        try:
            address = Address.parse(urlsplit(url).netloc)
        except InvalidAddress as error:
            raise DaemonUnreachableError(f'{url}: {error}') from None
        self._client = HttpClient(
            address=address,
            max_connections=1,
            connect_timeout_ms=_CONNECT_TIMEOUT_MS,
        )
        self._headers = {'authorization': f'Bearer {bearer}'} if bearer else {}

    async def read_config(self) -> ConfigView | Refused:
        """Read the configuration in force.

        Returns:
            The configuration.

        Raises:
            UnexpectedAnswerError: the document in the response is invalid.
        """
        response = await self._call('GET', '/v1/config')
        if response.status != _STATUS_OK:
            return _decode_refusal(response)
        content = _decode(response)
        document = decode_document(json.dumps(content['document']).encode())
        if not isinstance(document, Document):
            raise UnexpectedAnswerError(str(document.faults[0]))
        return ConfigView(version=content['version'], document=document)

    async def apply_config(
        self, *, document: Document, expect_version: int
    ) -> ApplyOutcome:
        """Apply a document.

        Args:
            document: the whole configuration.
            expect_version: the version that it replaces.

        Returns:
            Whether it was applied, or why not.
        """
        body = msgspec.json.encode(
            {
                'expected_version': expect_version,
                'document': msgspec.Raw(document.to_bytes()),
            }
        )
        response = await self._call('PUT', '/v1/config', body)
        if response.status == _STATUS_OK:
            return Applied(version=_decode(response)['version'])
        if response.status == _STATUS_CONFLICT:
            return VersionConflict(version=_decode(response)['version'])
        return _decode_refusal(response)

    async def read_status(self) -> DaemonStatus | Refused:
        """Read the state of the daemon.

        Returns:
            Its state.
        """
        response = await self._call('GET', '/v1/status')
        if response.status != _STATUS_OK:
            return _decode_refusal(response)
        content = _decode(response)
        content['leader'] = content['leaders'].get(content['domain'])
        content['epoch'] = content['leader_epoch']
        content['is_draining'] = content['state'] == 'draining'
        return _convert(content, DaemonStatus)

    async def submit(
        self, *, specification: bytes, idempotency_key: str
    ) -> SubmitOutcome:
        """Submit a job.

        Args:
            specification: the job as JSON.
            idempotency_key: submitting again with it yields the same job.

        Returns:
            Whether the job was accepted.

        Raises:
            AnswerLostError: it is not known whether the job was stored.
        """
        body = json.loads(specification)
        if isinstance(body, dict):
            body['idempotency_key'] = idempotency_key
        response = await self._call(
            'POST', '/v1/jobs', json.dumps(body).encode()
        )
        content = _decode(response)
        if response.status == _STATUS_UNKNOWN:
            raise AnswerLostError('the store did not confirm the job')
        if response.status != _STATUS_ACCEPTED:
            return _decode_refusal(response)
        return Accepted(job_id=content['job_id'], ticket=content['ticket'])

    async def read_job(
        self, *, job_id: str, ticket: str, wait_ms: Millis
    ) -> JobOutcome:
        """Read the state of a job.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.
            wait_ms: how long the daemon may delay its answer until the job
                has ended, in ms; extends the time limit of the call.

        Returns:
            The state of the job.
        """
        response = await self._call(
            'GET',
            f'/v1/jobs/{job_id}',
            query={'wait_ms': str(wait_ms)},
            ticket=ticket,
            timeout_ms=Millis(_TIMEOUT_MS + wait_ms),
        )
        if response.status == _STATUS_NOT_FOUND:
            return JobNotFound(job_id=job_id)
        if response.status != _STATUS_OK:
            return _decode_refusal(response)
        job = _convert(_decode(response), _JobBody)
        task_results = [result for result in job.results if result is not None]
        is_failed = job.state is JobViewState.FAILED
        return JobView(
            job_id=job.job_id,
            state=job.state,
            tasks=len(job.tasks),
            finished_tasks=job.tasks.count('finished'),
            results=tuple(task_results),
            detail=task_results[0] if is_failed and task_results else '',
        )

    async def cancel(self, *, job_id: str, ticket: str) -> CancelOutcome:
        """Cancel a job.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.

        Returns:
            Whether the job was cancelled.
        """
        response = await self._call(
            'POST', f'/v1/jobs/{job_id}/cancel', ticket=ticket
        )
        if response.status == _STATUS_OK:
            return Cancelled(job_id=job_id)
        if response.status != _STATUS_CONFLICT:
            return _decode_refusal(response)
        job = await self.read_job(
            job_id=job_id, ticket=ticket, wait_ms=Millis(0)
        )
        if isinstance(job, JobView):
            return NotCancelled(job_id=job_id, state=job.state)
        return job

    async def read_slo(self) -> SloView | Refused:
        """Read the samples for the burn report.

        Returns:
            Samples and objectives.
        """
        response = await self._call('GET', '/v1/slo')
        if response.status != _STATUS_OK:
            return _decode_refusal(response)
        return _convert(_decode(response), SloView)

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        query: dict[str, str] | None = None,
        ticket: str = '',
        timeout_ms: Millis = _TIMEOUT_MS,
    ) -> Response:
        headers = {'jayshore-ticket': ticket} if ticket else {}
        request = Request(
            method=method,
            path=path,
            query=query or {},
            headers={**self._headers, **headers},
            body=body,
        )
        try:
            return await self._client.call(request, timeout_ms=timeout_ms)
        except ConnectFailed as connect_error:
            raise DaemonUnreachableError(str(connect_error)) from None
        except (ConnectionLost, CallTimedOut) as lost_answer:
            raise AnswerLostError(str(lost_answer)) from None


def _decode(response: Response) -> Any:
    try:
        return json.loads(response.body)
    except ValueError:
        raise UnexpectedAnswerError(f'status {response.status}') from None


def _convert(content: Any, expected: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(content, expected)
    except msgspec.ValidationError as error:
        raise UnexpectedAnswerError(str(error)) from None


def _decode_refusal(response: Response) -> Refused:
    """Decode a refusal, which has its type in one of three fields."""
    content = _decode(response)
    error_kind = (
        content.get('reason') or content.get('error') or content['outcome']
    )
    reason = _REFUSAL_REASON_BY_ERROR.get(error_kind)
    if reason is None:
        known = {known_reason.value for known_reason in RefusalReason}
        reason = RefusalReason(
            error_kind if error_kind in known else 'malformed'
        )
    faults = json.dumps(content.get('faults', ''))
    detail = content.get('detail') or faults.strip('"') or error_kind
    return Refused(
        reason=reason,
        detail=detail,
        retry_after_ms=content.get('retry_after_ms'),
    )
