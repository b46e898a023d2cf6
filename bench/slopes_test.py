"""Tests the line fit, whose results the capacity page uses."""

import pytest

from bench.slopes import fit_line


@pytest.mark.parametrize(
    ('found', 'base', 'slope', 'residual'),
    [
        ((1, 3, 5), 1, 2, 0),
        ((4, 4, 4), 4, 0, 0),
        ((0, 3, 0), 1, 0, 2),
    ],
)
def test_fit_gives_line_and_residual(found, base, slope, residual):
    """Guards against swapping slope and base, and against hiding a bad fit."""
    line = fit_line((0, 1, 2), found)
    assert (line.base, line.slope, line.residual) == (base, slope, residual)
