"""The messages that daemons exchange, as plain data.

These types are the only view of the protocol outside this package; how they
are serialized is known to `jayshore.wire.codec` alone.
"""

import dataclasses
import enum
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.outcomes import RequestOutcome, SubmitOutcome


class DaemonState(enum.StrEnum):
    """Whether a daemon takes new calls."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class CancelResult(enum.StrEnum):
    """What became of the cancellation of a job.

    A daemon that does not lead its domain answers `STANDBY`: whether there is
    such a job is for the leader to say.
    """

    CANCELLED = 'cancelled'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    STANDBY = 'standby'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Free slots of one service in the sender's domain."""

    service: str
    free_slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DaemonStatus:
    """What a daemon reports about itself.

    Attributes:
        sender: instance id of the daemon.
        domain: its failure domain.
        config_version: version of the configuration that it holds.
        evidence_age_ms: age of its evidence, at the time of sending, that this
            version is the newest; None without evidence. The receiver adds the
            time since it sent the call that this answers.
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
    """A daemon tells a peer its status and asks for the peer's."""

    status: DaemonStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """The peer's status.

    Attributes:
        status: status of the answering daemon.
        attests: the answering daemon holds no newer version than the asking
            one and has no open promise.
    """

    status: DaemonStatus
    attests: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseConfig:
    """A writer asks for a promise before it writes a configuration.

    Attributes:
        revision: store revision of the announcement of the write.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseConfigReply:
    """Whether the promise was given, and the version held by the peer."""

    promised: bool
    config_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCommitted:
    """A configuration was written to the store."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigCommittedReply:
    """The version that the peer holds after the notice."""

    config_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteRequest:
    """A request that the peer is asked to run.

    Attributes:
        request_id: unique id, echoed by the executor.
        service: name of the service.
        team: the team for which it runs.
        key_id: the key that was presented, empty for an open queue.
        config_version: version under which the key was accepted.
        idempotent: whether it may be retried without proof.
        timeout_ms: remaining time of the caller.
        hops: how many daemons have forwarded it so far.
        body: opaque.
        content_type: of the body.
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
    """A job whose key was checked and that the leader is asked to accept.

    Attributes:
        record: JSON of the job record.
        ticket: returned to the submitter.
    """

    record: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJobReply:
    """What became of a submitted job."""

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
    """Ask for the state of a job.

    Attributes:
        job_id: id of the job.
        access: what entitles the caller to see it.
        wait_ms: how long to wait for the job to finish.
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
    """Cancel a job on behalf of a team."""

    job_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelJobReply:
    """What became of the cancellation."""

    result: CancelResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloQuery:
    """Ask for the service-level samples that the peer has recorded."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloReply:
    """Samples as JSON of a `SloSnapshot`."""

    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """The peer's handler failed; what it did before is not known."""

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
    """One frame: a message and the id of the call that it belongs to."""

    call_id: int
    message: Message
