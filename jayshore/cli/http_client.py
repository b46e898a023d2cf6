"""Calls one daemon over HTTP on behalf of a command."""

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

# Errors of the daemon that mean the same as the refusal of a job.
_REASON_OF_ERROR = {  # noqa: WPS407 never changed
    'unauthorised': RefusalReason.UNAUTHORISED,
    'not_fresh': RefusalReason.NOT_FRESH,
    'no_majority': RefusalReason.STORE_UNAVAILABLE,
    'unsettled': RefusalReason.STORE_UNAVAILABLE,
    'too_many_connections': RefusalReason.OVER_LIMIT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _JobAnswer:
    job_id: str
    state: JobViewState
    tasks: tuple[str, ...]
    results: tuple[str | None, ...]


class HttpDaemonClient(DaemonClient):
    """One daemon over HTTP."""

    def __init__(self, *, url: str, bearer: str) -> None:
        """Prepare to call; nothing is sent yet.

        Args:
            url: base URL of the daemon, with an IP number and a port.
            bearer: the bearer key, empty for none.

        Raises:
            DaemonUnreachableError: the URL names no address.
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
            UnexpectedAnswerError: the document is not valid.
        """
        answer = await self._call('GET', '/v1/config')
        if answer.status != _STATUS_OK:
            return _refusal(answer)
        content = _decode(answer)
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
            What became of it.
        """
        body = msgspec.json.encode(
            {
                'expected_version': expect_version,
                'document': msgspec.Raw(document.to_bytes()),
            }
        )
        answer = await self._call('PUT', '/v1/config', body)
        if answer.status == _STATUS_OK:
            return Applied(version=_decode(answer)['version'])
        if answer.status == _STATUS_CONFLICT:
            return VersionConflict(version=_decode(answer)['version'])
        return _refusal(answer)

    async def read_status(self) -> DaemonStatus | Refused:
        """Read the state of the daemon.

        Returns:
            Its state.
        """
        answer = await self._call('GET', '/v1/status')
        if answer.status != _STATUS_OK:
            return _refusal(answer)
        content = _decode(answer)
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
            AnswerLostError: it is not known whether the job was recorded.
        """
        body = json.loads(specification)
        if isinstance(body, dict):
            body['idempotency_key'] = idempotency_key
        answer = await self._call('POST', '/v1/jobs', json.dumps(body).encode())
        content = _decode(answer)
        if answer.status == _STATUS_UNKNOWN:
            raise AnswerLostError('the store did not confirm the job')
        if answer.status != _STATUS_ACCEPTED:
            return _refusal(answer)
        return Accepted(job_id=content['job_id'], ticket=content['ticket'])

    async def read_job(
        self, *, job_id: str, ticket: str, wait_ms: Millis
    ) -> JobOutcome:
        """Read the state of a job.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.
            wait_ms: how long the daemon waits for the job's end.

        Returns:
            The job's state.
        """
        answer = await self._call(
            'GET',
            f'/v1/jobs/{job_id}',
            query={'wait_ms': str(wait_ms)},
            ticket=ticket,
            timeout_ms=Millis(_TIMEOUT_MS + wait_ms),
        )
        if answer.status == _STATUS_NOT_FOUND:
            return JobNotFound(job_id=job_id)
        if answer.status != _STATUS_OK:
            return _refusal(answer)
        shown = _convert(_decode(answer), _JobAnswer)
        ended = [result for result in shown.results if result is not None]
        is_failed = shown.state is JobViewState.FAILED
        return JobView(
            job_id=shown.job_id,
            state=shown.state,
            tasks=len(shown.tasks),
            finished_tasks=shown.tasks.count('finished'),
            results=tuple(ended),
            detail=ended[0] if is_failed and ended else '',
        )

    async def cancel(self, *, job_id: str, ticket: str) -> CancelOutcome:
        """Cancel a job.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.

        Returns:
            Whether the job was cancelled.
        """
        answer = await self._call(
            'POST', f'/v1/jobs/{job_id}/cancel', ticket=ticket
        )
        if answer.status == _STATUS_OK:
            return Cancelled(job_id=job_id)
        if answer.status != _STATUS_CONFLICT:
            return _refusal(answer)
        shown = await self.read_job(
            job_id=job_id, ticket=ticket, wait_ms=Millis(0)
        )
        if isinstance(shown, JobView):
            return NotCancelled(job_id=job_id, state=shown.state)
        return shown

    async def read_slo(self) -> SloView | Refused:
        """Read the samples for the burn report.

        Returns:
            Samples and objectives.
        """
        answer = await self._call('GET', '/v1/slo')
        if answer.status != _STATUS_OK:
            return _refusal(answer)
        return _convert(_decode(answer), SloView)

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
        except ConnectFailed as failed:
            raise DaemonUnreachableError(str(failed)) from None
        except (ConnectionLost, CallTimedOut) as lost:
            raise AnswerLostError(str(lost)) from None


def _decode(answer: Response) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError:
        raise UnexpectedAnswerError(f'status {answer.status}') from None


def _convert(content: Any, kind: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(content, kind)
    except msgspec.ValidationError as error:
        raise UnexpectedAnswerError(str(error)) from None


def _refusal(answer: Response) -> Refused:
    """Read a refusal, in whichever form the daemon gives it."""
    content = _decode(answer)
    kind = content.get('reason') or content.get('error') or content['outcome']
    reason = _REASON_OF_ERROR.get(kind)
    if reason is None:
        known = {one.value for one in RefusalReason}
        reason = RefusalReason(kind if kind in known else 'malformed')
    faults = json.dumps(content.get('faults', ''))
    detail = content.get('detail') or faults.strip('"') or kind
    return Refused(
        reason=reason,
        detail=detail,
        retry_after_ms=content.get('retry_after_ms'),
    )
