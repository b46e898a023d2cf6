"""Watches the instance list of the platform and keeps the worker sessions."""

import abc
import dataclasses
import random
from collections.abc import Callable

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.leases.session import WorkerObserver, WorkerSession
from jayshore.leases.worker import HttpWorkerClient
from jayshore.store.instances import (
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
)
from jayshore.store.store import StoreError


class InstanceObserver(abc.ABC):
    """Receives changes of the instance list."""

    @abc.abstractmethod
    async def instance_gone(self, instance: Instance) -> None:
        """Handle an instance that is gone; nothing runs on it any more.

        Args:
            instance: an instance that was listed and no longer is.
        """

    @abc.abstractmethod
    async def instance_added(self, instance: Instance) -> None:
        """Handle a new instance.

        Args:
            instance: new in the list.
        """

    @abc.abstractmethod
    async def instance_leaving(self, instance: Instance) -> None:
        """Stop giving work to an instance that is leaving.

        Args:
            instance: listed as leaving.
        """


class InstanceWatcher:
    """Polls the instance list and reports the changes in one domain."""

    def __init__(
        self,
        *,
        instances: InstanceList,
        domain: str,
        interval_ms: Millis,
        observer: InstanceObserver,
    ) -> None:
        """Create a watcher that has not read the list yet.

        Args:
            instances: the platform's instance list.
            domain: instances of other failure domains are ignored.
            interval_ms: pause between two reads of the list, in ms.
            observer: receives the changes.
        """
        self._instances = instances
        self._domain = domain
        self._interval_ms = interval_ms
        self._observer = observer
        self._known: dict[str, Instance] = {}
        self._was_read = False

    @property
    def was_read(self) -> bool:
        """Whether the list was read at least once."""
        return self._was_read

    def is_listed(self, instance_id: str) -> bool:
        """Check whether an instance was in the list when it was last read.

        Args:
            instance_id: id of the instance on the platform.

        Returns:
            True if it was listed, in any state.
        """
        return instance_id in self._known

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            try:
                listed = await self._instances.read()
            except StoreError as error:
                eliot.log_message('instances:not_read', error=str(error))
            else:
                await self._apply_listing(
                    {
                        instance.id: instance
                        for instance in listed
                        if instance.domain == self._domain
                    }
                )
            await curio.sleep(to_seconds(self._interval_ms))

    async def _apply_listing(self, listed: dict[str, Instance]) -> None:
        before = self._known
        self._known = listed
        self._was_read = True
        for gone in before.keys() - listed.keys():
            await self._observer.instance_gone(before[gone])
        for instance in listed.values():
            previous = before.get(instance.id)
            if previous is None:
                await self._observer.instance_added(instance)
            is_leaving = instance.state is InstanceState.LEAVING
            if is_leaving and instance != previous:
                await self._observer.instance_leaving(instance)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SessionSettings:
    """Settings that are common to all worker sessions of a leader.

    Attributes:
        epoch: epoch of the leader.
        renew_wait_ms: longest wait of a lease renewal, in ms.
        checkpoint_ms: returns the current limit of the time that a task may
            take to checkpoint before it is stopped, in ms.
        connect: creates the client of a worker.
        rng: source of random numbers for the backoff.
    """

    epoch: int
    renew_wait_ms: Millis
    checkpoint_ms: Callable[[], Millis]
    connect: Callable[[Instance], HttpWorkerClient]
    rng: random.Random


class WorkerSessionRegistry:
    """The sessions with all listed workers of a domain."""

    def __init__(
        self,
        *,
        settings: SessionSettings,
        observer: WorkerObserver,
        tasks: BackgroundTasks,
    ) -> None:
        """Create an empty registry.

        Args:
            settings: settings of all sessions.
            observer: receives the events of all sessions.
            tasks: background tasks of the leader.
        """
        self._settings = settings
        self._observer = observer
        self._tasks = tasks
        self._sessions: dict[str, WorkerSession] = {}
        self._listed: dict[str, Instance] = {}

    @property
    def sessions(self) -> dict[str, WorkerSession]:
        """The sessions by worker id."""
        return self._sessions

    def instance(self, worker_id: str) -> Instance | None:
        """Look up a worker.

        Args:
            worker_id: the worker.

        Returns:
            The instance, or None when it is not registered.
        """
        return self._listed.get(worker_id)

    async def add(self, instance: Instance) -> None:
        """Register a worker and start its session.

        Args:
            instance: a listed instance; ignored unless it is a worker.
        """
        if instance.kind is not InstanceKind.WORKER:
            return
        session = WorkerSession(
            worker_id=instance.id,
            client=self._settings.connect(instance),
            epoch=self._settings.epoch,
            observer=self._observer,
            renew_wait_ms=self._settings.renew_wait_ms,
            checkpoint_ms=self._settings.checkpoint_ms,
            rng=self._settings.rng,
        )
        self._listed[instance.id] = instance
        self._sessions[instance.id] = session
        await self._tasks.spawn(session.run())

    def remove(self, worker_id: str) -> None:
        """Remove a worker that is gone and end its session.

        Args:
            worker_id: the worker.
        """
        self._listed.pop(worker_id, None)
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            session.end()
