"""The status of a daemon, for peers, operators and metrics."""

import dataclasses

from jayshore.clock import Clock
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.leaderrole import DomainLeaderRole
from jayshore.daemon.metrics import Metrics
from jayshore.daemon.peers import PeerGroup, PeerView
from jayshore.daemon.settings import Settings
from jayshore.wire import messages as msg

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusReport:
    """The response to `GET /v1/status`.

    Attributes:
        name: name of the daemon in the roster.
        domain: its failure domain.
        state: starting, serving or draining.
        config_version: version of the configuration held.
        evidence_age_ms: age of the evidence that this version is the newest,
            in ms, None without evidence.
        is_fresh: whether work that needs a key is accepted.
        is_store_reachable: whether the last read of the store succeeded.
        leader_epoch: epoch of the leadership, 0 when not leading.
        workers: workers whose lease was opened by this leader.
        jobs: jobs held by this leader that have not ended.
        waiting: of these, jobs with a task that waits for a worker.
        services: free slots per service.
        leaders: name of the leader of each domain, where one is known.
        peers: the other daemons of the roster.
    """

    name: str
    domain: str
    state: str
    config_version: int
    evidence_age_ms: int | None
    is_fresh: bool
    is_store_reachable: bool
    leader_epoch: int
    workers: int
    jobs: int
    waiting: int
    services: dict[str, int]
    leaders: dict[str, str]
    peers: tuple[PeerView, ...]


class StatusReporter:
    """Collects the status of a daemon."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        config: ConfigManager,
        metrics: Metrics,
    ) -> None:
        """Start in the state `starting`.

        Args:
            settings: settings of the daemon.
            clock: monotonic time for the age of the evidence.
            config: the configuration.
            metrics: the metrics whose gauges `update_metrics` sets.
        """
        self.state = msg.DaemonState.STARTING
        self._settings = settings
        self._clock = clock
        self._config = config
        self._metrics = metrics
        self._leader_role: DomainLeaderRole | None = None
        self._peers: PeerGroup | None = None

    def attach(self, leader_role: DomainLeaderRole, peers: PeerGroup) -> None:
        """Attach the components that are created after this reporter.

        Args:
            leader_role: the leader and router while this daemon leads.
            peers: the other daemons.
        """
        self._leader_role = leader_role
        self._peers = peers

    def heartbeat_status(self) -> msg.DaemonStatus:
        """Build the status that this daemon sends to its peers.

        Returns:
            The status in a heartbeat and in its reply.
        """
        leader_role = self._leader_role
        is_leading = leader_role is not None and leader_role.router is not None
        return msg.DaemonStatus(
            sender=self._settings.name,
            domain=self._settings.domain,
            config_version=self._config.tracker.version,
            evidence_age_ms=self._config.tracker.age(self._clock.now()),
            leader_epoch=leader_role.epoch
            if leader_role is not None and is_leading
            else 0,
            load=tuple(
                msg.ServiceLoad(service=name, free_slots=free)
                for name, free in self._services().items()
            ),
            state=self.state,
        )

    def report(self) -> StatusReport:
        """Build the status report for operators.

        Returns:
            The report.
        """
        leader = self._leader_role.leader if self._leader_role else None
        records = leader.components.repository.records if leader else ()
        waiting = (
            leader.components.attempts.waiting_job_ids() if leader else set()
        )
        return StatusReport(
            name=self._settings.name,
            domain=self._settings.domain,
            state=self.state.value,
            config_version=self._config.snapshot.version,
            evidence_age_ms=self._config.tracker.age(self._clock.now()),
            is_fresh=self._config.is_fresh,
            is_store_reachable=self._config.is_store_reachable,
            leader_epoch=self._leader_role.epoch if self._leader_role else 0,
            workers=len(leader.components.placer.views) if leader else 0,
            jobs=sum(not record.is_final for record in records),
            waiting=len(waiting),
            services=self._services(),
            leaders=self._leaders(),
            peers=self._peers.views() if self._peers else (),
        )

    def update_metrics(self) -> None:
        """Set the gauges to the current status."""
        report = self.report()
        age = report.evidence_age_ms
        metrics = self._metrics
        metrics.leader_epoch.set(report.leader_epoch)
        metrics.config_version.set(report.config_version)
        metrics.evidence_age_seconds.set(-1 if age is None else age / _MS_PER_S)
        metrics.store_reachable.set(report.is_store_reachable)
        metrics.workers_open.set(report.workers)

    def readiness_failures(self) -> list[str]:
        """List why the load balancer should not send calls here.

        A daemon whose configuration is not fresh is ready: it serves open
        queues and services, and refuses everything else without running it.

        Returns:
            The reasons, empty when the daemon is ready.
        """
        reasons = []
        if self.state is msg.DaemonState.DRAINING:
            reasons.append('draining')
        if not self._config.snapshot.version:
            reasons.append('no configuration')
        return reasons

    def _leaders(self) -> dict[str, str]:
        leaders = {}
        for domain in self._config.snapshot.document.domains:
            peer = self._peers.leader_of(domain.name) if self._peers else None
            if peer is not None:
                leaders[domain.name] = peer.entry.name
        if (
            self._leader_role is not None
            and self._leader_role.router is not None
        ):
            leaders[self._settings.domain] = self._settings.name
        return leaders

    def _services(self) -> dict[str, int]:
        router = self._leader_role.router if self._leader_role else None
        loads = router.load() if router else ()
        return {load.service: load.free_slots for load in loads}
