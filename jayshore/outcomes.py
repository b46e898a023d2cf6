"""Tagged outcomes: what a caller is told, and the errors of the project.

Every failure has a type here or beside the code that raises it, so that no
caller has to parse a message.
"""

import dataclasses
import enum
from typing import TypeAlias

from jayshore.clock import Millis


class JayshoreError(Exception):
    """Base of every exception that the project raises on purpose."""


class NotRunReason(enum.StrEnum):
    """Why a request certainly did not run."""

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
    """The request ran and this is its whole answer."""

    body: bytes
    content_type: str = 'application/octet-stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Nothing ran and nothing will.

    Attributes:
        reason: why.
        retry_after_ms: when to try again, or None when trying again is useless.
    """

    reason: NotRunReason
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """It could not be established whether the request ran."""

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
        job_id: the id under which it is recorded.
        ticket: the secret with which its result can be fetched.
    """

    job_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The job was not recorded and will not run.

    Attributes:
        reason: why.
        detail: which field, resource or limit, in one line.
        retry_after_ms: when to try again, or None when trying again is useless.
    """

    reason: RefusalReason
    detail: str = ''
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unconfirmed:
    """The store did not say whether it recorded the job.

    Attributes:
        job_id: the id under which it may be recorded.
        ticket: shows later whether it is.
        retry_after_ms: when to look, or to submit again with the same
            idempotency key.
    """

    job_id: str
    ticket: str
    retry_after_ms: Millis = Millis(1000)


SubmitOutcome: TypeAlias = Accepted | Refused | Unconfirmed
