"""One instance of the deployment: wiring, serving and graceful shutdown."""

import dataclasses
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import eliot

from jayshore.clock import BootClock, Millis, WallClock, to_seconds
from jayshore.daemon.signals import SignalWatch
from jayshore.fleet.admission import Admission
from jayshore.fleet.candidacy import Candidacy
from jayshore.fleet.configuration import ConfigHolder
from jayshore.fleet.evacuation import EvacuationSettings
from jayshore.fleet.interfaces import AdviceService, WorkerConnector
from jayshore.fleet.jobservice import JobService
from jayshore.fleet.leaderfailure import LeaderFailureDetector
from jayshore.fleet.leaderrole import LeaderRole
from jayshore.fleet.leasing import MAX_LEASE_MS
from jayshore.fleet.members import DEPLOYMENT, Membership
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, WorkerEntry
from jayshore.fleet.peerhandler import PeerHandler
from jayshore.fleet.peering import InstanceClient
from jayshore.fleet.scheduler import SchedulerDependencies
from jayshore.fleet.servers import (
    ConfiguredLimits,
    ReadinessHandler,
    caller_limits,
    make_budgets,
    make_server,
    peer_limits,
)
from jayshore.fleet.tombstones import TombstoneWriter
from jayshore.http.client import Address
from jayshore.http.server import Handler
from jayshore.leases.leadership import Leadership
from jayshore.outcomes import JayshoreError
from jayshore.retry import PLATFORM_BACKOFF
from jayshore.store.mirror import Mirror
from jayshore.store.relay import RelayedStore
from jayshore.store.transactions import MAX_VALUE_BYTES, TransactionStore
from jayshore.store.writeresolver import WriteResolver

FRESH_MS = Millis(2500)
"""Maximum age of the configuration for serving calls, in ms."""

_LEADER_TTL_MS = Millis(2000)
_CONFIG_WATCH_MS = Millis(1000)

# The balancer polls readiness once a second and removes an instance after two
# misses.
_UNREADY_MS = Millis(1500)
_DRAIN_MS = Millis(3000)
_SETTINGS_POLL_MS = Millis(2000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """Settings of an instance.

    Attributes:
        name: unique name.
        front: address for callers.
        readiness: address for the readiness checks of the balancer.
        internal: address for the other instances.
        domain: failure domain.
        cores: processor capacity of this instance, in cores.
        max_connections: maximum number of open connections per address.
        max_lease_ms: longest lease that a worker accepts, in ms.
        memory_mb: memory of the process, in millions of bytes, None for no
            limit on what clients use of it.
        max_fds: file descriptors of the process, None likewise.
        max_value_bytes: largest value that the store takes, in bytes.
    """

    name: str
    front: Address
    readiness: Address
    internal: Address
    domain: str = ''
    cores: float = 1.0
    max_connections: int = 1500
    max_lease_ms: Millis = MAX_LEASE_MS
    memory_mb: float | None = None
    max_fds: float | None = None
    max_value_bytes: int = MAX_VALUE_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformAdapter:
    """Platform-specific parts of an instance.

    Attributes:
        store: the store.
        connector: creates clients of workers.
        advice: the placement advice service.
        config_key: key of the configuration in the store.
        decode_config: decodes the configuration.
        worker_prefix: prefix of the keys of worker registrations.
        decode_worker: decodes the id and the value of a registration; returns
            None for an invalid one.
        evacuation: where evacuations are stored; None where there are none.
        make_front: creates the handler of calls of callers.
        settings_stamp: returns a value that changes with the settings file.
        reload: reads the settings again and applies those that may change.
        count_dropped_lines: returns the number of dropped log lines.
    """

    store: TransactionStore
    connector: WorkerConnector
    advice: AdviceService
    config_key: str
    decode_config: Callable[[str], FleetConfig]
    worker_prefix: str
    decode_worker: Callable[[str, str], WorkerEntry | None]
    evacuation: EvacuationSettings | None
    make_front: Callable[['FrontDependencies'], Handler]
    settings_stamp: Callable[[], int]
    reload: Callable[[], Awaitable[None]]
    count_dropped_lines: Callable[[], float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FrontDependencies:
    """Dependencies of the handler of calls of callers.

    Attributes:
        job_service: accepts, cancels and looks up jobs.
        config: the configuration in force.
        is_fresh: returns whether the configuration is recent enough to use.
        metrics: counts the calls.
    """

    job_service: JobService
    config: ConfigHolder
    is_fresh: Callable[[], bool]
    metrics: FleetMetrics


class Instance:
    """One process of the deployment and all its components."""

    def __init__(
        self, *, settings: InstanceSettings, adapter: PlatformAdapter
    ) -> None:
        """Wire the components; nothing is sent or bound yet.

        Args:
            settings: settings of this instance.
            adapter: platform-specific parts.
        """
        clock = BootClock()
        metrics = FleetMetrics()
        peers = InstanceClient(
            name=settings.name,
            domain=settings.domain,
            advice=adapter.advice,
            clock=clock,
        )
        store = RelayedStore(
            direct=adapter.store,
            relay=peers,
            clock=clock,
            observer=metrics,
        )
        self._reachability = store.reachability
        self._settings_stamp = adapter.settings_stamp
        self._reload_settings = adapter.reload
        self._settings = settings
        self._draining = False
        self._holder = ConfigHolder(
            key=adapter.config_key,
            decode=adapter.decode_config,
            metrics=metrics,
        )
        self._config_mirror = Mirror(
            store=store,
            clock=clock,
            prefix=adapter.config_key,
            observer=self._holder,
            wait_ms=_CONFIG_WATCH_MS,
        )
        self._membership = Membership(
            store=store,
            clock=clock,
            name=settings.name,
            address=settings.internal,
            domain=settings.domain,
            cores=settings.cores,
        )
        failure_detector = LeaderFailureDetector(
            name=settings.name,
            membership=self._membership,
            store=store,
            ask=peers.ask_is_gone,
        )
        peers.attach(self._membership, failure_detector.suspect)
        self._candidacy = Candidacy(
            membership=self._membership,
            clock=clock,
            cores=settings.cores,
            cut_off_ms=lambda: store.reachability.unavailable_for_ms,
            end_stale_leadership=failure_detector.end_stale_leadership,
        )
        self._leader_role = LeaderRole(
            store=store,
            dependencies=SchedulerDependencies(
                clock=clock,
                wall_clock=WallClock(),
                connector=adapter.connector,
                relay=peers,
                config=lambda: self._holder.config,
                metrics=metrics,
                max_lease_ms=settings.max_lease_ms,
            ),
            worker_prefix=adapter.worker_prefix,
            decode_worker=adapter.decode_worker,
            evacuation=adapter.evacuation,
        )
        self._leadership = Leadership(
            store=store,
            write_resolver=WriteResolver(
                store=store,
                clock=clock,
                backoff=PLATFORM_BACKOFF,
                rng=random.Random(),  # noqa: S311 jitter, not a secret
            ),
            domain=DEPLOYMENT,
            holder=settings.name,
            ttl_ms=_LEADER_TTL_MS,
            observer=self._leader_role,
            clock=clock,
            vacancy_monitor=self._candidacy,
        )
        self._leader_role.attach(self._leadership)
        job_service = JobService(
            store=store,
            leader=peers,
            scheduler=lambda: self._leader_role.scheduler,
            clock=clock,
            admission=Admission(
                refused=self._membership.refused, clock=clock, metrics=metrics
            ),
            tombstones=TombstoneWriter(
                store=store,
                clock=clock,
                count_instances=lambda: len(self._membership.members),
            ),
            max_value_bytes=settings.max_value_bytes,
        )
        budgets = make_budgets(
            memory_mb=settings.memory_mb,
            max_fds=settings.max_fds,
            count=metrics.count_client_limit,
        )
        callers, peers_only = (
            ConfiguredLimits(
                holder=self._holder,
                derive=derive,
                max_connections=settings.max_connections,
            )
            for derive in (caller_limits, peer_limits)
        )
        self._front = make_server(
            settings.front,
            adapter.make_front(
                FrontDependencies(
                    job_service=job_service,
                    config=self._holder,
                    is_fresh=self._is_fresh,
                    metrics=metrics,
                )
            ),
            callers,
            budgets.address(trusted=False),
        )
        self._internal = make_server(
            settings.internal,
            PeerHandler(
                scheduler=lambda: self._leader_role.scheduler,
                advice=adapter.advice,
                store=adapter.store,
                is_cut_off=lambda: store.reachability.direct_unavailable,
                is_gone=peers.is_gone,
                note_peer_call=store.reachability.note_peer_call,
                metrics=metrics,
            ),
            peers_only,
            budgets.address(trusted=True),
        )
        metrics.add_gauge(
            'jayshore_config_age_seconds',
            'Age of what the store said of the configuration; -1 for never.',
            self._config_age_s,
        )
        metrics.add_gauge(
            'jayshore_store_lost_seconds',
            'How long the store has not answered this instance.',
            lambda: to_seconds(store.reachability.unavailable_for_ms),
        )
        metrics.add_gauge(
            'jayshore_log_lines_dropped',
            'Log lines that nobody read in time.',
            adapter.count_dropped_lines,
        )
        metrics.follow_client_budgets(budgets)
        self._readiness = make_server(
            settings.readiness,
            ReadinessHandler(is_ready=self._is_ready),
            callers,
            budgets.address(trusted=True),
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reloads the settings.
        """
        signals = SignalWatch(
            signals=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        )
        servers = (self._front, self._internal, self._readiness)
        for listening in servers:
            listening.listen()
        running = [
            await curio.spawn(part, daemon=True)
            for part in (
                *(server.serve for server in servers),
                self._config_mirror.run,
                self._membership.follow,
                self._membership.register,
                self._follow_settings,
            )
        ]
        leadership_task = await curio.spawn(self._lead, daemon=True)
        eliot.log_message('instance:started', name=self._settings.name)
        while await signals.wait() is signal.SIGHUP:
            await self._reload()
        await self._shut_down(leadership_task)
        for task in running:
            await task.cancel()
        eliot.log_message('instance:stopped', name=self._settings.name)

    async def _follow_settings(self) -> None:
        """Reload the settings when the file changes without a signal."""
        stamp = self._settings_stamp()
        while True:
            await curio.sleep(to_seconds(_SETTINGS_POLL_MS))
            changed = self._settings_stamp()
            if changed != stamp:
                stamp = changed
                await self._reload()

    async def _reload(self) -> None:
        """Reload the settings; invalid ones leave the previous in force."""
        try:
            await self._reload_settings()
        except JayshoreError as error:
            eliot.log_message('settings:invalid', error=str(error))
        else:
            eliot.log_message('settings:reloaded')

    async def _shut_down(self, leadership_task: Any) -> None:
        """Hand the leadership over, become unready, and drain open calls."""
        eliot.log_message('instance:draining', name=self._settings.name)
        self._draining = True
        await leadership_task.cancel()
        await curio.sleep(to_seconds(_UNREADY_MS))
        await self._front.drain(_DRAIN_MS)

    async def _lead(self) -> None:
        """Compete for leadership, again after each loss or handover."""
        while True:
            competing = await curio.spawn(self._leadership.run, daemon=True)
            try:
                async with curio.TaskGroup(wait=any) as reasons:
                    await reasons.spawn(self._leader_role.wait_for_step_down)
                    await reasons.spawn(
                        self._candidacy.wait_for_handover, self._leadership
                    )
            finally:
                await competing.cancel()
                await self._leadership.resign()

    def _is_fresh(self) -> bool:
        age = self._config_mirror.age_ms
        return age is not None and age < FRESH_MS

    def _config_age_s(self) -> float:
        age = self._config_mirror.age_ms
        return -1 if age is None else to_seconds(age)

    def _is_ready(self) -> bool:
        return (
            not self._draining
            and self._holder.config.version > 0
            and self._is_fresh()
            and self._reachability.reachable
        )
