"""Deadlines: work is raised above ordinary work when its slack gets short.

Source: least slack time first (Mok, "Fundamental Design Problems of Distributed
Systems for the Hard-Real-Time Environment", MIT 1983). Only short slack counts:
until then fair share decides, so a deadline alone buys no advantage.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask

MIN_SLACK_MS = 10 * 60 * 1000
"""Slack below which a task is raised, however short it is.

Ten minutes cover one change of leader, one failed start and one retry.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineTimes:
    """When a deadline begins to matter.

    Attributes:
        raise_at: from when on the task goes before ordinary work.
        latest_start: the last start that still meets the deadline; among
            raised tasks the lowest is served first.
    """

    promote_at: Millis
    latest_start: Millis


class SlackThreshold(Policy[PendingTask, DeadlineTimes | None]):
    """Raise at `deadline - run - max(run, MIN_SLACK_MS)`.

    Slack of one run time leaves room to repeat a run that fails at its end.
    """

    def evaluate(self, case: PendingTask) -> DeadlineTimes | None:
        """Derive the instants from a task's deadline.

        Args:
            case: the waiting task.

        Returns:
            The instants, None for a task without deadline.
        """
        if case.deadline is None:
            return None
        run_ms = case.estimated_run_ms or 0
        latest_start = case.deadline - run_ms
        return DeadlineTimes(
            promote_at=Millis(latest_start - max(run_ms, MIN_SLACK_MS)),
            latest_start=Millis(latest_start),
        )
