"""Checks that each number of a configuration is within its range."""

import operator
import types
from collections.abc import Iterator, Mapping
from typing import Final

from jayshore.fleet.findings import Finding, Severity, show_value
from jayshore.fleet.model import FleetConfig

MAX_NUMBER: Final = 1 << 53
"""Largest whole number that is exact in floating point.

Products of larger ones may become infinite, which ends the round of a leader.
"""

_CONFIG: Final = types.MappingProxyType({'version': 1})
_QUEUE: Final = types.MappingProxyType(
    {'priority': 0, 'max_attempts': 1, 'stretch': 0, 'objective_ms': 0}
)
_ADVICE: Final = types.MappingProxyType(
    {'decision_ms': 0, 'per_worker_ms': 0, 'validity_ms': 0}
)
_WORKSPACE: Final = types.MappingProxyType(
    {
        'weight': 0,
        'maximum.cpu_millis': 0,
        'maximum.memory_mb': 0,
        'maximum.accelerators': 0,
    }
)


def check_ranges(config: FleetConfig) -> Iterator[Finding]:
    """Find the numbers that are out of range.

    Args:
        config: a configuration.

    Yields:
        An error for each of them, with the expected range.
    """
    yield from _check_numbers(config, _CONFIG, '')
    for number, queue in enumerate(config.queues):
        path = f'queues[{number}].'
        yield from _check_numbers(queue, _QUEUE, path)
        if queue.advice is not None:
            yield from _check_numbers(queue.advice, _ADVICE, f'{path}advice.')
    for position, owner in enumerate(config.workspaces):
        yield from _check_numbers(owner, _WORKSPACE, f'workspaces[{position}].')


def _check_numbers(
    owner: object, least: Mapping[str, int], path: str
) -> Iterator[Finding]:
    for field, lower in least.items():
        found = operator.attrgetter(field)(owner)
        if not lower <= found <= MAX_NUMBER:
            yield Finding(
                severity=Severity.ERROR,
                path=path + field,
                value=show_value(found),
                expected=f'{lower} to 2^53',
                message='out of range',
            )
