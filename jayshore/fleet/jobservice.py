"""Accepts jobs, and answers what became of them, at any instance.

A job is accepted when the store holds it. The leader learns of it from the
store, so that a caller's instance and the leader need not reach each other.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import TypeAlias

import eliot

from jayshore.clock import Clock, Millis
from jayshore.fleet.jobtable import JobState
from jayshore.fleet.model import Job
from jayshore.fleet.peering import (
    LeaderClient,
    LeaderUnavailable,
    StateCall,
    StateReply,
    state_reply,
)
from jayshore.fleet.records import (
    InvalidRecord,
    cancel_key,
    decode_job,
    decode_progress,
    encode_job,
    job_key,
    progress_key,
)
from jayshore.fleet.scheduler import Scheduler
from jayshore.outcomes import JayshoreError
from jayshore.store.relay import RelayedStore
from jayshore.store.store import (
    Entry,
    StoreError,
    StoreUncertain,
    Written,
)
from jayshore.store.transactions import (
    Put,
    Transaction,
)

MIN_RETRY_MS = Millis(2000)
"""The shortest time after which a caller is asked to come back, in ms."""

MAX_RETRY_MS = Millis(4000)
"""The longest time after which a caller is asked to come back, in ms."""

_WRITE_AGAIN_MS = Millis(500)
"""How long a write without an answer is sent again, in ms.

A caller that is told that the outcome is unknown asks another instance at
once, which is faster than to wait for a second timeout here.
"""

_NO_VALUE = '{}'


class RefusedReason(enum.StrEnum):
    """Why a job certainly was not accepted."""

    STORE_UNAVAILABLE = 'store_unavailable'
    OTHER_JOB = 'other_job'
    BACKLOG_FULL = 'backlog_full'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The store holds the job.

    Attributes:
        repeated: it held the same job before.
    """

    repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The job was not accepted and never runs.

    Attributes:
        reason: why.
        retry_after_ms: when to try again, None when that is useless.
    """

    reason: RefusedReason
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Uncertain:
    """The store gave no answer, and may hold the job."""


SubmitResult: TypeAlias = Accepted | Refused | Uncertain


class JobServiceUnavailable(JayshoreError):
    """Neither the leader nor the store answered."""


class JobService:
    """The desk of one instance."""

    def __init__(
        self,
        *,
        store: RelayedStore,
        leader: LeaderClient,
        scheduler: Callable[[], Scheduler | None],
        clock: Clock,
        full_workspaces: Callable[[], frozenset[str]],
    ) -> None:
        """Use the parts of this instance.

        Args:
            store: the store.
            leader: reaches the leader.
            scheduler: None while this instance does not lead.
            clock: our clock.
            full_workspaces: workspaces that have too many waiting jobs.
        """
        self._clock = clock
        self._full_workspaces = full_workspaces
        self._store = store
        self._leader = leader
        self._scheduler = scheduler

    def retry_after(self) -> Millis:
        """Choose when callers that are refused now should come back.

        Callers make a few attempts only. In an outage of the store they are
        spread over a time that grows with it, since an outage that has lasted
        for some time is likely to last as long again. An instance that is cut
        off from everything sends its callers to the others at once.

        Returns:
            Milliseconds.
        """
        reachability = self._store.reachability
        if reachability.isolated:
            return Millis(0)
        lost = reachability.unavailable_for_ms
        return Millis(min(MAX_RETRY_MS, max(MIN_RETRY_MS, lost)))

    async def submit(self, job: Job) -> SubmitResult:
        """Accept a job.

        Args:
            job: the job; one with the same id is accepted only once.

        Returns:
            What the caller may be told.
        """
        if job.workspace in self._full_workspaces():
            return Refused(
                reason=RefusedReason.BACKLOG_FULL, retry_after_ms=MAX_RETRY_MS
            )
        if self._store.reachability.no_route:
            return self._refuse()
        key = job_key(job.job_id)
        put = Put(key=key, value=encode_job(job))
        transaction = Transaction(expected=((key, 0),), puts=(put,))
        uncertain = False
        started = self._clock.now()
        while self._may_try(started):
            try:
                written = await self._store.transact(transaction)
            except StoreUncertain:
                uncertain = True
                continue
            except StoreError as error:
                eliot.log_message(
                    'job:not_stored', job=job.job_id, error=str(error)
                )
                break
            if isinstance(written, Written):
                return Accepted()
            return await self._compare(job, uncertain)
        return Uncertain() if uncertain else self._refuse()

    async def cancel(self, job_id: str, workspace: str | None) -> bool:
        """Cancel a job.

        Args:
            job_id: the job.
            workspace: of the caller, None in a queue that is open to all.

        Returns:
            False when there is no such job of this workspace.

        Raises:
            DeskUnavailable: the store did not answer.
        """
        try:
            entry = await self._store.get(job_key(job_id))
            if entry is None or not _is_owner(entry, workspace):
                return False
            key = cancel_key(job_id)
            await self._store.transact(
                Transaction(
                    expected=((key, 0),),
                    puts=(Put(key=key, value=_NO_VALUE),),
                )
            )
        except StoreError as error:
            raise JobServiceUnavailable(str(error)) from None
        eliot.log_message('job:cancelled', job=job_id)
        return True

    async def state(
        self, job_id: str, workspace: str | None
    ) -> JobState | None:
        """Look up the state of a job.

        Args:
            job_id: the job.
            workspace: of the caller, None in a queue that is open to all.

        Returns:
            The state, or None when there is no such job of this workspace.

        Raises:
            DeskUnavailable: neither the leader nor the store answered.
        """
        answer = await self._ask_state(job_id)
        if answer is None or answer.state is None:
            # The leader may not have seen a job that was just accepted.
            answer = await self._read_state(job_id)
        if answer.state is None:
            return None
        if workspace is not None and answer.workspace != workspace:
            return None
        return answer.state

    async def pending(self, queue: str) -> int:
        """Count the jobs of a queue of which no task has started.

        Args:
            queue: its name.

        Returns:
            The count.

        Raises:
            DeskUnavailable: the leader did not answer.
        """
        scheduler = self._scheduler()
        if scheduler is not None:
            return scheduler.pending(queue)
        try:
            return await self._leader.ask_pending(queue)
        except LeaderUnavailable as error:
            raise JobServiceUnavailable(str(error)) from None

    def _refuse(self) -> Refused:
        return Refused(
            reason=RefusedReason.STORE_UNAVAILABLE,
            retry_after_ms=self.retry_after(),
        )

    def _may_try(self, started: Millis) -> bool:
        """Tell whether a write may be sent, the first time or again."""
        return self._clock.now() - started < _WRITE_AGAIN_MS

    async def _compare(self, job: Job, uncertain: bool) -> SubmitResult:
        """Find out whether the job that the store holds is the same."""
        try:
            entry = await self._store.get(job_key(job.job_id))
        except StoreError:
            return Uncertain()
        if entry is None:
            return Uncertain()
        held = decode_job(entry.value)
        if (held.workspace, held.digest) == (job.workspace, job.digest):
            return Accepted(repeated=not uncertain)
        return Refused(reason=RefusedReason.OTHER_JOB)

    async def _ask_state(self, job_id: str) -> StateReply | None:
        scheduler = self._scheduler()
        if scheduler is not None:
            return state_reply(scheduler, StateCall(job_id=job_id))
        try:
            return await self._leader.ask_state(job_id)
        except LeaderUnavailable as error:
            eliot.log_message('job:leader_silent', job=job_id, error=str(error))
            return None

    async def _read_state(self, job_id: str) -> StateReply:
        try:
            entry = await self._store.get(job_key(job_id))
            if entry is None:
                return StateReply()
            job = decode_job(entry.value)
            progress = await self._store.get(progress_key(job_id))
            state = JobState.QUEUED
            if progress is not None:
                state = decode_progress(progress.value).state
        except (StoreError, InvalidRecord) as error:
            raise JobServiceUnavailable(str(error)) from None
        return StateReply(state=state, workspace=job.workspace)


def _is_owner(entry: Entry, workspace: str | None) -> bool:
    try:
        job = decode_job(entry.value)
    except InvalidRecord:
        return False
    return workspace is None or job.workspace == workspace
