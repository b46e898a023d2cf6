"""What operators set of the placement policies.

The package depends on no configuration format, so whoever embeds it fills these
in. The defaults are those of `policies.json`.
"""

import dataclasses

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScoreWeights:
    """Weights of the terms of a placement score, see `PlacementScore`.

    Attributes:
        packing: preference for workers with less room left.
        spread: preference for places with fewer tasks of the same service.
        health: preference for workers with fewer failures.
    """

    packing: float = 1
    spread: float = 1
    health: float = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgingSettings:
    """How waiting work rises.

    Attributes:
        after_ms: waiting time from which a team's rank rises.
        full_ms: waiting time from which work is in the aged tier; at least
            `after_ms`.
    """

    after_ms: Millis = Millis(30_000)
    full_ms: Millis = Millis(14_400_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionSettings:
    """When running work gives way to a team below its share.

    Attributes:
        enabled: whether it does at all.
        above_share: weighted dominant share from which a team gives way.
    """

    enabled: bool = True
    above_share: float = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """All settings of a cell."""

    weights: ScoreWeights = ScoreWeights()
    aging: AgingSettings = AgingSettings()
    preemption: PreemptionSettings = PreemptionSettings()
