"""What a configuration says to the cell."""

from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.config.model import Policies
from jayshore.placement.settings import (
    AgingSettings,
    PlacementSettings,
    PreemptionSettings,
    ScoreWeights,
)

# The cell counts shares in whole numbers.
_SHARE_UNITS = 100


def shares_of(document: Document) -> dict[str, int]:
    """Read the shares of the teams.

    Args:
        document: a configuration.

    Returns:
        Positive whole numbers by team.
    """
    return {
        team.name: max(1, round(team.share * _SHARE_UNITS))
        for team in document.teams
    }


def placement_settings(policies: Policies) -> PlacementSettings:
    """Read the settings of the placement policies.

    Args:
        policies: of a configuration.

    Returns:
        The settings of the cell.
    """
    weights, aging = policies.weights, policies.aging
    preemption = policies.preemption
    return PlacementSettings(
        weights=ScoreWeights(
            packing=weights.packing,
            spread=weights.spread,
            health=weights.health,
        ),
        aging=AgingSettings(
            after_ms=Millis(aging.after_ms), full_ms=Millis(aging.full_ms)
        ),
        preemption=PreemptionSettings(
            enabled=preemption.enabled, above_share=preemption.above_share
        ),
    )
