"""Guards the fitted lines on which the capacity page rests."""

import pytest

from bench.slopes import fit


@pytest.mark.parametrize(
    ('found', 'base', 'slope', 'residual'),
    [
        ((1, 3, 5), 1, 2, 0),
        ((4, 4, 4), 4, 0, 0),
        ((0, 3, 0), 1, 0, 2),
    ],
)
def test_fit_gives_line_and_residual(found, base, slope, residual):
    """Guards against a swapped slope and base, and a hidden bad fit."""
    line = fit((0, 1, 2), found)
    assert (line.base, line.slope, line.residual) == (base, slope, residual)
