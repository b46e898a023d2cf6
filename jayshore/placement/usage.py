"""What each team uses, and which of its tasks may be stopped."""

import heapq
from collections.abc import Mapping

from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.preemption import may_be_stopped
from jayshore.placement.tasks import PlacedTask, TaskId
from jayshore.resources import NOTHING, Resources


class TeamUsage:
    """The grants of the running tasks, summed up per team."""

    def __init__(self) -> None:
        """Start without usage."""
        self.capacity = NOTHING
        self._weights: dict[str, int] = {}
        self._weight_sum = 1
        self._used: dict[str, Resources] = {}
        self._shares: dict[str, float] = {}
        self._stoppable: dict[str, dict[TaskId, PlacedTask]] = {}
        self._policy = DominantShare()

    def replace_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the shares of the teams.

        Args:
            weights: positive whole numbers; absent teams have 1.
        """
        self._weights = dict(weights)
        self._weight_sum = sum(weights.values()) or 1
        self._shares.clear()

    def resize(self, capacity: Resources) -> None:
        """Replace the capacity of the cell.

        Args:
            capacity: the sum over its workers.
        """
        self.capacity = capacity
        self._shares.clear()

    def add(self, running: PlacedTask) -> None:
        """Count a running task.

        Args:
            running: the task.
        """
        team = running.task.team
        self._used[team] = self._used.get(team, NOTHING) + running.task.demand
        self._shares.pop(team, None)
        if may_be_stopped(running):
            stoppable = self._stoppable.setdefault(team, {})
            stoppable[running.task.task_id] = running

    def remove(self, running: PlacedTask) -> None:
        """Stop counting a running task.

        Args:
            running: the task.
        """
        team = running.task.team
        self._used[team] -= running.task.demand
        self._shares.pop(team, None)
        stoppable = self._stoppable.get(team)
        if stoppable is not None:
            stoppable.pop(running.task.task_id, None)
            if not stoppable:
                self._stoppable.pop(team)

    def share(self, team: str) -> float:
        """Compute the weighted dominant share of a team.

        Args:
            team: the team.

        Returns:
            0 or more, 1 at its own share.
        """
        known = self._shares.get(team)
        if known is None:
            known = self._policy.evaluate(self.case(team))
            self._shares[team] = known
        return known

    def case(self, team: str) -> ShareCase:
        """Describe the usage of a team.

        Args:
            team: the team.

        Returns:
            The case for the share policy.
        """
        return ShareCase(
            used=self._used.get(team, NOTHING),
            capacity=self.capacity,
            weight=self._weights.get(team, 1),
            weight_sum=self._weight_sum,
        )

    def furthest_above(self, other_than: str) -> str | None:
        """Find the team with the highest share that has tasks to stop.

        Args:
            other_than: a team that is left out.

        Returns:
            The team, or None.
        """
        ranked = (
            (self.share(team), team)
            for team in self._stoppable
            if team != other_than
        )
        return max(ranked, default=(0, None))[1]

    def stoppable(self, team: str, at_most: int) -> list[PlacedTask]:
        """List the tasks of a team that may be stopped.

        They are sorted here, as this is asked twice in half a second at most,
        while thousands of tasks start and end.

        Args:
            team: the team.
            at_most: how many to list.

        Returns:
            The latest started first.
        """
        tasks = self._stoppable[team].values()
        return heapq.nsmallest(at_most, tasks, key=_latest_first)


def _latest_first(running: PlacedTask) -> tuple[int, str, int]:
    task_id = running.task.task_id
    return (-running.started_at, task_id.job_id, task_id.index)
