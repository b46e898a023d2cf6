"""The leader of a failure domain, which takes over its jobs and runs them."""

import dataclasses

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs.admission import Admission
from jayshore.jobs.attempts import AttemptTable
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.jobs.inventory import InventoryReconciler
from jayshore.jobs.placing import Placer
from jayshore.jobs.probing import Prober
from jayshore.jobs.proofs import InstanceGone, LeaseExpired, Proof
from jayshore.jobs.record import WorkerBoot
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.workers import (
    InstanceObserver,
    InstanceWatcher,
    WorkerSessionRegistry,
)
from jayshore.placement.cell import Cell
from jayshore.store.instances import Instance
from jayshore.store.store import StoreError

# Lease expiry allows for a worker clock that runs 2% slower than the leader's.
_CLOCK_DRIFT_FACTOR_PERCENT = 102
_LEASE_CHECK_INTERVAL_MS = Millis(1000)
_PROBE_INTERVAL_MS = Millis(1000)
_CLEANUP_INTERVAL_MS = Millis(60_000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderComponents:
    """The components of a leader; see their classes."""

    context: LeaderContext
    cell: Cell
    repository: JobRepository
    attempts: AttemptTable
    registry: WorkerSessionRegistry
    health_monitor: WorkerHealthMonitor
    placer: Placer
    admission: Admission
    inventory: InventoryReconciler
    prober: Prober
    tasks: BackgroundTasks


class DomainLeader(InstanceObserver):
    """Takes over the jobs of a failure domain and runs them until cancelled."""

    def __init__(self, *, components: LeaderComponents) -> None:
        """Create a leader that is not running yet.

        Args:
            components: not shared with another leader.
        """
        self._components = components
        self._placer = components.placer
        self._is_ready = curio.Event()

    @property
    def components(self) -> LeaderComponents:
        """The components of the leader."""
        return self._components

    @property
    def is_ready(self) -> bool:
        """Whether all active records of earlier leaders are claimed."""
        return bool(self._is_ready.is_set())

    async def run(
        self,
        watcher: InstanceWatcher,
        *,
        round_ms: Millis,
        reconcile_ms: Millis,
        reconcile_wait_ms: Millis,
    ) -> None:
        """Take over the jobs of the domain, then run them until cancelled.

        Records are claimed before any lease is opened. A lease that is opened
        while an earlier leader may still act on a record would keep tasks
        alive that the earlier leader considers expired.

        Args:
            watcher: reports changes of the instance list to this leader.
            round_ms: longest pause between two placement rounds, in ms.
            reconcile_ms: pause between two reads of new records, in ms.
            reconcile_wait_ms: longest wait for a change in such a read, in ms.
        """
        await self._components.admission.take_over()
        spawn = self._components.tasks.spawn
        await spawn(watcher.run())
        await spawn(self._placer.run(round_ms))
        await spawn(self._watch_leases(watcher))
        await spawn(self._components.prober.run(_PROBE_INTERVAL_MS))
        await spawn(self._delete_old_records())
        await spawn(self._stop_leftover_tasks(reconcile_ms))
        await self._is_ready.set()
        while True:
            await curio.sleep(to_seconds(reconcile_ms))
            await self._reconcile(reconcile_wait_ms)

    async def wait_ready(self) -> None:
        """Wait until all active records of earlier leaders are claimed."""
        await self._is_ready.wait()

    async def load_job(self, job_id: str) -> None:
        """Read and admit a job that was just created.

        Until the leader is ready this does nothing; the record is found when
        the leader reads new records.

        Args:
            job_id: the job.
        """
        if not self.is_ready:
            return
        try:
            record = await self._components.repository.read_one(job_id)
        except StoreError as error:
            eliot.log_message('job:not_read', error=str(error))
        else:
            await self._components.admission.admit([record] if record else [])

    async def instance_added(self, instance: Instance) -> None:
        """Open a session with a worker.

        Args:
            instance: new in the instance list.
        """
        await self._components.registry.add(instance)

    async def instance_leaving(self, instance: Instance) -> None:
        """Stop placing tasks on a worker.

        Args:
            instance: listed as leaving.
        """
        if instance.id in self._placer.boots:
            self._components.health_monitor.mark_leaving(instance.id)

    async def instance_gone(self, instance: Instance) -> None:
        """Treat all attempts on a worker as ended, and remove the worker.

        Args:
            instance: no longer in the instance list.
        """
        self._components.registry.remove(instance.id)
        await self._components.inventory.end_attempts_on(
            instance.id, _instance_gone_proof
        )
        self._placer.remove_worker(instance.id)

    async def _delete_old_records(self) -> None:
        context = self._components.context
        while True:
            await curio.sleep(to_seconds(_CLEANUP_INTERVAL_MS))
            try:
                await self._components.repository.delete_ended(
                    now=context.clock.now(),
                    retention_ms=context.job_retention_ms,
                )
            except StoreError as error:
                eliot.log_message('job:not_deleted', error=str(error))

    async def _reconcile(self, wait_ms: Millis) -> None:
        try:
            found = await self._components.repository.read_changes(
                wait_ms=wait_ms
            )
        except StoreError as error:
            eliot.log_message('job:not_read', error=str(error))
        else:
            await self._components.admission.admit(found)

    async def _stop_leftover_tasks(self, interval_ms: Millis) -> None:
        """Stop tasks whose start was in flight when they were to be stopped.

        These are tasks of cancelled jobs, and members of gangs whose other
        members were stopped.
        """
        while True:
            await curio.sleep(to_seconds(interval_ms))
            for record in self._components.repository.records:
                await self._components.admission.enforce_cancel(record)
                await self._placer.stop_partial_gang(record)

    async def _watch_leases(self, watcher: InstanceWatcher) -> None:
        """End attempts on workers whose lease has expired or that are gone."""
        while True:
            await curio.sleep(to_seconds(_LEASE_CHECK_INTERVAL_MS))
            await self._add_proofs_for_unlisted(watcher)
            expired = self._expired_workers()
            if expired and await self._is_leadership_confirmed():
                for worker_id in expired:
                    await self._components.inventory.end_attempts_on(
                        worker_id, self._lease_expired_proof
                    )

    def _expired_workers(self) -> list[str]:
        """List workers that have certainly stopped their tasks.

        Only leases that this leader has opened count, since it does not know
        until when an earlier leader renewed a lease. A delayed renewal extends
        the lease from its arrival at the worker, which is before the lease that
        it renews ends. Twice the task lease therefore has to pass.
        """
        context = self._components.context
        limit = 2 * context.task_lease_ms * _CLOCK_DRIFT_FACTOR_PERCENT // 100
        oldest = context.clock.now() - limit
        return [
            worker_id
            for worker_id, session in self._components.registry.sessions.items()
            if session.was_opened
            and not session.is_open
            and session.renewed_at < oldest
        ]

    async def _add_proofs_for_unlisted(self, watcher: InstanceWatcher) -> None:
        """Add proofs for workers of an intent that are not listed any more.

        They were listed when an earlier leader added them to the intent.
        """
        if not watcher.was_read:
            return
        for attempt in self._components.attempts.unsettled():
            record = self._components.repository.find(attempt.job_id)
            for worker in attempt.unproved(record) if record else ():
                if not watcher.is_listed(worker.worker_id):
                    attempt.add_proof(_instance_gone_proof(worker))
            await self._components.inventory.resolve(attempt)

    def _lease_expired_proof(self, worker: WorkerBoot) -> Proof:
        epoch = self._components.context.epoch
        return LeaseExpired(
            worker=worker, lease_epoch=epoch, confirmed_epoch=epoch
        )

    async def _is_leadership_confirmed(self) -> bool:
        try:
            return await self._components.context.confirm_leadership()
        except StoreError:
            return False


def _instance_gone_proof(worker: WorkerBoot) -> Proof:
    return InstanceGone(worker=worker)
