"""Interface of a daemon for the commands (design, section 8.1).

The commands depend only on this interface, so they can be tested without a
daemon. Outcomes that the daemon reports are returned; failures of the
connection are raised.
"""

import abc
import dataclasses
import enum
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.outcomes import JayshoreError, Refused, SubmitOutcome
from jayshore.report.burn import SloObjective
from jayshore.report.samples import SloSnapshot


class DaemonCallError(JayshoreError):
    """A call yielded no outcome; `kind` is the error type shown to the user."""

    kind = 'call_failed'


class DaemonUnreachableError(DaemonCallError):
    """No connection was established, so the call had no effect."""

    kind = 'unreachable'


class AnswerLostError(DaemonCallError):
    """The call was sent but not answered; it may have taken effect."""

    kind = 'answer_lost'


class UnexpectedAnswerError(DaemonCallError):
    """The answer does not follow the protocol."""

    kind = 'unexpected_answer'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigView:
    """The configuration in force.

    Attributes:
        version: its version, 0 when none has been applied yet.
        document: the configuration.
    """

    version: int
    document: Document


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """The document was applied and is in force as this version."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionConflict:
    """Nothing was applied, because another version is in force."""

    version: int


ApplyOutcome: TypeAlias = Applied | VersionConflict | Refused


class JobViewState(enum.StrEnum):
    """The states of a job that a caller can see."""

    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in {JobViewState.WAITING, JobViewState.RUNNING}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobView:
    """A job as shown to its submitter.

    Attributes:
        job_id: id of the job.
        state: state of the job.
        tasks: number of its tasks.
        finished_tasks: number of its tasks that have finished.
        results: results of its tasks, without tasks that have none.
        detail: why the job failed, in one line, empty when not known.
    """

    job_id: str
    state: JobViewState
    tasks: int = 0
    finished_tasks: int = 0
    results: tuple[str, ...] = ()
    detail: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobNotFound:
    """There is no such job, or the ticket and key do not belong to it."""

    job_id: str


JobOutcome: TypeAlias = JobView | JobNotFound | Refused


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The job was cancelled; it starts no more tasks."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotCancelled:
    """The job was not cancelled; it had already ended in this state."""

    job_id: str
    state: JobViewState


CancelOutcome: TypeAlias = Cancelled | NotCancelled | JobNotFound | Refused


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerStatus:
    """Another daemon as seen by the daemon that was queried.

    Attributes:
        name: its name in the roster.
        domain: its failure domain.
        is_reachable: whether it answers heartbeats.
        config_version: version of the configuration that it holds.
        evidence_age_ms: age of its evidence that this version is the newest, in
            ms; None without evidence.
    """

    name: str
    domain: str
    is_reachable: bool
    config_version: int
    evidence_age_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DaemonStatus:
    """The state of the daemon that was queried.

    Attributes:
        name: its name in the roster.
        domain: its failure domain.
        leader: the leader of its domain, None when there is none.
        epoch: the epoch of that leader.
        config_version: version of the configuration that it holds.
        evidence_age_ms: age of its evidence that this version is the newest, in
            ms; None without evidence.
        is_fresh: whether its evidence is recent enough to accept work that is
            submitted with a key.
        is_draining: whether it is shutting down.
        peers: the other daemons of the roster.
    """

    name: str
    domain: str
    leader: str | None
    epoch: int
    config_version: int
    evidence_age_ms: Millis | None
    is_fresh: bool
    is_draining: bool
    peers: tuple[PeerStatus, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloView:
    """Input of a burn report.

    Attributes:
        now_ms: when the samples were taken, in ms since the Unix epoch.
        snapshot: merged samples of all daemons that were reached.
        objectives: the objectives in the configuration in force.
    """

    now_ms: Millis
    snapshot: SloSnapshot
    objectives: tuple[SloObjective, ...]


class DaemonClient(abc.ABC):
    """Client of one daemon, with the key of one team or operator.

    Every method raises a DaemonCallError when it receives no outcome.
    """

    @abc.abstractmethod
    async def read_config(self) -> ConfigView | Refused:
        """Call `GET /v1/config`.

        Returns:
            The configuration in force.
        """

    @abc.abstractmethod
    async def apply_config(
        self, *, document: Document, expect_version: int
    ) -> ApplyOutcome:
        """Call `PUT /v1/config`.

        Args:
            document: the whole configuration.
            expect_version: the version that it replaces.

        Returns:
            Whether it was applied, or why not.
        """

    @abc.abstractmethod
    async def read_status(self) -> DaemonStatus | Refused:
        """Call `GET /v1/status`.

        Returns:
            The state of the daemon.
        """

    @abc.abstractmethod
    async def submit(
        self, *, specification: bytes, idempotency_key: str
    ) -> SubmitOutcome:
        """Call `POST /v1/jobs`.

        Args:
            specification: the job as JSON.
            idempotency_key: submitting again with it yields the same job.

        Returns:
            Whether the job was accepted.
        """

    @abc.abstractmethod
    async def read_job(
        self, *, job_id: str, ticket: str, wait_ms: Millis
    ) -> JobOutcome:
        """Call `GET /v1/jobs/<id>?wait_ms=`.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.
            wait_ms: how long the daemon may delay its answer until the job has
                ended, in ms.

        Returns:
            The state of the job, at its end or after the wait.
        """

    @abc.abstractmethod
    async def cancel(self, *, job_id: str, ticket: str) -> CancelOutcome:
        """Call `POST /v1/jobs/<id>/cancel`.

        Args:
            job_id: id of the job.
            ticket: its ticket, empty to use the key instead.

        Returns:
            Whether the job was cancelled.
        """

    @abc.abstractmethod
    async def read_slo(self) -> SloView | Refused:
        """Call `GET /v1/slo`.

        Returns:
            Samples and objectives.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
