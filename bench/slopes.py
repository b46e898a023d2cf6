"""Fits a straight line through measured points."""

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A least-squares line.

    Attributes:
        base: value at 0.
        slope: change per unit.
        residual: largest distance of a point from the line.
    """

    base: float
    slope: float
    residual: float


def fit(sizes: Sequence[float], found: Sequence[float]) -> Line:
    """Fit a line.

    Args:
        sizes: at least two different ones.
        found: the figure at each size.

    Returns:
        The line.
    """
    line = statistics.linear_regression(sizes, found)
    distances = [
        abs(line.intercept + line.slope * size - figure)
        for size, figure in zip(sizes, found, strict=True)
    ]
    return Line(base=line.intercept, slope=line.slope, residual=max(distances))
