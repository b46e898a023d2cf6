"""The outcomes of requests and submissions, and the base of all errors.

Every failure has a type, here or in the module that raises it, so that callers
need not parse messages.
"""

import dataclasses
import enum
from typing import TypeAlias

from jayshore.clock import Millis


class JayshoreError(Exception):
    """Base class of the exceptions that this project defines."""


class NotRunReason(enum.StrEnum):
    """Why a request did not run."""

    UNAUTHORISED = 'unauthorised'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    NOT_FRESH = 'not_fresh'
    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    WOULD_MISS_DEADLINE = 'would_miss_deadline'
    NO_EXECUTOR = 'no_executor'
    NO_LEADER = 'no_leader'
    SHUTTING_DOWN = 'shutting_down'


class UnknownReason(enum.StrEnum):
    """Why it is not known whether a request ran."""

    CONNECTION_LOST = 'connection_lost'
    TIMEOUT = 'timeout'
    PEER_LOST = 'peer_lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ran:
    """The request ran; this is its complete response."""

    body: bytes
    content_type: str = 'application/octet-stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request did not run and will not run later.

    Attributes:
        reason: why it did not run.
        retry_after_ms: delay before a retry, None when a retry is pointless.
    """

    reason: NotRunReason
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """It is unknown whether the request ran."""

    reason: UnknownReason


RequestOutcome: TypeAlias = Ran | NotRun | Unknown


class RefusalReason(enum.StrEnum):
    """Why a job was not accepted."""

    UNAUTHORISED = 'unauthorised'
    MALFORMED = 'malformed'
    OVER_LIMIT = 'over_limit'
    NEVER_FITS = 'never_fits'
    NOT_FRESH = 'not_fresh'
    STORE_UNAVAILABLE = 'store_unavailable'
    CONFLICT = 'conflict'
    SHUTTING_DOWN = 'shutting_down'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The job is recorded in the store.

    Attributes:
        job_id: the id of the job.
        ticket: the secret that authorises reading the job's result.
    """

    job_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The job was not recorded and will not run.

    Attributes:
        reason: why it was refused.
        detail: the field, resource or limit concerned, in one line.
        retry_after_ms: delay before a retry, None when a retry is pointless.
    """

    reason: RefusalReason
    detail: str = ''
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unconfirmed:
    """It is unknown whether the job was recorded.

    Attributes:
        job_id: the id of the job if it was recorded.
        ticket: the secret with which to look the job up later.
        retry_after_ms: delay before looking the job up, or submitting it again
            with the same idempotency key.
    """

    job_id: str
    ticket: str
    retry_after_ms: Millis = Millis(1000)


SubmitOutcome: TypeAlias = Accepted | Refused | Unconfirmed
