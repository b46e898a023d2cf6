"""The `jayshored` program: builds the daemon, runs it and shuts it down."""

import argparse
import pathlib
import random
import signal
import sys
from typing import Any

import curio
import eliot

from jayshore.clock import Millis, MonotonicClock, WallClock, to_seconds
from jayshore.daemon.api import Api, ApiDependencies
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.jobgateway import JobGateway
from jayshore.daemon.leaderrole import DomainLeaderRole, LeaderDependencies
from jayshore.daemon.metrics import Metrics
from jayshore.daemon.peerhandler import DaemonPeerHandler
from jayshore.daemon.peers import PeerGroup
from jayshore.daemon.requestgateway import RequestGateway
from jayshore.daemon.settings import Settings, SettingsError, load_settings
from jayshore.daemon.signals import wait_for_signal
from jayshore.daemon.slo import EventFanout, SloTracker
from jayshore.daemon.status import StatusReporter
from jayshore.daemon.upstreams import UpstreamConnector
from jayshore.http.budgets import (
    ClientBudgets,
    descriptor_budget,
    memory_budget,
)
from jayshore.http.client import Address, HttpClient
from jayshore.http.server import HttpServer, ServerLimits
from jayshore.leases.leadership import Leadership
from jayshore.retry import PLATFORM_BACKOFF
from jayshore.store.httpcalls import PlatformCaller
from jayshore.store.httpstore import HttpInstanceList, HttpStore
from jayshore.store.writeresolver import WriteResolver
from jayshore.traffic import Traffic
from jayshore.wire import messages as msg
from jayshore.wire.server import PeerAddress, PeerServer, PeerServerLimits

_PLATFORM_CONNECTIONS = 32
_EXIT_SETTINGS = 2

# Time for a peer to adopt a new version, which it is notified of and then
# reports in its heartbeat replies.
_ADOPTION_GRACE_MS = Millis(1000)


class Daemon:
    """One jayshored process."""

    def __init__(self, *, settings: Settings) -> None:
        """Build the components; nothing is sent or bound yet.

        Args:
            settings: settings of this daemon.
        """
        timing = settings.timing
        clock = MonotonicClock()
        wall_clock = WallClock()
        rng = random.Random()  # noqa: S311 jitter, not a secret
        self._metrics = Metrics()
        flow = self._metrics.traffic
        store = HttpStore(
            caller=_platform_caller(settings, settings.store, flow('store'))
        )
        write_resolver = WriteResolver(
            store=store,
            clock=clock,
            backoff=PLATFORM_BACKOFF,
            rng=rng,
        )
        self._settings = settings
        self._config = ConfigManager(
            name=settings.name,
            store=store,
            write_resolver=write_resolver,
            clock=clock,
            freshness_ms=Millis(timing.freshness_ms),
        )
        slo = SloTracker(
            wall_clock=wall_clock, snapshot=lambda: self._config.snapshot
        )
        self._status = StatusReporter(
            settings=settings,
            clock=clock,
            config=self._config,
            metrics=self._metrics,
        )
        self._peers = PeerGroup(
            name=settings.name,
            clock=clock,
            rng=rng,
            interval_ms=Millis(timing.heartbeat_ms),
            timeout_ms=Millis(timing.call_timeout_ms),
            config=self._config,
            status=self._status.heartbeat_status,
            traffic=flow('peer_calls'),
        )
        self._leader_role = DomainLeaderRole(
            dependencies=LeaderDependencies(
                settings=settings,
                clock=clock,
                wall_clock=wall_clock,
                rng=rng,
                store=store,
                write_resolver=write_resolver,
                instances=HttpInstanceList(
                    caller=_platform_caller(
                        settings, settings.instance_list, flow('instances')
                    )
                ),
                config=self._config,
                events=EventFanout(observers=(self._metrics, slo)),
                cut_off=self._unresponsive_domains,
                upstreams=UpstreamConnector(
                    settings=settings,
                    clock=clock,
                    workers=flow('workers'),
                    executors=flow('executors'),
                ),
            ),
            confirm=self._confirm_leadership,
        )
        self._status.attach(self._leader_role, self._peers)
        self._leadership = Leadership(
            store=store,
            write_resolver=write_resolver,
            domain=settings.domain,
            holder=settings.name,
            ttl_ms=Millis(timing.leadership_ttl_ms),
            observer=self._leader_role,
        )
        job_gateway = JobGateway(
            settings=settings,
            store=store,
            write_resolver=write_resolver,
            config=self._config,
            leader_role=self._leader_role,
            peers=self._peers,
            clock=clock,
            wall_clock=wall_clock,
        )
        self._peer_server = PeerServer(
            handler=DaemonPeerHandler(
                config=self._config,
                status=self._status,
                peers=self._peers,
                leader_role=self._leader_role,
                job_gateway=job_gateway,
                clock=clock,
                slo=slo,
            ),
            address=_peer_address(settings.peer_listen),
            limits=PeerServerLimits(),
            traffic=flow('peer_answers'),
        )
        api = Api(
            dependencies=ApiDependencies(
                settings=settings,
                clock=clock,
                config=self._config,
                peers=self._peers,
                request_gateway=RequestGateway(
                    domain=settings.domain,
                    leader_role=self._leader_role,
                    peers=self._peers,
                    clock=clock,
                ),
                job_gateway=job_gateway,
                status=self._status,
                metrics=self._metrics,
                slo=slo,
            )
        )
        listen = Address.parse(settings.listen)
        self._server = HttpServer(
            host=listen.host,
            port=listen.port,
            handler=api,
            limits=_server_limits(settings),
            traffic=flow('callers'),
            budget=ClientBudgets(
                memory=memory_budget(settings.limits.memory_mb),
                descriptors=descriptor_budget(settings.limits.max_fds),
                count=self._metrics.client_limited,
            ).address(trusted=False),
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        timing = self._settings.timing
        self._server.listen()
        await self._peer_server.start()
        await self._config.refresh()
        background_tasks = [
            await curio.spawn(self._config.poll, Millis(timing.store_poll_ms)),
            await curio.spawn(self._peers.run),
        ]
        leadership_task = await curio.spawn(self._run_leadership)
        server_task = await curio.spawn(self._server.serve)
        self._status.state = msg.DaemonState.SERVING
        eliot.log_message('daemon:serving', name=self._settings.name)
        await wait_for_signal((signal.SIGTERM, signal.SIGINT))
        await self._shut_down(leadership_task)
        for task in background_tasks:
            await task.cancel()
        await server_task.cancel()
        await self._peer_server.close()

    async def _shut_down(self, leadership_task: Any) -> None:
        """Report not ready, finish the work in progress, and resign.

        Peers forward requests to this daemon while they consider it a leader.
        They are told that it no longer leads before the connections close,
        because requests in transit would be lost otherwise.

        Args:
            leadership_task: the task that competes for leadership.
        """
        limit = Millis(self._settings.timing.drain_ms)
        self._status.state = msg.DaemonState.DRAINING
        with eliot.start_action(action_type='daemon:drain', limit_ms=limit):
            await curio.sleep(
                to_seconds(Millis(self._settings.timing.unready_ms))
            )
            await self._server.drain(limit)
            async with curio.ignore_after(to_seconds(limit)):
                await self._leader_role.drain()
            await leadership_task.cancel()
            async with curio.ignore_after(to_seconds(limit)):
                await self._peers.send_heartbeats()
                await self._peer_server.wait_idle()

    async def _run_leadership(self) -> None:
        """Compete for leadership, and again after each step-down."""
        while True:
            candidacy_task = await curio.spawn(self._leadership.run)
            try:
                await self._leader_role.wait_superseded()
            finally:
                await candidacy_task.cancel()
                await self._leadership.resign()

    def _unresponsive_domains(self) -> frozenset[str]:
        """List the other domains without a leader that can be relied on."""
        return frozenset(
            domain.name
            for domain in self._config.snapshot.document.domains
            if domain.name != self._settings.domain
            and not self._has_current_leader(domain.name)
        )

    def _has_current_leader(self, domain: str) -> bool:
        """Tell whether a domain has a leader with the current version.

        A leader that has not adopted a new version within the grace period
        may be cut off. Waiting for missed heartbeats instead would exceed the
        time in which a lowered limit has to take effect.
        """
        peer = self._peers.leader_of(domain)
        if peer is None or peer.status is None:
            return False
        config = self._config
        has_version = peer.status.config_version >= config.snapshot.version
        return has_version or config.held_for_ms < _ADOPTION_GRACE_MS

    async def _confirm_leadership(self) -> bool:
        return await self._leadership.confirm()


def main() -> None:
    """Run the daemon; exits with status 2 on invalid settings."""
    parser = argparse.ArgumentParser(
        prog='jayshored',
        description='One entry instance of the jayshore cluster scheduler.',
    )
    parser.add_argument(
        'settings', type=pathlib.Path, help='settings file, JSON'
    )
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f'settings: {error}\n')
        sys.exit(_EXIT_SETTINGS)
    _open_log(settings)
    curio.run(Daemon(settings=settings).run, taskcls=curio.task.ContextTask)


def _open_log(settings: Settings) -> None:
    if settings.log_file:
        path = pathlib.Path(settings.log_file)
        eliot.to_file(path.open('a', encoding='utf-8'))
    else:
        eliot.to_file(sys.stderr)


def _platform_caller(
    settings: Settings, address: str, traffic: Traffic
) -> PlatformCaller:
    client = HttpClient(
        address=Address.parse(address),
        max_connections=_PLATFORM_CONNECTIONS,
        connect_timeout_ms=Millis(settings.timing.call_timeout_ms),
        traffic=traffic,
    )
    return PlatformCaller(
        client=client,
        sender=settings.name,
        call_timeout_ms=Millis(settings.timing.store_timeout_ms),
    )


def _peer_address(text: str) -> PeerAddress:
    address = Address.parse(text)
    return PeerAddress(host=address.host, port=address.port)


def _server_limits(settings: Settings) -> ServerLimits:
    limits = settings.limits
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=Millis(limits.header_timeout_ms),
        body_timeout_ms=Millis(limits.body_timeout_ms),
        idle_timeout_ms=Millis(limits.idle_timeout_ms),
        write_timeout_ms=Millis(limits.write_timeout_ms),
        max_connections=limits.max_connections,
    )


if __name__ == '__main__':
    main()
