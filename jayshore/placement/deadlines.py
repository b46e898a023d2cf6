"""Deadlines: work goes before ordinary work when its slack gets short.

Source: least slack time first (Mok, "Fundamental Design Problems of Distributed
Systems for the Hard-Real-Time Environment", MIT 1983). Only short slack counts:
until then fair share decides, so a deadline alone buys no advantage.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask

MIN_SLACK_MS = 10 * 60 * 1000
"""Slack below which a task is promoted, even if its run time is shorter.

Ten minutes cover one change of leader, one failed start and one retry.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineTimes:
    """The times that follow from a deadline.

    Attributes:
        promote_at: when the task moves to the deadline tier.
        latest_start: the last start that still meets the deadline; in the
            deadline tier the lowest is served first.
    """

    promote_at: Millis
    latest_start: Millis


class SlackThreshold(Policy[PendingTask, DeadlineTimes | None]):
    """Promotes a task at `deadline - run - max(run, MIN_SLACK_MS)`.

    Slack of one run time allows repeating a run that fails at its end.
    """

    def evaluate(self, case: PendingTask) -> DeadlineTimes | None:
        """Compute the times that follow from the deadline of a task.

        Args:
            case: the waiting task.

        Returns:
            The times, None for a task without a deadline.
        """
        if case.deadline is None:
            return None
        run_ms = case.estimated_run_ms or 0
        latest_start = case.deadline - run_ms
        return DeadlineTimes(
            promote_at=Millis(latest_start - max(run_ms, MIN_SLACK_MS)),
            latest_start=Millis(latest_start),
        )
