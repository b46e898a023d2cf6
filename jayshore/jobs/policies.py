"""Converts configured shares and policies to settings of the cell."""

from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.config.model import Policies
from jayshore.placement.settings import (
    AgingSettings,
    PlacementSettings,
    PreemptionSettings,
    ScoreWeights,
)

# The cell takes shares as integers; configured shares may be fractions.
_SHARE_SCALE = 100


def shares_of(document: Document) -> dict[str, int]:
    """Convert the shares of the teams to integers.

    Args:
        document: a configuration.

    Returns:
        Shares by team, in hundredths and at least 1.
    """
    return {
        team.name: max(1, round(team.share * _SHARE_SCALE))
        for team in document.teams
    }


def placement_settings(policies: Policies) -> PlacementSettings:
    """Convert the configured policies to the settings of the cell.

    Args:
        policies: policies of a configuration.

    Returns:
        The placement settings.
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
