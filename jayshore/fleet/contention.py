"""Room that waiting groups leave to those that rank behind them.

What a group takes is bounded by what it can use: the workers with its label,
its limit on each worker, the workers that advice permits, and the maximum of
its workspace. A gang that cannot be whole takes nothing.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from jayshore.fleet.allowances import limit_allowance
from jayshore.fleet.demands import Scope, WorkerHeadroom
from jayshore.fleet.pools import Gang, WorkerPool
from jayshore.fleet.waiting import WaitingGroup
from jayshore.resources import NOTHING, Resources

SOON_SHARE: Final = 0.5
"""Share of the processors of a service that become free while a ticket holds.

A ticket is valid for 2.5 s, and tasks run for 0.6 to 5 s.
"""

IDLE_SHARE: Final = 0.5
"""Share of the processors of a worker in use below which it counts as idle.

Work that fits has to start while under half of a service is in use, which
leaves at least one worker idle.
"""


class Claim(NamedTuple):
    """Room that the waiting tasks of a group can use.

    Attributes:
        cpu_millis: thousandths of a core.
        share: share of the workers with its label that may run it.
    """

    cpu_millis: int
    share: float


def measure_claim(
    waiting: WaitingGroup, pool: WorkerPool, placed: int
) -> Claim:
    """Measure the room that the waiting tasks of a group can use.

    Args:
        waiting: the group.
        pool: workers that may run it, unless advice excludes them.
        placed: number of its tasks that this round has placed.

    Returns:
        The room for the tasks that may run beside those that run already.
    """
    group = waiting.group
    spec = group.spec
    share = 1.0
    if waiting.queue.advice is not None and group.evaluated:
        size = len(pool.workers)
        unknown = max(0, size - len(group.evaluated))
        share = min(1, (len(group.tickets) + unknown) / size)
    rest = len(waiting.tasks) - placed
    running = spec.count - group.done - rest
    slots = pool.count_slots(waiting.need, spec.max_per_worker)
    if spec.gang:
        usable = rest if rest <= slots else 0
    else:
        usable = max(0, min(rest, int(share * slots) - running))
    return Claim(usable * waiting.need.cpu_millis, share)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Account:
    """Thousandths of a core that are left.

    `soon` are free now or soon, `idle` are free on idle workers until these
    are idle no more, and `whole` is the initial value of `soon`.
    """

    soon: float
    idle: float
    whole: float

    def take(self, cpu_millis: float, idle: float) -> None:
        """Take from both."""
        self.soon -= cpu_millis
        self.idle -= idle


class RoomAccounts:
    """Room of services, labels and workspaces in a round."""

    def __init__(
        self,
        *,
        workers: Iterable[WorkerHeadroom],
        maximums: Mapping[str, Resources],
        allowances: Mapping[str, Resources],
    ) -> None:
        """Create the accounts at the start of a round.

        Args:
            workers: headroom of the usable workers.
            maximums: limit of each workspace that has one.
            allowances: resources that these workspaces may still start.
        """
        self._workers = [
            _WorkerRoom(
                worker.service,
                worker.labels,
                worker.free.cpu_millis,
                worker.capacity.cpu_millis,
            )
            for worker in workers
        ]
        self._labelled: dict[tuple[str, str], _Account] = {}
        self._rooms: dict[Scope, list[_Account]] = {}
        self._maximums = maximums
        self._workspaces = {
            name: _open_workspace(
                allowances[name].cpu_millis, maximum.cpu_millis
            )
            for name, maximum in maximums.items()
            if maximum.cpu_millis
        }

    def limits(self, workspace: str) -> bool:
        """Return whether a workspace has a maximum.

        Args:
            workspace: its name.

        Returns:
            False when it may use all workers.
        """
        return workspace in self._maximums

    def holds_gang(self, workspace: str, gang: Gang) -> bool:
        """Return whether a workspace may ever start a gang.

        Args:
            workspace: its name.
            gang: the shape of the gang.

        Returns:
            False when the gang exceeds the maximum of the workspace.
        """
        maximum = self._maximums.get(workspace)
        if maximum is None:
            return True
        need = gang.need.scaled(gang.size)
        return need.fits_in(limit_allowance(maximum, NOTHING))

    def leaves_to_workspace(self, scope: Scope) -> bool:
        """Return whether the workspace of a group may start more tasks.

        Args:
            scope: what the room of the group depends on.

        Returns:
            True when its maximum leaves room now or soon, or is hardly used.
        """
        account = self._workspaces.get(scope.workspace)
        return account is None or account.soon > 0 or account.idle > 0

    def leaves_soon(self, scope: Scope) -> bool:
        """Return whether workers have room now or soon.

        Args:
            scope: what the room of a group depends on.

        Returns:
            True when the better ranked groups leave some of it.
        """
        return all(room.soon > 0 for room in self._rooms_of(scope))

    def leaves_idle(self, scope: Scope) -> bool:
        """Return whether workers stay idle.

        The groups that found no room there wait for something else. Workers of
        the service count also for a group that may not use them, as it has to
        start while under half of the service is in use.

        Args:
            scope: what the room of a group depends on.

        Returns:
            True when some do after the groups that await advice have started.
        """
        return any(room.idle > 0 for room in self._rooms_of(scope))

    def leaves_any(self, scope: Scope, *, awaits_advice: bool) -> bool:
        """Return whether a waiting group could take any room.

        Args:
            scope: what its room depends on.
            awaits_advice: it may start now, once advice is given.

        Returns:
            False when noting the group would change nothing.
        """
        rooms = self._rooms_of(scope)
        return all(room.soon > 0 for room in rooms) or (
            awaits_advice and all(room.idle > 0 for room in rooms)
        )

    def note_placed(self, scope: Scope, cpu_millis: int) -> None:
        """Count tasks that were placed in this round.

        Args:
            scope: what their room depends on.
            cpu_millis: processor time of the tasks.
        """
        for room in self._rooms_of(scope):
            room.take(cpu_millis, cpu_millis)
        workspace = self._workspaces.get(scope.workspace)
        if workspace is not None:
            workspace.take(cpu_millis, cpu_millis)

    def note_waiting(
        self, scope: Scope, claim: Claim, *, awaits_advice: bool
    ) -> None:
        """Count tasks that wait and rank before all that follow.

        Args:
            scope: what their room depends on.
            claim: room that they can use.
            awaits_advice: they may start now, once advice is given.
        """
        rooms = self._rooms_of(scope)
        usable: float = min(claim.cpu_millis, claim.share * rooms[-1].whole)
        workspace = self._workspaces.get(scope.workspace)
        if workspace is not None:
            usable = min(usable, max(0, workspace.soon, workspace.idle))
        soon = min(usable, *(max(0, room.soon) for room in rooms))
        idle: float = 0
        if awaits_advice:
            idle = min(usable, *(max(0, room.idle) for room in rooms))
        for room in rooms:
            room.take(soon, idle)
        if workspace is not None:
            workspace.take(max(soon, idle), idle)

    def soon_cores(self, scope: Scope) -> float:
        """Return what is left of the room now or soon.

        Args:
            scope: what the room of a group depends on.

        Returns:
            Cores.
        """
        return min(room.soon for room in self._rooms_of(scope)) / 1000

    def idle_cores(self, scope: Scope) -> float:
        """Return what is left on idle workers.

        Args:
            scope: what the room of a group depends on.

        Returns:
            Cores.
        """
        return max(room.idle for room in self._rooms_of(scope)) / 1000

    def _rooms_of(self, scope: Scope) -> list[_Account]:
        """Return the accounts of the service, and of the label after it."""
        rooms = self._rooms.get(scope)
        if rooms is None:
            rooms = [self._room(scope.service, '')]
            if scope.label:
                rooms.append(self._room(scope.service, scope.label))
            self._rooms[scope] = rooms
        return rooms

    def _room(self, service: str, label: str) -> _Account:
        account = self._labelled.get((service, label))
        if account is None:
            own = [
                worker
                for worker in self._workers
                if worker.service == service
                and (not label or label in worker.labels)
            ]
            soon = sum(
                worker.free + SOON_SHARE * worker.capacity for worker in own
            )
            account = _Account(
                soon=soon,
                idle=sum(
                    max(0, worker.free - (1 - IDLE_SHARE) * worker.capacity)
                    for worker in own
                ),
                whole=soon,
            )
            self._labelled[service, label] = account
        return account


class _WorkerRoom(NamedTuple):
    service: str
    labels: frozenset[str]
    free: int
    capacity: int


def _open_workspace(left: int, maximum: int) -> _Account:
    soon = left + SOON_SHARE * maximum
    return _Account(
        soon=soon, idle=left - (1 - IDLE_SHARE) * maximum, whole=soon
    )
