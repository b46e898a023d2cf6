"""Fits a straight line through measured points."""

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A least-squares line.

    Attributes:
        base: value at size 0.
        slope: change per unit of size.
        residual: largest vertical distance of a point from the line.
    """

    base: float
    slope: float
    residual: float


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Args:
        sizes: sizes, of which at least two differ.
        measured: the measured value at each size.

    Returns:
        The line.
    """
    line = statistics.linear_regression(sizes, measured)
    distances = [
        abs(line.intercept + line.slope * size - value)
        for size, value in zip(sizes, measured, strict=True)
    ]
    return Line(base=line.intercept, slope=line.slope, residual=max(distances))
