"""The messages that daemons exchange, as plain data classes.

Code outside this package sees the protocol only as these types; only
`jayshore.wire.codec` knows how they are serialized.
"""

import dataclasses
import enum
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.outcomes import RequestOutcome, SubmitOutcome


class DaemonState(enum.StrEnum):
    """Lifecycle state of a daemon, which tells whether it takes new calls."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class CancelResult(enum.StrEnum):
    """Result of the cancellation of a job.

    A daemon that does not lead its domain answers `STANDBY`, as only the leader
    knows whether the job exists.
    """

    CANCELLED = 'cancelled'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    STANDBY = 'standby'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Number of free slots of one service in the sender's domain."""

    service: str
    free_slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DaemonStatus:
    """Status that a daemon reports to its peers.

    Attributes:
        sender: instance id of the daemon.
        domain: its failure domain.
        config_version: version of the configuration that it holds.
        evidence_age_ms: age, at the time of sending, of its evidence that this
            version is the newest; None without evidence. The receiver of a
            reply adds the time since it sent the call.
        leader_epoch: epoch of its leadership, 0 when it is not the leader.
        load: free slots per service.
        state: whether it takes new calls.
    """

    sender: str
    domain: str
    config_version: int
    evidence_age_ms: Millis | None
    leader_epoch: int
    load: tuple[ServiceLoad, ...]
    state: DaemonState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Call that reports the sender's status and asks for the peer's status."""

    status: DaemonStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """Reply with the peer's status.

    Attributes:
        status: status of the answering daemon.
        attests: whether the answering daemon holds no newer configuration than
            the caller and has no open promise.
    """

    status: DaemonStatus
    attests: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseConfig:
    """Call that asks for a promise before a configuration is written.

    Attributes:
        revision: store revision at which the write was announced.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseConfigReply:
    """Whether the promise was given, and the version that the peer holds."""

    promised: bool
    config_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCommitted:
    """Call that announces a configuration written to the store."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCommittedReply:
    """The version that the peer holds after the announcement."""

    config_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteRequest:
    """Call that asks the peer to run a request.

    Attributes:
        request_id: unique id, echoed by the executor.
        service: name of the service.
        team: the team on whose behalf it runs.
        key_id: id of the API key of the caller, empty for an open queue.
        config_version: configuration version under which the key was accepted.
        idempotent: whether it may be retried without proof that it did not run.
        timeout_ms: time left until the caller's timeout, in ms.
        hops: number of daemons that have forwarded it so far.
        body: body of the request, not interpreted.
        content_type: media type of the body.
    """

    request_id: str
    service: str
    team: str
    key_id: str
    config_version: int
    idempotent: bool
    timeout_ms: Millis
    hops: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteReply:
    """The outcome of a routed request."""

    outcome: RequestOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJob:
    """Call that asks the leader to accept a job whose key was checked.

    Attributes:
        record: job record as JSON.
        ticket: ticket that is returned to the submitter.
    """

    record: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJobReply:
    """The outcome of a submitted job."""

    outcome: SubmitOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TicketAccess:
    """The caller presented the ticket of the job."""

    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamAccess:
    """The caller presented a key of this team."""

    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobQuery:
    """Call that asks for the state of a job.

    Attributes:
        job_id: id of the job.
        access: ticket or team that authorizes the caller to see it.
        wait_ms: how long to wait for the job to finish, in ms.
    """

    job_id: str
    access: TicketAccess | TeamAccess
    wait_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobQueryReply:
    """State of the job as JSON, or None when the peer does not know it."""

    document: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelJob:
    """Call that cancels a job on behalf of a team."""

    job_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelJobReply:
    """The result of a cancellation."""

    result: CancelResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloQuery:
    """Call that asks for the service-level samples recorded by the peer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloReply:
    """Service-level samples as JSON of a `SloSnapshot`."""

    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """Reply when the peer's handler failed; its effects are unknown."""

    detail: str


Call: TypeAlias = (
    Heartbeat
    | PromiseConfig
    | ConfigCommitted
    | RouteRequest
    | SubmitJob
    | JobQuery
    | CancelJob
    | SloQuery
)
Reply: TypeAlias = (
    HeartbeatReply
    | PromiseConfigReply
    | ConfigCommittedReply
    | RouteReply
    | SubmitJobReply
    | JobQueryReply
    | CancelJobReply
    | SloReply
    | CallFailed
)
Message: TypeAlias = Call | Reply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """Content of one frame: a message and the id of its call."""

    call_id: int
    message: Message
