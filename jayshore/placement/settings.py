"""The settings of the placement policies.

The package depends on no configuration format; its caller fills these in. The
defaults are those of `policies.json`.
"""

import dataclasses

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScoreWeights:
    """Weights of the terms of the placement score, see `PlacementScore`.

    Attributes:
        packing: preference for workers with less free capacity.
        spread: preference for workers with fewer tasks of the same service
            in their failure domain, on their rack and on themselves.
        health: preference for workers with fewer failures.
    """

    packing: float = 1
    spread: float = 1
    health: float = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgingSettings:
    """How the priority of waiting work rises with time.

    Attributes:
        after_ms: waiting time in ms from which a team ages.
        full_ms: waiting time in ms from which work is in an aged tier; at
            least `after_ms`.
    """

    after_ms: Millis = Millis(30_000)
    full_ms: Millis = Millis(14_400_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionSettings:
    """When running work is preempted for another team.

    Attributes:
        enabled: whether work is preempted at all.
        above_share: weighted dominant share from which the tasks of a team
            may be preempted.
    """

    enabled: bool = True
    above_share: float = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """All settings of a cell."""

    weights: ScoreWeights = ScoreWeights()
    aging: AgingSettings = AgingSettings()
    preemption: PreemptionSettings = PreemptionSettings()
