"""Maps outcomes of requests and submissions to HTTP responses."""

import dataclasses
import types

from jayshore.http.messages import Response, json_response
from jayshore.jobs.record import JobRecord
from jayshore.outcomes import (
    Accepted,
    NotRun,
    NotRunReason,
    Ran,
    RefusalReason,
    RequestOutcome,
    SubmitOutcome,
    Unconfirmed,
    Unknown,
)

_MS_PER_S = 1000

_STATUS_OF_NOT_RUN = types.MappingProxyType(
    {
        NotRunReason.UNAUTHORISED: 401,
        NotRunReason.MALFORMED: 400,
        NotRunReason.TOO_LARGE: 413,
        NotRunReason.UNKNOWN_SERVICE: 404,
        NotRunReason.OVER_LIMIT: 429,
        NotRunReason.OVERLOADED: 429,
    }
)
_STATUS_OF_REFUSAL = types.MappingProxyType(
    {
        RefusalReason.UNAUTHORISED: 401,
        RefusalReason.MALFORMED: 400,
        RefusalReason.OVER_LIMIT: 429,
        RefusalReason.NEVER_FITS: 422,
        RefusalReason.CONFLICT: 409,
    }
)
_STATUS_UNAVAILABLE = 503
_STATUS_UNKNOWN = 504
_STATUS_ACCEPTED = 202
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobView:
    """The JSON representation of a job that is sent to its submitter.

    Attributes:
        job_id: id of the job.
        team: the team on whose account the job runs.
        queue: the queue it was submitted to.
        state: waiting, running, or the final state of the job.
        is_final: whether the job has ended, so that its state is permanent.
        tasks: state of each task, in task order.
        results: result of each task, in task order, None without one.
        attempts: number of attempts of each task, in task order.
    """

    job_id: str
    team: str
    queue: str
    state: str
    is_final: bool
    tasks: tuple[str, ...]
    results: tuple[str | None, ...]
    attempts: tuple[int, ...]


def job_view(record: JobRecord, *, is_running: bool) -> JobView:
    """Build the representation of a job, without the scheduler's own fields.

    Args:
        record: the stored record of the job.
        is_running: whether a task of the job is known to be running.

    Returns:
        The representation for the submitter.
    """
    return JobView(
        job_id=record.job_id,
        team=record.team,
        queue=record.queue,
        state=_public_state(record, is_running=is_running),
        is_final=record.is_final,
        tasks=tuple(task.state.value for task in record.tasks),
        results=tuple(task.result for task in record.tasks),
        attempts=tuple(task.attempt for task in record.tasks),
    )


def _public_state(record: JobRecord, *, is_running: bool) -> str:
    if record.is_final:
        return record.state.value
    has_begun = any(task.is_final for task in record.tasks)
    return 'running' if is_running or has_begun else 'waiting'


def request_response(outcome: RequestOutcome) -> Response:
    """Map the outcome of a request to an HTTP response.

    Args:
        outcome: the outcome of the request.

    Returns:
        The response to the caller.
    """
    if isinstance(outcome, Ran):
        return Response(
            status=_STATUS_OK,
            headers=(
                ('content-type', outcome.content_type),
                ('jayshore-outcome', 'ran'),
            ),
            body=outcome.body,
        )
    if isinstance(outcome, Unknown):
        return json_response(
            _STATUS_UNKNOWN,
            {'outcome': 'unknown', 'reason': outcome.reason.value},
        )
    return _not_run_response(outcome)


def submission_response(outcome: SubmitOutcome) -> Response:
    """Map the outcome of a job submission to an HTTP response.

    Args:
        outcome: the outcome of the submission.

    Returns:
        The response to the caller.
    """
    if isinstance(outcome, Accepted):
        return json_response(
            _STATUS_ACCEPTED,
            {
                'outcome': 'accepted',
                'job_id': outcome.job_id,
                'ticket': outcome.ticket,
            },
        )
    if isinstance(outcome, Unconfirmed):
        unconfirmed = json_response(
            _STATUS_UNKNOWN,
            {
                'outcome': 'unknown',
                'job_id': outcome.job_id,
                'ticket': outcome.ticket,
                'retry_after_ms': outcome.retry_after_ms,
            },
        )
        return _with_retry_after(unconfirmed, outcome.retry_after_ms)
    response = json_response(
        _STATUS_OF_REFUSAL.get(outcome.reason, _STATUS_UNAVAILABLE),
        {
            'outcome': 'refused',
            'reason': outcome.reason.value,
            'detail': outcome.detail,
            'retry_after_ms': outcome.retry_after_ms,
        },
    )
    return _with_retry_after(response, outcome.retry_after_ms)


def _not_run_response(outcome: NotRun) -> Response:
    response = json_response(
        _STATUS_OF_NOT_RUN.get(outcome.reason, _STATUS_UNAVAILABLE),
        {
            'outcome': 'not_run',
            'reason': outcome.reason.value,
            'retry_after_ms': outcome.retry_after_ms,
        },
    )
    return _with_retry_after(response, outcome.retry_after_ms)


def _with_retry_after(
    response: Response, retry_after_ms: int | None
) -> Response:
    if retry_after_ms is None:
        return response
    seconds = -(-retry_after_ms // _MS_PER_S)
    header = ('retry-after', str(seconds))
    return dataclasses.replace(response, headers=(*response.headers, header))
