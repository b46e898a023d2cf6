"""Walks over the waiting groups in a round that is bounded.

Groups are considered in the order of their ranks. One that finds no room on any
worker and has nothing to request or reserve is passed over at little cost. A
round that reaches its budget goes on in the next one: that begins with the best
ranks again and spends at most half of its budget on them, so that none is
starved.
"""

import heapq
from collections.abc import Iterator
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.adviceneeds import AdviceGate
from jayshore.fleet.contention import measure_claim
from jayshore.fleet.demandmaker import DemandMaker
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.ranking import DeadlineStatus
from jayshore.fleet.screening import Screen
from jayshore.fleet.waiting import SortKey, WaitingGroup, WaitingIndex

BUDGET: Final = 7000
"""Work of a round, in about a microsecond each.

Measured by `bench.rounds`: a round stays under 20 ms of processor time, and
groups that are passed over leave half of it to others.
"""

_SCREEN_COST: Final = 3
_DEMAND_COST: Final = 70
_PLACEMENT_COST: Final = 25
"""A placement is also recorded and logged before the event loop goes on."""

_COMPETING: Final = (
    WaitReason.NO_ROOM,
    WaitReason.NO_ADVICE,
    WaitReason.OLD_TICKET,
    WaitReason.LIMIT,
)
"""Outcomes of groups that take the next free workers from those behind.

A group at the limit of its workspace takes from those of its workspace only.
"""


class BacklogWalk:
    """One bounded walk over an index of waiting groups."""

    def __init__(
        self,
        *,
        index: WaitingIndex,
        demand_maker: DemandMaker,
        placement_round: PlacementRound,
        gate: AdviceGate,
        screen: Screen,
        now: Millis,
    ) -> None:
        """Create a walk.

        Args:
            index: the waiting groups; it does not change during the walk.
            demand_maker: makes the demands of groups that are considered.
            placement_round: places them.
            gate: limits the requests for advice.
            screen: passes over groups for which the round can do nothing.
            now: time on the local clock, in ms.
        """
        self._index = index
        self._demand_maker = demand_maker
        self._round = placement_round
        self._gate = gate
        self._screen = screen
        self._now = now
        self._spent = 0
        self._postponed: list[tuple[SortKey, WaitingGroup]] = []
        self._moved: list[tuple[SortKey, WaitingGroup]] = []
        self.reasons: dict[GroupId, WaitReason | None] = {}

    def run(self, resume: SortKey | None) -> SortKey | None:
        """Walk from the best rank until the budget is spent.

        Args:
            resume: where the last walk ended, None when it was complete.

        Returns:
            Where the next walk goes on, None when this one is complete.
        """
        end = self._walk(None, resume)
        if end is not None and resume is not None and end <= resume:
            # What follows is out of order, and others come before it.
            self._gate.close()
            self._postponed.clear()
            end = self._walk(resume, None)
        for key, waiting in self._moved:
            self._index.move(waiting, key)
        return end

    def _walk(
        self, first: SortKey | None, resume: SortKey | None
    ) -> SortKey | None:
        for visited, (key, waiting) in enumerate(self._in_order(first)):
            spent = self._spent + self._round.work.examined
            if resume is not None and key < resume:
                spent *= 2
            # The best ranked group is visited whatever the budget is.
            if visited and spent >= BUDGET:
                return key
            self._visit(key, waiting)
        return None

    def _in_order(
        self, first: SortKey | None
    ) -> Iterator[tuple[SortKey, WaitingGroup]]:
        """Iterate over the index and the groups whose rank became worse."""
        postponed = self._postponed
        for waiting in self._index.walk(first):
            while postponed and postponed[0][0] < waiting.key:
                yield heapq.heappop(postponed)
            yield waiting.key, waiting
        while postponed:
            yield heapq.heappop(postponed)

    def _visit(self, key: SortKey, waiting: WaitingGroup) -> None:
        self._spent += _SCREEN_COST
        decisions = self._round.decisions
        placed = len(decisions.placements)
        asked = len(decisions.advice_requests)
        reason = self._screen.find_reason(waiting)
        if reason is None:
            current = self._index.current_key(waiting, self._now)
            if current != waiting.key and current != key:
                self._moved.append((current, waiting))
                if current > key:
                    heapq.heappush(self._postponed, (current, waiting))
                    return
            reason = self._consider(current, waiting)
        self.reasons[waiting.group_id] = reason
        self._note_room(
            waiting,
            reason,
            placed=len(decisions.placements) - placed,
            awaits_advice=waiting.group.advice_pending
            or len(decisions.advice_requests) > asked,
        )

    def _note_room(
        self,
        waiting: WaitingGroup,
        reason: WaitReason | None,
        *,
        placed: int,
        awaits_advice: bool,
    ) -> None:
        """Let the gate count the room that a group takes from those behind."""
        if placed:
            self._gate.note_placed(
                waiting.scope, placed * waiting.need.cpu_millis
            )
        if (
            reason not in _COMPETING
            or waiting.group_id in self._gate.never_whole
            or _starts_by_chance(waiting, reason)
            or not self._gate.leaves_any(
                waiting.scope, awaits_advice=awaits_advice
            )
        ):
            return
        pool = self._screen.find_pool(waiting)
        if pool is not None and pool.workers:
            self._gate.note_waiting(
                waiting.scope,
                measure_claim(waiting, pool, placed),
                awaits_advice=awaits_advice,
            )

    def _consider(
        self, key: SortKey, waiting: WaitingGroup
    ) -> WaitReason | None:
        self._spent += _DEMAND_COST
        placements = self._round.decisions.placements
        placed = len(placements)
        reason: WaitReason | None = None
        for demand in self._demand_maker.make(
            waiting,
            key[0],
            self._now,
            any_worker=self._screen.may_use_any(waiting),
        ):
            reason = self._round.consider(demand) or reason
        self._spent += _PLACEMENT_COST * (len(placements) - placed)
        return reason


def _starts_by_chance(waiting: WaitingGroup, reason: WaitReason | None) -> bool:
    """Return whether a group may wait for long without taking any worker.

    No workers are reserved for a gang that is late, so it would keep others
    from asking for advice on workers that it does not use.
    """
    return (
        reason is WaitReason.NO_ROOM
        and waiting.group.spec.gang
        and waiting.rank.deadline_status is not DeadlineStatus.IN_TIME
    )
