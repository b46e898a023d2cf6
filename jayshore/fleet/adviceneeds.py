"""Which placement advice a round requests, and on which workers.

Advice on a group that cannot start soon is worthless: its tickets expire, and
its calls delay those on groups that could start now.
"""

import enum
import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from jayshore.fleet.contention import Claim, RoomAccounts
from jayshore.fleet.demands import (
    GroupDemand,
    Scope,
    WaitReason,
    WorkerHeadroom,
)
from jayshore.fleet.eligibility import count_fits
from jayshore.fleet.model import AdvicePolicy, GroupId
from jayshore.fleet.pools import Gang, WorkerPool

LONG_CALL_MS: Final = 60
"""Expected duration from which a call counts as long, in ms."""

MAX_ADVICE_WORKERS: Final = 80
"""Maximum number of workers in a request; the service accepts up to 100."""

_MIN_ADVICE_WORKERS: Final = 24
"""Minimum number of workers in a request for advice, if that many exist."""

_ADVICE_WORKERS_PER_NEEDED: Final = 10
"""Workers in a request for each empty worker that the group would fill.

The service permits a third of the workers for the widest groups, and on a busy
fleet a quarter of a worker is free.
"""


def expected_call_ms(policy: AdvicePolicy, worker_count: int) -> float:
    """Estimate the duration of a call to the advice service.

    Args:
        policy: response times of the service.
        worker_count: number of workers in the request.

    Returns:
        The duration, in ms.
    """
    return policy.decision_ms + policy.per_worker_ms * worker_count


class CallBudget:
    """Calling time that is left for requests until tickets would expire."""

    def __init__(self, *, long_ms: float, all_ms: float) -> None:
        """Create a budget.

        Args:
            long_ms: calling time left for long calls, in ms.
            all_ms: calling time left for all calls, in ms.
        """
        self._long_ms = long_ms
        self._all_ms = all_ms

    @property
    def left_ms(self) -> float:
        """Calling time left for all calls, in ms."""
        return self._all_ms

    def has_time_for(self, expected_ms: float) -> bool:
        """Return whether there is time for a call.

        Args:
            expected_ms: expected duration of the call, in ms.

        Returns:
            False when the call would begin too late.
        """
        left = self._all_ms
        if expected_ms >= LONG_CALL_MS:
            left = min(left, self._long_ms)
        return left > 0

    def take(self, expected_ms: float) -> None:
        """Spend the time of a call.

        Args:
            expected_ms: expected duration of the call, in ms.
        """
        self._all_ms -= expected_ms
        if expected_ms >= LONG_CALL_MS:
            self._long_ms -= expected_ms


class AdviceObstacle(enum.StrEnum):
    """Why advice is not requested for a group, or does not help it.

    `CONTENDED`: better ranked groups need the room that is free or becomes so.
    `WORKSPACE`: its workspace is at its maximum, by what ranks before it.
    `CALLING_TIME`: the calls that are queued take all calling time.
    `ROUND_CUT`: the round could not consider what ranks before it.
    `TOO_WIDE`: a gang that no workers could hold, even if they were empty.
    `FEW_PERMITTED`: a gang that the workers that advice permits cannot hold.
    """

    CONTENDED = 'contended'
    WORKSPACE = 'workspace_limit'
    CALLING_TIME = 'no_calling_time'
    ROUND_CUT = 'round_cut'
    TOO_WIDE = 'gang_too_wide'
    FEW_PERMITTED = 'too_few_permitted'


class AdviceGate:
    """Decides in the order of ranks which groups may request advice."""

    def __init__(self, *, accounts: RoomAccounts, budget: CallBudget) -> None:
        """Create a gate at the start of a round.

        Args:
            accounts: room that better ranked groups leave.
            budget: calling time that is left.
        """
        self._accounts = accounts
        self._budget = budget
        self._closed = False
        self.obstacles: dict[GroupId, AdviceObstacle] = {}
        self.never_whole: set[GroupId] = set()

    def close(self) -> None:
        """Refuse everything from now on."""
        self._closed = True

    def note_placed(self, scope: Scope, cpu_millis: int) -> None:
        """Count tasks that were placed.

        Args:
            scope: what their room depends on.
            cpu_millis: processor time of the tasks.
        """
        self._accounts.note_placed(scope, cpu_millis)

    def note_waiting(
        self, scope: Scope, claim: Claim, *, awaits_advice: bool
    ) -> None:
        """Count a group that ranks before all that follow.

        Args:
            scope: what its room depends on.
            claim: room that its waiting tasks can use.
            awaits_advice: advice on it is queued or in flight.
        """
        self._accounts.note_waiting(scope, claim, awaits_advice=awaits_advice)

    def leaves_any(self, scope: Scope, *, awaits_advice: bool) -> bool:
        """Return whether a waiting group could take room from those behind.

        Args:
            scope: what its room depends on.
            awaits_advice: advice on it is queued or in flight.

        Returns:
            False when it need not be noted.
        """
        return not self._closed and self._accounts.leaves_any(
            scope, awaits_advice=awaits_advice
        )

    def may_ask(
        self,
        group_id: GroupId,
        scope: Scope,
        policy: AdvicePolicy | None,
        fits_now: Callable[[], bool],
    ) -> bool:
        """Return whether the next group may request advice.

        Args:
            group_id: the group.
            scope: what its room depends on.
            policy: response times of the service, None when unknown.
            fits_now: returns whether a worker has room for one of its tasks.

        Returns:
            True while calling time is left and the better ranked groups leave
            room now or soon, or the group fits in idle workers.
        """
        obstacle = self._find_obstacle(scope, policy, fits_now)
        if obstacle is not None:
            self.obstacles[group_id] = obstacle
        return obstacle is None

    def measure(self, scope: Scope) -> dict[str, float]:
        """Return the figures that decide, for the log.

        Args:
            scope: what the room of a group depends on.

        Returns:
            The cores that waiting groups leave now or soon and on idle workers,
            and the calling time that is left, in ms.
        """
        return {
            'soon_cores': round(self._accounts.soon_cores(scope), 1),
            'idle_cores': round(self._accounts.idle_cores(scope), 1),
            'calling_ms': self._budget.left_ms,
        }

    def limits(self, workspace: str) -> bool:
        """Return whether a workspace has a maximum.

        Args:
            workspace: its name.

        Returns:
            False when it may use all workers.
        """
        return self._accounts.limits(workspace)

    def explain_gang(
        self, group_id: GroupId, scope: Scope, gang: Gang, pool: WorkerPool
    ) -> WaitReason | None:
        """Explain why a gang can never be whole, whatever advice says.

        Args:
            group_id: the gang.
            scope: what its room depends on.
            gang: its shape.
            pool: workers that may run it, unless advice excludes them.

        Returns:
            None when it could be, if all else ended.
        """
        if not self._accounts.holds_gang(scope.workspace, gang):
            self.never_whole.add(group_id)
            self.obstacles[group_id] = AdviceObstacle.WORKSPACE
            return WaitReason.LIMIT
        if pool.holds_gang(gang):
            return None
        self.never_whole.add(group_id)
        slots = pool.count_slots(gang.need, gang.max_per_worker)
        self.obstacles[group_id] = (
            AdviceObstacle.TOO_WIDE
            if slots < gang.size
            else AdviceObstacle.FEW_PERMITTED
        )
        return WaitReason.NO_ROOM

    def note_request(
        self, policy: AdvicePolicy | None, worker_count: int
    ) -> None:
        """Count a request.

        Args:
            policy: response times of the service, None when unknown.
            worker_count: number of workers in the request.
        """
        if policy is not None:
            self._budget.take(expected_call_ms(policy, worker_count))

    def _find_obstacle(
        self,
        scope: Scope,
        policy: AdvicePolicy | None,
        fits_now: Callable[[], bool],
    ) -> AdviceObstacle | None:
        if self._closed:
            return AdviceObstacle.ROUND_CUT
        if policy is not None and not self._budget.has_time_for(
            expected_call_ms(policy, _MIN_ADVICE_WORKERS)
        ):
            return AdviceObstacle.CALLING_TIME
        accounts = self._accounts
        if not accounts.leaves_to_workspace(scope):
            return AdviceObstacle.WORKSPACE
        if accounts.leaves_soon(scope):
            return None
        if accounts.leaves_idle(scope) and fits_now():
            return None
        return AdviceObstacle.CONTENDED


class OpenGate(AdviceGate):
    """Lets every group ask, for a round that is not part of a backlog."""

    def __init__(self) -> None:
        """Create a gate without limits."""
        super().__init__(
            accounts=RoomAccounts(workers=(), maximums={}, allowances={}),
            budget=CallBudget(long_ms=math.inf, all_ms=math.inf),
        )

    def may_ask(
        self,
        group_id: GroupId,
        scope: Scope,
        policy: AdvicePolicy | None,
        fits_now: Callable[[], bool],
    ) -> bool:
        """Let the group ask.

        Args:
            group_id: not used.
            scope: not used.
            policy: not used.
            fits_now: not used.

        Returns:
            True.
        """
        return True


def choose_workers_to_ask(
    demand: GroupDemand,
    first: WorkerHeadroom,
    by_preference: Iterable[WorkerHeadroom],
) -> list[str]:
    """Choose workers for a request for advice, healthy and empty ones first.

    Args:
        demand: waiting tasks.
        first: a worker that earlier advice did not cover, whose capacity
            stands for that of all.
        by_preference: the workers that may run them, the best one first.

    Returns:
        Ids of workers that earlier advice did not cover.
    """
    per_worker = max(1, count_fits(demand, first.capacity))
    wanted = _ADVICE_WORKERS_PER_NEEDED * math.ceil(
        len(demand.indexes) / per_worker
    )
    count = min(MAX_ADVICE_WORKERS, max(_MIN_ADVICE_WORKERS, wanted))
    known = demand.evaluated
    uncovered = (
        worker.worker_id
        for worker in by_preference
        if worker.worker_id not in known
    )
    return list(itertools.islice(uncovered, count))
