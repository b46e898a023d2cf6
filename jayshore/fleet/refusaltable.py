"""Decides with hysteresis what instances refuse."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.fleet.admission import RESUME_FACTOR
from jayshore.fleet.refusals import Refusal
from jayshore.placement.waiting_jobs import PredictedWait

_CHANGE: Final = 0.25
"""Relative change of a published value from which it is published again.

Instances compare the value with each job, so small changes do not matter.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueWait:
    """Predicted wait of the usual new job of a queue.

    Attributes:
        queue: name of the queue.
        workspace: workspace whose maximum is the limit, empty for the workers.
        useful_ms: longest wait of the usual job that is of use, in ms.
        predicted: the predicted waits.
    """

    queue: str
    useful_ms: float
    predicted: PredictedWait
    workspace: str = ''


class RefusalTable:
    """Refusals that are in force."""

    def __init__(self) -> None:
        """Create a table without refusals."""
        self._refusals: dict[tuple[str, str, bool], Refusal] = {}

    @property
    def refusals(self) -> tuple[Refusal, ...]:
        """Refusals in force."""
        return tuple(self._refusals.values())

    def workspaces_beyond_rate(self) -> frozenset[str]:
        """Return the workspaces of whose submissions a share is refused.

        Returns:
            Their names.
        """
        return frozenset(
            refusal.workspace
            for refusal in self._refusals.values()
            if refusal.share < 1
        )

    def update(
        self, waits: Iterable[QueueWait], over_rates: Mapping[str, float]
    ) -> None:
        """Replace the refusals.

        Args:
            waits: predicted wait of each queue.
            over_rates: share of the submissions of a workspace that is beyond
                its rate.
        """
        former = self._refusals
        self._refusals = {}
        for wait in waits:
            in_rate = (wait.queue, wait.workspace, False)
            self._apply(
                former, in_rate, wait.predicted.in_rate_ms, wait.useful_ms
            )
            for workspace, share in over_rates.items():
                if wait.workspace in {'', workspace}:
                    self._apply(
                        former,
                        (wait.queue, workspace, True),
                        wait.predicted.over_rate_ms,
                        wait.useful_ms,
                        share,
                    )

    def _apply(
        self,
        former: Mapping[tuple[str, str, bool], Refusal],
        key: tuple[str, str, bool],
        wait_ms: float,
        useful_ms: float,
        share: float = 1.0,
    ) -> None:
        known = former.get(key)
        limit = useful_ms if known is None else RESUME_FACTOR * useful_ms
        if wait_ms <= limit:
            return
        refusal = Refusal(
            queue=key[0],
            workspace=key[1],
            wait_ms=round(wait_ms),
            share=share,
        )
        if known is not None and _is_like(known, refusal):
            refusal = known
        self._refusals[key] = refusal


def _is_like(known: Refusal, other: Refusal) -> bool:
    """Return whether a refusal need not be published again."""
    return (
        abs(known.wait_ms - other.wait_ms) <= _CHANGE * known.wait_ms
        and abs(known.share - other.share) <= _CHANGE * known.share
    )
