"""Starts and stops the domain leader when leadership is won and lost."""

import dataclasses
import random
from collections.abc import Awaitable, Callable

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.config.snapshot import Snapshot
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.settings import Settings
from jayshore.daemon.upstreams import UpstreamConnector
from jayshore.jobs.admission import Admission
from jayshore.jobs.attempts import AttemptTable
from jayshore.jobs.context import JobEvents, LeaderContext
from jayshore.jobs.grantcache import GrantCache
from jayshore.jobs.grants import GrantController, GrantedLedger
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.jobs.inventory import InventoryReconciler
from jayshore.jobs.leader import DomainLeader, LeaderComponents
from jayshore.jobs.placing import Placer
from jayshore.jobs.probing import Prober
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.terminations import TerminationRecorder
from jayshore.jobs.workers import (
    InstanceObserver,
    InstanceWatcher,
    SessionSettings,
    WorkerSessionRegistry,
)
from jayshore.leases.executor import HttpExecutorClient
from jayshore.leases.leadership import LeadershipObserver
from jayshore.placement.cell import Cell
from jayshore.placement.estimates import Estimates
from jayshore.placement.health import WorkerHealth
from jayshore.quota.grants import GrantOwner
from jayshore.quota.ledger import DomainLedger
from jayshore.quota.reconciler import GrantReconciler
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.router import Router
from jayshore.store.instances import Instance, InstanceKind, InstanceList
from jayshore.store.store import Store
from jayshore.store.writeresolver import WriteResolver


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderDependencies:
    """The parts of the daemon that a leader uses.

    Attributes:
        settings: settings of the daemon.
        clock: monotonic time.
        wall_clock: time of day.
        rng: random number generator.
        store: the platform's store.
        write_resolver: resolves lost answers of writes.
        instances: the platform's instance list.
        config: the configuration.
        events: observer of job events, such as the metrics.
        cut_off: names the other domains without a responsive leader.
        upstreams: creates the clients of workers and executors.
    """

    settings: Settings
    clock: Clock
    wall_clock: Clock
    rng: random.Random
    store: Store
    write_resolver: WriteResolver
    instances: InstanceList
    config: ConfigManager
    events: JobEvents
    cut_off: Callable[[], frozenset[str]]
    upstreams: UpstreamConnector


class DomainLeaderRole(LeadershipObserver):
    """Runs the leader and the router of the domain while elected."""

    def __init__(
        self,
        *,
        dependencies: LeaderDependencies,
        confirm: Callable[[], Awaitable[bool]],
    ) -> None:
        """Start in the role of a standby.

        Args:
            dependencies: the parts of the daemon that a leader uses.
            confirm: reads the leader key; whether this daemon still leads.
        """
        self._dependencies = dependencies
        self._confirm = confirm
        self._epoch = 0
        self._leader: DomainLeader | None = None
        self._router: Router | None = None
        self._tasks = BackgroundTasks()
        self._superseded = curio.Event()
        self._drain_ms = Millis(dependencies.settings.limits.max_request_ms)

    @property
    def epoch(self) -> int:
        """Epoch of the current leadership, 0 when not leading."""
        return self._epoch

    @property
    def leader(self) -> DomainLeader | None:
        """The leader, None when not leading."""
        return self._leader

    @property
    def router(self) -> Router | None:
        """The router of the domain, None when not leading."""
        return self._router

    async def elected(self, epoch: int) -> None:
        """Build the leader and the router, and start their tasks.

        Args:
            epoch: epoch of the new leadership.
        """
        dependencies = self._dependencies
        settings = dependencies.settings
        self._epoch = epoch
        self._superseded.clear()
        ledger = DomainLedger(domain=settings.domain)
        granted = GrantedLedger(
            ledger=ledger, snapshot=lambda: dependencies.config.snapshot
        )
        self._router = Router(
            epoch=epoch,
            headroom=granted,
            shares=granted,
            clock=dependencies.clock,
            rng=dependencies.rng,
            policy=RoutingPolicy(),
        )
        leader = self._make_leader(epoch, granted)
        self._leader = leader
        watcher = InstanceWatcher(
            instances=dependencies.instances,
            domain=settings.domain,
            interval_ms=Millis(settings.timing.list_poll_ms),
            observer=_InstanceForwarder(
                leader=leader,
                router=self._router,
                connect=dependencies.upstreams.create_executor_client,
            ),
        )
        await self._tasks.spawn(
            leader.run(
                watcher,
                round_ms=Millis(settings.timing.round_ms),
                reconcile_ms=Millis(settings.timing.reconcile_ms),
                reconcile_wait_ms=Millis(settings.timing.reconcile_wait_ms),
            )
        )
        await self._tasks.spawn(self._run_grants(epoch, ledger, granted))
        await self._tasks.spawn(self._watch_upstreams(watcher, ledger))

    async def leadership_lost(self) -> None:
        """Stop leading; the router still finishes requests in progress."""
        self._epoch = 0
        self._leader = None
        router = self._router
        self._router = None
        await self._tasks.close()
        if router is not None:
            await curio.spawn(_drain, router, self._drain_ms, daemon=True)

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        if self._router is not None:
            await self._router.drain()

    async def wait_superseded(self) -> None:
        """Wait until this leadership has to step down for a later one."""
        await self._superseded.wait()
        self._superseded.clear()

    async def _run_grants(
        self, epoch: int, ledger: DomainLedger, granted: GrantedLedger
    ) -> None:
        dependencies = self._dependencies
        leader = self._leader
        if leader is None:
            return
        domain = dependencies.settings.domain
        cache = GrantCache(store=dependencies.store)
        controller = GrantController(
            cache=cache,
            reconciler=GrantReconciler(
                store=cache,
                ledger=ledger,
                owner=GrantOwner(domain=domain, epoch=epoch),
            ),
            ledger=ledger,
            granted=granted,
            repository=leader.components.repository,
            attempts=leader.components.attempts,
            placer=leader.components.placer,
            domain=domain,
        )
        await leader.wait_ready()
        await controller.run(
            interval_ms=Millis(dependencies.settings.timing.grant_ms),
            now=dependencies.clock.now,
            fresh_snapshot=self._fresh_snapshot,
            cut_off=dependencies.cut_off,
            retry_teams=self._wake_teams,
        )

    async def _watch_upstreams(
        self, watcher: InstanceWatcher, ledger: DomainLedger
    ) -> None:
        """Mark the ledger's inventory complete and detect a later leader."""
        interval = to_seconds(
            Millis(self._dependencies.settings.timing.round_ms)
        )
        while True:
            await curio.sleep(interval)
            router = self._router
            leader = self._leader
            if router is None or leader is None or not watcher.was_read:
                continue
            sessions = leader.components.registry.sessions.values()
            if router.is_inventory_complete and all(
                session.was_opened for session in sessions
            ):
                ledger.mark_inventory_complete()
            if router.is_superseded:
                await self._superseded.set()

    def _fresh_snapshot(self) -> Snapshot | None:
        config = self._dependencies.config
        return config.snapshot if config.is_fresh else None

    async def _wake_teams(self, teams: set[str]) -> None:
        leader = self._leader
        if leader is None or self._router is None or not teams:
            return
        for team in teams:
            leader.components.cell.headroom_changed(team)
        await self._router.dispatch_waiting()
        await leader.components.placer.wake()

    def _make_leader(self, epoch: int, ledger: GrantedLedger) -> DomainLeader:
        dependencies = self._dependencies
        timing = dependencies.settings.timing
        context = self._make_context(epoch, ledger)
        cell = Cell(headroom=ledger)
        attempts = AttemptTable()
        repository = JobRepository(
            store=dependencies.store,
            write_resolver=dependencies.write_resolver,
            domain=dependencies.settings.domain,
            epoch=epoch,
            write_limit_ms=Millis(timing.call_timeout_ms),
            flush_ms=Millis(timing.flush_ms),
            tasks=self._tasks,
        )
        placer = Placer(
            context=context,
            cell=cell,
            repository=repository,
            attempts=attempts,
            tasks=self._tasks,
        )
        health_monitor = WorkerHealthMonitor(
            cell=cell,
            health=WorkerHealth(rng=dependencies.rng),
            clock=dependencies.clock,
        )
        terminations = TerminationRecorder(
            context=context,
            repository=repository,
            attempts=attempts,
            placer=placer,
            health_monitor=health_monitor,
            tasks=self._tasks,
        )
        inventory = InventoryReconciler(
            context=context,
            health_monitor=health_monitor,
            repository=repository,
            attempts=attempts,
            placer=placer,
            terminations=terminations,
        )
        registry = WorkerSessionRegistry(
            settings=SessionSettings(
                epoch=epoch,
                renew_wait_ms=Millis(timing.renew_wait_ms),
                checkpoint_ms=context.checkpoint_ms,
                connect=dependencies.upstreams.create_worker_client,
                rng=dependencies.rng,
            ),
            observer=inventory,
            tasks=self._tasks,
        )
        placer.attach(registry)
        inventory.attach(registry)
        admission = Admission(
            context=context,
            repository=repository,
            attempts=attempts,
            placer=placer,
            terminations=terminations,
            tasks=self._tasks,
        )
        prober = Prober(
            context=context,
            health_monitor=health_monitor,
            repository=repository,
            attempts=attempts,
            registry=registry,
            placer=placer,
        )
        return DomainLeader(
            components=LeaderComponents(
                context=context,
                cell=cell,
                repository=repository,
                attempts=attempts,
                registry=registry,
                health_monitor=health_monitor,
                placer=placer,
                admission=admission,
                inventory=inventory,
                prober=prober,
                tasks=self._tasks,
            )
        )

    def _make_context(self, epoch: int, ledger: GrantedLedger) -> LeaderContext:
        dependencies = self._dependencies
        settings = dependencies.settings
        return LeaderContext(
            epoch=epoch,
            domain=settings.domain,
            clock=dependencies.clock,
            wall_clock=dependencies.wall_clock,
            rng=dependencies.rng,
            ledger=ledger,
            estimates=Estimates(),
            events=dependencies.events,
            snapshot=lambda: dependencies.config.snapshot,
            is_store_reachable=lambda: dependencies.config.is_store_reachable,
            confirm_leadership=self._confirm,
            step_down=self._superseded.set,
            intent_width=settings.limits.intent_width,
            task_lease_ms=Millis(settings.timing.task_lease_ms),
            job_retention_ms=Millis(settings.timing.job_retention_ms),
        )


async def _drain(router: Router, limit_ms: Millis) -> None:
    """Wait for requests in progress up to the limit, then close."""
    async with curio.ignore_after(to_seconds(limit_ms)):
        await router.drain()
    await router.close()


class _InstanceForwarder(InstanceObserver):
    """Forwards worker changes to the leader, executors to the router."""

    def __init__(
        self,
        *,
        leader: DomainLeader,
        router: Router,
        connect: Callable[[Instance], HttpExecutorClient],
    ) -> None:
        self._leader = leader
        self._router = router
        self._connect = connect

    async def instance_added(self, instance: Instance) -> None:
        if instance.kind is InstanceKind.WORKER:
            await self._leader.instance_added(instance)
            return
        await self._router.add_executor(
            instance.id,
            service=instance.service or '',
            client=self._connect(instance),
        )

    async def instance_leaving(self, instance: Instance) -> None:
        await self._leader.instance_leaving(instance)
        self._router.mark_leaving(instance.id)

    async def instance_gone(self, instance: Instance) -> None:
        eliot.log_message('instances:gone', instance=instance.id)
        if instance.kind is InstanceKind.WORKER:
            await self._leader.instance_gone(instance)
        else:
            await self._router.remove_executor(instance.id)
