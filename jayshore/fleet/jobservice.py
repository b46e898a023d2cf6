"""Accepts, cancels and looks up jobs at any instance.

A job is accepted when the store holds it. The leader learns of it from the
store, so the instance that a caller uses need not reach the leader.
"""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import eliot

from jayshore.clock import Clock, Millis
from jayshore.fleet.admission import Admission, RefusedReason, Verdict
from jayshore.fleet.model import Job
from jayshore.fleet.peering import (
    LeaderClient,
    LeaderUnavailable,
    StateCall,
    StateReply,
    state_reply,
)
from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import (
    InvalidRecord,
    cancel_key,
    job_key,
    progress_key,
)
from jayshore.fleet.records import decode_job, decode_progress, encode_job
from jayshore.fleet.scheduler import Scheduler
from jayshore.fleet.tombstones import (
    TombstonesExhausted,
    TombstoneWriter,
    tombstone_key,
)
from jayshore.outcomes import JayshoreError
from jayshore.store.relay import RelayedStore
from jayshore.store.store import (
    Entry,
    StoreError,
    StoreRejected,
    StoreUncertain,
    Written,
)
from jayshore.store.transactions import (
    MAX_VALUE_BYTES,
    Mismatch,
    Put,
    Transaction,
    TransactionResult,
)

MIN_RETRY_MS = Millis(2000)
"""Shortest retry delay that callers are told, in ms."""

MAX_RETRY_MS = Millis(4000)
"""Longest retry delay that callers are told, in ms."""

_WRITE_RETRY_MS = Millis(500)
"""Time within which a write with an uncertain outcome is retried, in ms.

A caller that is told that the outcome is unknown retries at another instance
at once, which is faster than a second timeout here.
"""

_NO_VALUE = '{}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The store holds the job.

    Attributes:
        repeated: it held the same job before this submission.
    """

    repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The job was not accepted and never runs.

    Attributes:
        reason: reason of the refusal.
        retry_after_ms: delay before a retry in ms, None when a retry is
            useless.
    """

    reason: RefusedReason
    retry_after_ms: Millis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Uncertain:
    """The store did not reply, and may hold the job."""


SubmitResult: TypeAlias = Accepted | Refused | Uncertain


class JobServiceUnavailable(JayshoreError):
    """The leader or the store that a call needs did not reply."""


class JobService:
    """Accepts, cancels and looks up jobs for the callers of one instance."""

    def __init__(
        self,
        *,
        store: RelayedStore,
        leader: LeaderClient,
        scheduler: Callable[[], Scheduler | None],
        clock: Clock,
        admission: Admission,
        tombstones: TombstoneWriter,
        max_value_bytes: int = MAX_VALUE_BYTES,
    ) -> None:
        """Create the service of one instance.

        Args:
            store: the store.
            leader: client of the leader.
            scheduler: returns the scheduler, None while this instance does not
                lead.
            clock: local clock.
            admission: decides what is refused under load.
            tombstones: writes those of cancelled jobs that are not stored.
            max_value_bytes: largest value that the store takes, in bytes.
        """
        self._clock = clock
        self._admission = admission
        self._tombstones = tombstones
        self._max_value_bytes = max_value_bytes
        self._store = store
        self._leader = leader
        self._scheduler = scheduler

    def retry_after(self) -> Millis:
        """Choose the retry delay for callers that are refused now.

        Callers make only a few attempts. During a store outage the delay grows
        with the outage, because an outage that has lasted for some time is
        likely to last as long again. An instance that reaches neither the
        store nor other instances sends its callers elsewhere without delay.

        Returns:
            Delay in ms.
        """
        reachability = self._store.reachability
        if reachability.isolated:
            return Millis(0)
        lost = reachability.unavailable_for_ms
        return Millis(min(MAX_RETRY_MS, max(MIN_RETRY_MS, lost)))

    async def submit(self, job: Job) -> SubmitResult:
        """Accept a job.

        Args:
            job: the job; an id is accepted only once, and not after a
                cancellation in its workspace.

        Returns:
            Outcome to report to the caller.
        """
        text = encode_job(job)
        if len(text.encode()) > self._max_value_bytes:
            return Refused(reason=RefusedReason.TOO_LARGE)
        if self._store.reachability.no_route:
            return self._refuse_unavailable()
        verdict = self._admission.check(job)
        if verdict is not None:
            return await self._refuse(job, verdict)
        return await self._store_job(job, text)

    async def cancel(self, job_id: str, workspace: str | None) -> bool:
        """Cancel a job.

        Args:
            job_id: the job.
            workspace: workspace of the caller, None in a public queue.

        Returns:
            False when this workspace has no such job, and none is accepted
            from a submission before this call.

        Raises:
            JobServiceUnavailable: the store did not reply, or too many jobs
                that it does not hold are cancelled.
        """
        try:
            entry = await self._store.get(job_key(job_id))
            if entry is None:
                await self._tombstones.write(workspace or '', job_id)
                # The job may have been stored before its tombstone.
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
        except (StoreError, TombstonesExhausted) as error:
            raise JobServiceUnavailable(str(error)) from None
        eliot.log_message('job:cancelled', job=job_id)
        return True

    async def state(
        self, job_id: str, workspace: str | None
    ) -> JobState | None:
        """Look up the state of a job.

        Args:
            job_id: the job.
            workspace: workspace of the caller, None in a public queue.

        Returns:
            The state, or None when this workspace has no such job.

        Raises:
            JobServiceUnavailable: neither the leader nor the store replied.
        """
        reply = await self._ask_state(job_id)
        if reply is None or reply.state is None:
            # The leader may not know a job that was just accepted.
            reply = await self._read_state(job_id)
        if reply.state is None:
            return None
        if workspace is not None and reply.workspace != workspace:
            return None
        return reply.state

    async def pending(self, queue: str) -> int:
        """Count the jobs of a queue of which no task has started.

        Args:
            queue: name of the queue.

        Returns:
            The number of such jobs.

        Raises:
            JobServiceUnavailable: the leader did not reply.
        """
        scheduler = self._scheduler()
        if scheduler is not None:
            return scheduler.pending(queue)
        try:
            return await self._leader.ask_pending(queue)
        except LeaderUnavailable as error:
            raise JobServiceUnavailable(str(error)) from None

    async def _store_job(self, job: Job, text: str) -> SubmitResult:
        key = job_key(job.job_id)
        tombstone = tombstone_key(job.workspace, job.job_id)
        transaction = Transaction(
            expected=((key, 0), (tombstone, 0)),
            puts=(Put(key=key, value=text),),
        )
        uncertain = False
        started = self._clock.now()
        while self._may_send(started):
            try:
                written = await self._store.transact(transaction)
            except StoreUncertain:
                uncertain = True
                continue
            except StoreError as error:
                refusal = self._refuse_not_stored(job, error)
                return Uncertain() if uncertain else refusal
            if isinstance(written, Written):
                return Accepted()
            if _is_cancelled(written, key, tombstone):
                return Refused(reason=RefusedReason.CANCELLED)
            return await self._compare_stored(job, uncertain)
        return Uncertain() if uncertain else self._refuse_unavailable()

    def _refuse_not_stored(self, job: Job, error: StoreError) -> Refused:
        eliot.log_message('job:not_stored', job=job.job_id, error=str(error))
        if isinstance(error, StoreRejected):
            return Refused(reason=RefusedReason.TOO_LARGE)
        return self._refuse_unavailable()

    async def _refuse(self, job: Job, verdict: Verdict) -> SubmitResult:
        """Refuse a job unless an earlier attempt has been accepted.

        A caller whose first attempt got no answer repeats it, and may not be
        told that the job never runs.
        """
        try:
            entry = await self._store.get(job_key(job.job_id))
        except StoreError:
            return Uncertain()
        if entry is not None:
            return await self._compare_stored(job, uncertain=False)
        self._admission.note_refused(job, verdict)
        return Refused(
            reason=verdict.reason, retry_after_ms=verdict.retry_after_ms
        )

    def _refuse_unavailable(self) -> Refused:
        return Refused(
            reason=RefusedReason.STORE_UNAVAILABLE,
            retry_after_ms=self.retry_after(),
        )

    def _may_send(self, started: Millis) -> bool:
        """Return whether a write may be sent, for the first time or again."""
        return self._clock.now() - started < _WRITE_RETRY_MS

    async def _compare_stored(self, job: Job, uncertain: bool) -> SubmitResult:
        """Compare a submitted job with the stored one of the same id."""
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


def _is_cancelled(written: TransactionResult, key: str, tombstone: str) -> bool:
    """Return whether a job was not stored because it has a tombstone."""
    return (
        isinstance(written, Mismatch)
        and not written.revisions.get(key)
        and bool(written.revisions.get(tombstone))
    )


def _is_owner(entry: Entry, workspace: str | None) -> bool:
    try:
        job = decode_job(entry.value)
    except InvalidRecord:
        return False
    return workspace is None or job.workspace == workspace
