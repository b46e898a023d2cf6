"""Takes the leadership of the deployment up and gives it up again."""

from collections.abc import Callable
from typing import Any

import curio
import eliot

from jayshore.clock import Millis, to_seconds
from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.records import (
    HEAD_KEY,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    InvalidRecord,
    ProgressRecord,
    decode_job,
    decode_progress,
    parse_job_key,
)
from jayshore.fleet.scheduler import Scheduler, SchedulerDependencies
from jayshore.leases.leadership import Leadership, LeadershipObserver
from jayshore.store.journal import Journal, JournalFenced
from jayshore.store.mirror import Mirror, MirrorObserver
from jayshore.store.store import Entry, Listing, StoreError
from jayshore.store.transactions import TransactionStore

_WATCH_MS = Millis(2000)
_WORKER_PAUSE_MS = Millis(400)
_JOB_PAUSE_MS = Millis(40)
_JOURNAL_PAUSE_MS = Millis(35)
_RETRY_MS = Millis(100)


class JobIntake(MirrorObserver):
    """Hands accepted jobs and cancellations to a scheduler."""

    def __init__(
        self, *, scheduler: Scheduler, progress: dict[str, ProgressRecord]
    ) -> None:
        """Use a scheduler.

        Args:
            scheduler: takes the jobs.
            progress: what former leaders recorded, by job.
        """
        self._scheduler = scheduler
        self._progress = progress

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Take a change over.

        Args:
            key: the key.
            entry: its new entry, None when the key is gone.
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
            return
        self._scheduler.add_job(job, self._progress.pop(job_id, None))


class WorkerIntake(MirrorObserver):
    """Hands registrations of workers to a scheduler."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        decode: Callable[[str, str], WorkerEntry | None],
        prefix: str,
    ) -> None:
        """Use a scheduler.

        Args:
            scheduler: takes the registrations.
            decode: decodes the id and the value of a registration; None for
                one that names no worker.
            prefix: start of the keys.
        """
        self._scheduler = scheduler
        self._decode = decode
        self._prefix = prefix

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Take a change over.

        Args:
            key: the key.
            entry: its new entry, None when the key is gone.
        """
        worker_id = key.removeprefix(self._prefix)
        decoded = None
        if entry is not None:
            decoded = self._decode(worker_id, entry.value)
            if decoded is None:
                eliot.log_message('worker:invalid', worker=worker_id)
        await self._scheduler.set_worker(worker_id, decoded)


class LeaderRole(LeadershipObserver):
    """Runs a scheduler for as long as this instance leads."""

    def __init__(
        self,
        *,
        store: TransactionStore,
        dependencies: SchedulerDependencies,
        worker_prefix: str,
        decode_worker: Callable[[str, str], WorkerEntry | None],
    ) -> None:
        """Prepare to lead.

        Args:
            store: the store.
            parts: what any leader uses.
            worker_prefix: start of the keys of registrations.
            decode_worker: decodes the id and the value of a registration.
        """
        self._store = store
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._metrics = dependencies.metrics
        self._worker_prefix = worker_prefix
        self._decode_worker = decode_worker
        self._leadership: Leadership | None = None
        self._scheduler: Scheduler | None = None
        self._ready = False
        self._scheduler_task: Any = None
        self._fenced = curio.Event()

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler while this instance leads and knows all jobs.

        None also when the store has not confirmed the leadership for so long
        that another instance may lead.
        """
        if not self._ready or self._leadership is None:
            return None
        age = self._clock.now() - self._leadership.confirmed_at
        return self._scheduler if age < self._leadership.ttl_ms else None

    def attach(self, leadership: Leadership) -> None:
        """Name the leadership that elects this seat.

        Args:
            leadership: tells when it was confirmed.
        """
        self._leadership = leadership

    async def elected(self, epoch: int) -> None:
        """Start to lead.

        Args:
            epoch: of this leadership.
        """
        self._scheduler_task = await curio.spawn(self._lead, epoch, daemon=True)

    async def deposed(self) -> None:
        """Stop to lead."""
        self._ready = False
        self._metrics.leader_epoch.set(0)
        scheduler_task = self._scheduler_task
        self._scheduler_task = None
        if scheduler_task is not None:
            await scheduler_task.cancel()
        self._scheduler = None

    async def wait_fenced(self) -> None:
        """Wait until another leader has claimed the journal."""
        await self._fenced.wait()
        self._fenced.clear()

    async def _lead(self, epoch: int) -> None:
        try:
            await self._lead_until_fenced(epoch)
        except JournalFenced as error:
            eliot.log_message('leader:fenced', epoch=epoch, error=str(error))
            await self._give_up()
        except Exception as unexpected:
            # An instance that led on without its scheduler would keep others
            # from leading.
            eliot.write_traceback()
            eliot.log_message('leader:failed', error=repr(unexpected))
            await self._give_up()

    async def _give_up(self) -> None:
        self._ready = False
        await self._fenced.set()

    async def _lead_until_fenced(self, epoch: int) -> None:
        leadership = self._leadership
        assert leadership is not None  # noqa: S101
        started_at = self._clock.now()
        journal = Journal(
            store=self._store,
            head_key=HEAD_KEY,
            epoch=epoch,
            pause_ms=_JOURNAL_PAUSE_MS,
        )
        await journal.claim()
        progress = await self._read_progress()
        scheduler = Scheduler(
            dependencies=self._dependencies,
            journal=journal,
            epoch=epoch,
            confirmed_at=lambda: leadership.confirmed_at,
        )
        self._scheduler = scheduler
        jobs = self._mirror(
            JOB_PREFIX,
            JobIntake(scheduler=scheduler, progress=progress),
            pause_ms=_JOB_PAUSE_MS,
        )
        workers = self._mirror(
            self._worker_prefix,
            WorkerIntake(
                scheduler=scheduler,
                decode=self._decode_worker,
                prefix=self._worker_prefix,
            ),
            pause_ms=_WORKER_PAUSE_MS,
        )
        group = curio.TaskGroup(wait=any)
        async with group:
            await group.spawn(journal.run)
            await group.spawn(jobs.run)
            await jobs.wait_loaded()
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
        _raise_failure(group)

    async def _read_progress(self) -> dict[str, ProgressRecord]:
        listing: Listing | None = None
        while listing is None:
            try:
                listing = await self._store.list(PROGRESS_PREFIX)
            except StoreError as error:
                eliot.log_message('leader:not_read', error=str(error))
                await curio.sleep(to_seconds(_RETRY_MS))
        return _decode_progress(listing)

    def _mirror(
        self,
        prefix: str,
        observer: MirrorObserver,
        pause_ms: Millis,
    ) -> Mirror:
        return Mirror(
            store=self._store,
            clock=self._clock,
            prefix=prefix,
            observer=observer,
            wait_ms=_WATCH_MS,
            pause_ms=pause_ms,
        )


def _raise_failure(group: Any) -> None:
    """Raise what ended the first task of a group."""
    if group.exception is not None:
        raise group.exception


def _decode_progress(listing: Listing) -> dict[str, ProgressRecord]:
    found: dict[str, ProgressRecord] = {}
    for entry in listing.entries:
        job_id = entry.key.removeprefix(PROGRESS_PREFIX)
        try:
            found[job_id] = decode_progress(entry.value)
        except InvalidRecord as error:
            eliot.log_message('job:invalid', job=job_id, error=str(error))
    return found
