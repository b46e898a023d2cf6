"""The score by which the workers that fit are compared.

Source: a weighted sum of ranks (Borda count; Saari, "Geometry of Voting",
1994). Ranks have the same scale for workers of any size.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from jayshore.placement.policy import Policy
from jayshore.placement.settings import ScoreWeights

SCORED_WORKERS = 32
"""How many workers are compared; four times the workers of a usual rack.

Source: power-of-d-choices sampling (Mitzenmacher, IEEE TPDS 12(10), 2001): the
best of a bounded sample is close to the best of all.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScoreCase:
    """The workers that are compared.

    Attributes:
        weights: of the terms.
        rooms: the room of each worker, as in `fit_key`.
        crowding: the tasks of the service per failure domain, rack and worker,
            for each worker; alike for other work.
        failures: failed part of the last tasks of each worker, in 32nds.
    """

    weights: ScoreWeights
    free_capacities: Sequence[tuple[int, ...]]
    replica_counts: Sequence[tuple[int, ...]]
    failures: Sequence[int]


class PlacementScore(Policy[ScoreCase, list[float]]):
    """`packing * room_rank + 32 * spread * crowding_rank + health * failures`.

    A rank is the number of different lower values among the workers. There are
    at most 32 room ranks, so with equal weights and no failures a less crowded
    place precedes all differences in packing.
    """

    def evaluate(self, case: ScoreCase) -> list[float]:
        """Rate the workers.

        Args:
            case: the workers.

        Returns:
            For each worker 0 or more; the lowest is preferred.
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
