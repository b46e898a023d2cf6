"""What the measurements through processes write in common."""

import json
import pathlib
from typing import Any

_REPORTED = (50, 90, 99, 100)


def percentiles(histogram: Any) -> dict[str, float]:
    """Read the usual percentiles.

    Args:
        histogram: an HdrHistogram.

    Returns:
        `p50`, `p90`, `p99` and `max`, in the unit of the histogram.
    """
    values = {
        f'p{rank}': histogram.get_value_at_percentile(rank)
        for rank in _REPORTED
    }
    values['max'] = values.pop('p100')
    return values


def write_result(path: pathlib.Path, result: object) -> None:
    """Write a result as JSON.

    Args:
        path: the file; its folder is made.
        result: anything that JSON can hold.
    """
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(result, indent=2, sort_keys=True))
