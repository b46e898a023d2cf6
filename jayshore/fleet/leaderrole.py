"""Runs the scheduler of the deployment while this instance is its leader."""

from collections.abc import Callable
from typing import Any

import curio
import eliot

from jayshore.clock import Millis, to_seconds
from jayshore.fleet.evacuation import (
    Evacuations,
    EvacuationSettings,
    EvacuationSubscriber,
    no_evacuations,
)
from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.recordkeys import (
    HEAD_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    InvalidRecord,
    parse_job_key,
    parse_progress_key,
)
from jayshore.fleet.records import (
    StoredProgress,
    decode_job,
    decode_progress,
    decode_segment,
)
from jayshore.fleet.scheduler import Scheduler, SchedulerDependencies
from jayshore.leases.leadership import Leadership, LeadershipObserver
from jayshore.store.journal import Journal, JournalFenced
from jayshore.store.mirror import Mirror, MirrorObserver
from jayshore.store.store import Entry, Listing, StoreError
from jayshore.store.transactions import TransactionStore

_WATCH_MS = Millis(2000)
_WORKER_BATCH_MS = Millis(400)
_JOB_BATCH_MS = Millis(40)
_JOURNAL_BATCH_MS = Millis(35)
_NO_PAUSE = Millis(0)
_RETRY_MS = Millis(100)
_JOBS_PER_TURN = 50
"""Jobs of a listing after which other tasks run, as a new leader reads many.

A job takes up to 0.2 ms, so that renewals wait for about 10 ms.
"""


class JobSubscriber(MirrorObserver):
    """Passes accepted jobs and cancellations from the store to a scheduler."""

    def __init__(
        self, *, scheduler: Scheduler, progress: dict[str, StoredProgress]
    ) -> None:
        """Create a subscriber.

        Args:
            scheduler: receives the jobs.
            progress: progress that former leaders recorded, by job id.
        """
        self._scheduler = scheduler
        self._progress = progress
        self._added = 0

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of a key in the store.

        Args:
            key: the key.
            entry: its new entry, None when the key was deleted.
        """
        job_id, cancelled = parse_job_key(key)
        if entry is None:
            return
        if cancelled:
            await self._scheduler.cancel_job(job_id)
            return
        try:
            job = decode_job(entry.value)
        except InvalidRecord as error:
            eliot.log_message('job:invalid', job=job_id, error=str(error))
            self._progress.pop(job_id, None)
            return
        self._scheduler.add_job(job, self._progress.pop(job_id, None))
        self._added += 1
        if self._added % _JOBS_PER_TURN == 0:
            await curio.sleep(0)


class WorkerSubscriber(MirrorObserver):
    """Passes registrations of workers from the store to a scheduler."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        decode: Callable[[str, str], WorkerEntry | None],
        prefix: str,
    ) -> None:
        """Create a subscriber.

        Args:
            scheduler: receives the registrations.
            decode: decodes the id and the value of a registration; returns
                None for an invalid one.
            prefix: prefix of the keys of registrations.
        """
        self._scheduler = scheduler
        self._decode = decode
        self._prefix = prefix

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of a key in the store.

        Args:
            key: the key.
            entry: its new entry, None when the key was deleted.
        """
        worker_id = key.removeprefix(self._prefix)
        decoded = None
        if entry is not None:
            decoded = self._decode(worker_id, entry.value)
            if decoded is None:
                eliot.log_message('worker:invalid', worker=worker_id)
        await self._scheduler.set_worker(worker_id, decoded)


class LeaderRole(LeadershipObserver):
    """Runs a scheduler while this instance holds the leadership."""

    def __init__(
        self,
        *,
        store: TransactionStore,
        dependencies: SchedulerDependencies,
        worker_prefix: str,
        decode_worker: Callable[[str, str], WorkerEntry | None],
        evacuation: EvacuationSettings | None = None,
    ) -> None:
        """Create the role of an instance that does not lead yet.

        Args:
            store: the store.
            dependencies: dependencies of the scheduler of any epoch.
            worker_prefix: prefix of the keys of registrations.
            decode_worker: decodes the id and the value of a registration;
                returns None for an invalid one.
            evacuation: where evacuations of failure domains are stored; None
                where there are none, so that no key is read.
        """
        self._store = store
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._metrics = dependencies.metrics
        self._worker_prefix = worker_prefix
        self._decode_worker = decode_worker
        self._evacuation = evacuation
        self._leadership: Leadership | None = None
        self._scheduler: Scheduler | None = None
        self._ready = False
        self._scheduler_task: Any = None
        self._stepped_down = curio.Event()

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler, once this instance leads and has loaded all jobs.

        None while it does not, and when the store last confirmed the leadership
        so long ago that another instance may lead.
        """
        if not self._ready or self._leadership is None:
            return None
        age = self._clock.now() - self._leadership.confirmed_at
        return self._scheduler if age < self._leadership.ttl_ms else None

    def attach(self, leadership: Leadership) -> None:
        """Set the leadership whose elections start the scheduler.

        Args:
            leadership: leadership that reports to this object.
        """
        self._leadership = leadership

    async def elected(self, epoch: int) -> None:
        """Start a scheduler after this instance was elected.

        Args:
            epoch: epoch of the leadership.
        """
        self._scheduler_task = await curio.spawn(self._lead, epoch, daemon=True)

    async def leadership_lost(self) -> None:
        """Stop the scheduler after the leadership ended."""
        self._ready = False
        self._metrics.leader_epoch.set(0)
        self._metrics.evacuated_domains.set(0)
        scheduler_task = self._scheduler_task
        self._scheduler_task = None
        if scheduler_task is not None:
            await scheduler_task.cancel()
        self._scheduler = None

    def renewal_sent(self, late_ms: Millis) -> None:
        """Record how late a renewal of the leadership is sent.

        Args:
            late_ms: how much later than planned, in ms.
        """
        self._metrics.note_renewal(late_ms)

    async def wait_for_step_down(self) -> None:
        """Wait until this instance should step down.

        That is the case after another leader has claimed the journal, and after
        the scheduler has failed.
        """
        await self._stepped_down.wait()
        self._stepped_down.clear()

    async def _lead(self, epoch: int) -> None:
        try:
            await self._lead_until_fenced(epoch)
        except JournalFenced as error:
            eliot.log_message('leader:fenced', epoch=epoch, error=str(error))
            await self._step_down()
        except Exception as unexpected:
            # An instance that renews its leadership without a scheduler would
            # prevent others from leading.
            eliot.write_traceback()
            eliot.log_message('leader:failed', error=repr(unexpected))
            await self._step_down()

    async def _step_down(self) -> None:
        self._ready = False
        await self._stepped_down.set()

    async def _lead_until_fenced(self, epoch: int) -> None:
        leadership = self._leadership
        assert leadership is not None  # noqa: S101
        started_at = self._clock.now()
        journal = Journal(
            store=self._store,
            head_key=HEAD_KEY,
            epoch=epoch,
            pause_ms=_JOURNAL_BATCH_MS,
        )
        await journal.claim()
        progress = await self._read_progress()
        evacuations, evacuation_mirror = self._follow_evacuations()
        scheduler = Scheduler(
            dependencies=self._dependencies,
            journal=journal,
            epoch=epoch,
            confirmed_at=lambda: leadership.confirmed_at,
            evacuations=evacuations,
        )
        self._scheduler = scheduler
        jobs = self._mirror(
            JOB_PREFIX,
            JobSubscriber(scheduler=scheduler, progress=progress),
            pause_ms=_JOB_BATCH_MS,
        )
        workers = self._mirror(
            self._worker_prefix,
            WorkerSubscriber(
                scheduler=scheduler,
                decode=self._decode_worker,
                prefix=self._worker_prefix,
            ),
            pause_ms=_WORKER_BATCH_MS,
        )
        group = curio.TaskGroup(wait=any)
        async with group:
            await group.spawn(journal.run)
            if evacuation_mirror is not None:
                await group.spawn(evacuation_mirror.run)
            await group.spawn(jobs.run)
            await jobs.wait_loaded()
            for job_id, orphan in progress.items():
                scheduler.drop_orphan(job_id, orphan)
            progress.clear()
            self._ready = True
            self._metrics.leader_epoch.set(epoch)
            self._metrics.note_takeover(Millis(self._clock.now() - started_at))
            eliot.log_message(
                'leader:ready',
                epoch=epoch,
                took_ms=self._clock.now() - started_at,
            )
            await group.spawn(workers.run)
            await group.spawn(scheduler.run)
        _raise_group_error(group)

    async def _read_progress(self) -> dict[str, StoredProgress]:
        listing: Listing | None = None
        while listing is None:
            try:
                listing = await self._store.list(PROGRESS_PREFIX)
            except StoreError as error:
                eliot.log_message('leader:not_read', error=str(error))
                await curio.sleep(to_seconds(_RETRY_MS))
        return await _decode_progress(listing)

    def _follow_evacuations(self) -> tuple[Evacuations, Mirror | None]:
        """Create the evacuations of a new epoch, of which none is known."""
        settings = self._evacuation
        if settings is None:
            return no_evacuations(), None
        evacuations = Evacuations(
            age_ms=lambda: mirror.age_ms, max_age_ms=settings.max_age_ms
        )
        mirror = self._mirror(
            settings.prefix,
            EvacuationSubscriber(
                evacuations=evacuations,
                prefix=settings.prefix,
                changed=self._apply_evacuations,
            ),
            wait_ms=settings.watch_ms,
        )
        return evacuations, mirror

    async def _apply_evacuations(self) -> None:
        if self._scheduler is not None:
            await self._scheduler.apply_evacuations()

    def _mirror(
        self,
        prefix: str,
        observer: MirrorObserver,
        *,
        pause_ms: Millis = _NO_PAUSE,
        wait_ms: Millis = _WATCH_MS,
    ) -> Mirror:
        return Mirror(
            store=self._store,
            clock=self._clock,
            prefix=prefix,
            observer=observer,
            wait_ms=wait_ms,
            pause_ms=pause_ms,
        )


def _raise_group_error(group: Any) -> None:
    """Raise the exception that ended the first task of a group."""
    if group.exception is not None:
        raise group.exception


async def _decode_progress(listing: Listing) -> dict[str, StoredProgress]:
    found: dict[str, StoredProgress] = {}
    for number, entry in enumerate(listing.entries, 1):
        if number % _JOBS_PER_TURN == 0:
            await curio.sleep(0)
        try:
            _add_progress(found, entry)
        except InvalidRecord as error:
            eliot.log_message('job:invalid', key=entry.key, error=str(error))
    return found


def _add_progress(found: dict[str, StoredProgress], entry: Entry) -> None:
    job_id, segment = parse_progress_key(entry.key)
    stored = found.setdefault(job_id, StoredProgress())
    if segment is None:
        stored.record = decode_progress(entry.value)
    else:
        stored.segments[segment] = decode_segment(entry.value)
