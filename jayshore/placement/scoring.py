"""The score that ranks the workers on which a task fits.

Source: a weighted sum of ranks (Borda count; Saari, "Geometry of Voting",
1994). Ranks have the same scale for workers of any size.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from jayshore.placement.policy import Policy
from jayshore.placement.settings import ScoreWeights

SCORED_WORKERS = 32
"""Number of workers that are scored; four times the workers of a usual rack.

Source: power-of-d-choices sampling (Mitzenmacher, IEEE TPDS 12(10), 2001): the
best of a bounded sample is close to the best of all.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScoreCase:
    """The workers to score.

    Attributes:
        weights: the weights of the terms.
        free_capacities: what is free on each worker, as in `fit_key`.
        replica_counts: for each worker, the number of tasks of the service in
            its failure domain, on its rack and on itself; equal for all
            workers when the task is not of a service.
        failures: failure rate of the latest tasks of each worker, in 32nds.
    """

    weights: ScoreWeights
    free_capacities: Sequence[tuple[int, ...]]
    replica_counts: Sequence[tuple[int, ...]]
    failures: Sequence[int]


class PlacementScore(Policy[ScoreCase, list[float]]):
    """Scores by rank of free capacity, rank of replicas and failure rate.

    `packing * packing_rank + 32 * spread * replica_rank + health * failures`.
    A rank is the number of distinct lower values among the workers. There are
    at most 32 packing ranks, so with equal weights and no failures having fewer
    replicas nearby outweighs any difference in packing.
    """

    def evaluate(self, case: ScoreCase) -> list[float]:
        """Score the workers.

        Args:
            case: the workers.

        Returns:
            The score of each worker, 0 or more; the lowest is preferred.
        """
        packing, health = case.weights.packing, case.weights.health
        spread = SCORED_WORKERS * case.weights.spread
        packing_ranks = _dense_ranks(case.free_capacities)
        replica_ranks = _dense_ranks(case.replica_counts)
        return [
            packing * packing_ranks[free]
            + spread * replica_ranks[replica_counts]
            + health * failures
            for free, replica_counts, failures in zip(
                case.free_capacities,
                case.replica_counts,
                case.failures,
                strict=True,
            )
        ]


def _dense_ranks(
    keys: Sequence[tuple[int, ...]],
) -> Mapping[tuple[int, ...], int]:
    return {key: rank for rank, key in enumerate(sorted(set(keys)))}
