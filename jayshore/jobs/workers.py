"""The workers of a domain: follows the platform's list, keeps the sessions."""

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
    """What a leader does with changes of the platform's list."""

    @abc.abstractmethod
    async def instance_gone(self, instance: Instance) -> None:
        """Conclude that nothing runs there any more.

        Args:
            instance: listed before, and not listed now.
        """

    @abc.abstractmethod
    async def instance_added(self, instance: Instance) -> None:
        """Use an instance.

        Args:
            instance: newly listed.
        """

    @abc.abstractmethod
    async def instance_leaving(self, instance: Instance) -> None:
        """Give an instance no new work.

        Args:
            instance: listed as leaving.
        """


class InstanceWatcher:
    """Compares successive readings of the list for one domain."""

    def __init__(
        self,
        *,
        instances: InstanceList,
        domain: str,
        interval_ms: Millis,
        observer: InstanceObserver,
    ) -> None:
        """Start without instances.

        Args:
            instances: the platform's list.
            domain: the failure domain.
            interval_ms: between two readings, in ms.
            observer: is told of changes.
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
        """Tell whether the last reading showed an instance.

        Args:
            instance_id: the platform's id.

        Returns:
            True when it was listed, in any state.
        """
        return instance_id in self._known

    async def run(self) -> None:
        """Read the list at an interval until cancelled."""
        while True:
            try:
                listed = await self._instances.read()
            except StoreError as error:
                eliot.log_message('instances:not_read', error=str(error))
            else:
                await self._compare(
                    {
                        instance.id: instance
                        for instance in listed
                        if instance.domain == self._domain
                    }
                )
            await curio.sleep(to_seconds(self._interval_ms))

    async def _compare(self, listed: dict[str, Instance]) -> None:
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
    """What all sessions of a leader have in common.

    Attributes:
        epoch: of the leader.
        renew_wait_ms: longest wait of a renewal, in ms.
        checkpoint_ms: the present setting of how long a task may take to
            checkpoint before it is stopped, in ms.
        connect: makes the link to a worker.
        rng: random numbers for the backoff.
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
        """Start without sessions.

        Args:
            settings: what all sessions have in common.
            observer: gets the news of the workers.
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
            Its entry on the list, or None when it is gone.
        """
        return self._listed.get(worker_id)

    async def add(self, instance: Instance) -> None:
        """Open a session with a worker.

        Args:
            instance: a listed worker; others are ignored.
        """
        if instance.kind is not InstanceKind.WORKER:
            return
        session = WorkerSession(
            worker_id=instance.id,
            link=self._settings.connect(instance),
            epoch=self._settings.epoch,
            observer=self._observer,
            renew_wait_ms=self._settings.renew_wait_ms,
            checkpoint_ms=self._settings.checkpoint_ms,
            source=self._settings.rng,
        )
        self._listed[instance.id] = instance
        self._sessions[instance.id] = session
        await self._tasks.spawn(session.run())

    def remove(self, worker_id: str) -> None:
        """Forget a worker that is gone; its session ends by itself.

        Args:
            worker_id: the worker.
        """
        self._listed.pop(worker_id, None)
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            session.end()
