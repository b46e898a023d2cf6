"""Passes over waiting groups for which a round can do nothing.

Most groups of a backlog find no room on any worker, and the workers that could
be reserved or asked about go to better ranked ones. This is found out from the
pools of the round, without a demand and without a scan of the workers.
"""

from collections.abc import Callable, Collection, Mapping

from jayshore.fleet.adviceneeds import AdviceGate
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.pools import Gang, PoolKey, WorkerPool, may_hold
from jayshore.fleet.ranking import DeadlineStatus
from jayshore.fleet.waiting import WaitingGroup


class Screen:
    """Screens the waiting groups of one round in the order of their ranks."""

    def __init__(
        self,
        *,
        placement_round: PlacementRound,
        gate: AdviceGate,
        suspects: Collection[GroupId],
        may_use_any: Callable[[WaitingGroup], bool] | None,
    ) -> None:
        """Create a screen.

        Args:
            placement_round: the round.
            gate: limits the requests for advice.
            suspects: groups with tasks under suspicion.
            may_use_any: returns whether a group may use quarantined workers,
                None when no worker is quarantined.
        """
        self._round = placement_round
        self._gate = gate
        self._suspects = suspects
        self._may_use_any = may_use_any
        self._pools: dict[tuple[str, str, bool], WorkerPool] = {}

    def may_use_any(self, waiting: WaitingGroup) -> bool:
        """Return whether a group may use quarantined workers.

        Args:
            waiting: the group.

        Returns:
            True after it has waited in vain for other workers.
        """
        return self._may_use_any is not None and self._may_use_any(waiting)

    def find_reason(self, waiting: WaitingGroup) -> WaitReason | None:
        """Return why a group waits, without considering it.

        Args:
            waiting: the group.

        Returns:
            The reason that a consideration would give and that is all that it
            would do; None when the group has to be considered.
        """
        if waiting.group_id in self._suspects:
            return None
        pool = self.find_pool(waiting)
        if pool is None:
            return None
        need = waiting.need
        if not (pool.workers or pool.holds_each(need)):
            # The reason may be an evacuation, which needs a demand.
            return None if self._round.evacuates else WaitReason.NO_WORKER
        if waiting.queue.advice is not None:
            return self._screen_advised(waiting, pool)
        if self._round.is_at_limit(waiting.workspace, need, waiting.least):
            return WaitReason.LIMIT
        if self._may_reserve(waiting) or _has_room(waiting, pool, None):
            return None
        return WaitReason.NO_ROOM

    def find_pool(self, waiting: WaitingGroup) -> WorkerPool | None:
        """Find the workers that may run a group, regardless of their load.

        Args:
            waiting: the group.

        Returns:
            The workers without those that are too small for a task; None when
            the round has considered no group like it.
        """
        pool = self._find_pool(waiting)
        if pool is None or pool.holds_each(waiting.need):
            return pool
        return pool.limit_to(waiting.need)

    def _screen_advised(
        self, waiting: WaitingGroup, pool: WorkerPool
    ) -> WaitReason | None:
        group = waiting.group
        if group.spec.gang:
            reason = self._explain_gang(waiting, pool)
            if reason is not None:
                return reason
        if pool.has_any(group.tickets) and self._round.is_at_limit(
            waiting.workspace, waiting.need, waiting.least
        ):
            return WaitReason.LIMIT
        if (
            not group.advice_pending
            and not _is_covered(group.evaluated, pool)
            and self._gate.may_ask(
                waiting.group_id,
                waiting.scope,
                waiting.queue.advice,
                lambda: _has_room(waiting, pool, None),
            )
        ):
            return None
        if not group.evaluated:
            return WaitReason.NO_ADVICE
        if not pool.has_any(group.tickets):
            return None if self._round.evacuates else WaitReason.NOT_ADVISED
        if self._may_reserve(waiting):
            return None
        if _has_room(waiting, pool, group.tickets):
            return None
        return WaitReason.NO_ROOM

    def _explain_gang(
        self, waiting: WaitingGroup, pool: WorkerPool
    ) -> WaitReason | None:
        group = waiting.group
        if (
            not group.evaluated
            and waiting.least <= len(pool.workers)
            and not self._gate.limits(waiting.workspace)
        ):
            return None
        gang = Gang(
            waiting.need,
            waiting.least,
            group.spec.max_per_worker,
            group.evaluated,
            group.tickets.keys(),
        )
        return self._gate.explain_gang(
            waiting.group_id, waiting.scope, gang, pool
        )

    def _find_pool(self, waiting: WaitingGroup) -> WorkerPool | None:
        if self._may_use_any is None and not waiting.group.failed_on:
            pool = self._pools.get(waiting.kind)
            if pool is not None:
                return pool
        service, label, never_probes = waiting.kind
        key = PoolKey(
            service,
            label,
            not (never_probes or waiting.group.failed_on),
            self.may_use_any(waiting),
        )
        pool = self._round.known_pool(key)
        if pool is not None and not waiting.group.failed_on:
            self._pools[waiting.kind] = pool
        return pool

    def _may_reserve(self, waiting: WaitingGroup) -> bool:
        return (
            waiting.group.spec.gang
            and self._round.may_reserve
            and waiting.rank.deadline_status is DeadlineStatus.IN_TIME
        )


def _is_covered(evaluated: Collection[str], pool: WorkerPool) -> bool:
    """Return whether advice has covered all workers of a pool."""
    return len(evaluated) >= len(pool.workers) and pool.is_covered(evaluated)


def _has_room(
    waiting: WaitingGroup,
    pool: WorkerPool,
    tickets: Mapping[str, object] | None,
) -> bool:
    """Return whether enough tasks of a group may fit now."""
    need = waiting.need
    if not pool.may_have_room(need):
        return False
    roomy = pool.with_room(need, waiting.group_id)
    if tickets is not None:
        roomy = [worker for worker in roomy if worker.worker_id in tickets]
    return may_hold(need, roomy, waiting.least)
