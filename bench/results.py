"""Result files of the benchmarks that run on whole clusters."""

import json
import pathlib
from typing import Any

_REPORTED_PERCENTILES = (50, 90, 99, 100)


def percentiles(histogram: Any) -> dict[str, float]:
    """Read the reported percentiles of a histogram.

    Args:
        histogram: an HdrHistogram.

    Returns:
        `p50`, `p90`, `p99` and `max`, in the unit of the histogram.
    """
    values = {
        f'p{percentile}': histogram.get_value_at_percentile(percentile)
        for percentile in _REPORTED_PERCENTILES
    }
    values['max'] = values.pop('p100')
    return values


def write_result(path: pathlib.Path, result: object) -> None:
    """Write a result as JSON.

    Args:
        path: the file; its parent directory is created if missing.
        result: any value that JSON can represent.
    """
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(result, indent=2, sort_keys=True))
