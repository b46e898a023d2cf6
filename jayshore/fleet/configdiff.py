"""Finds what differs from the configuration in force, with its effect."""

import dataclasses
import types
from collections.abc import Iterator, Sequence
from typing import Any, Final

from jayshore.fleet.findings import Finding, Severity, show_value
from jayshore.fleet.model import FleetConfig, Queue, Workspace

_ADMISSION: Final = 'jobs may wait for other times or be refused earlier'
_EFFECTS: Final = types.MappingProxyType(
    {
        'max_body_bytes': 'longer bodies are answered 413',
        'max_header_bytes': 'longer heads are refused',
        'header_timeout_ms': 'slower callers lose their connection',
        'idle_timeout_ms': 'idle connections are closed after it',
        'host': 'calls to the former host need another entry, or get 404',
        'prefix': 'calls to the former paths need another entry, or get 404',
        'service': 'tasks that have not started run on other workers',
        'priority': 'jobs get ahead of other queues or fall behind them',
        'max_attempts': 'tasks fail for good after this many failed runs',
        'stretch': _ADMISSION,
        'objective_ms': _ADMISSION,
        'public': 'calls without a key are accepted only while it is true',
        'advice': 'tasks start only where advice permits, and after its reply',
        'weight': 'its share of full workers and its rate of jobs change',
        'maximum': 'its running tasks are limited to it; 0 is no limit',
    }
)
_REMOVALS: Final = types.MappingProxyType(
    {
        'queues': 'was removed: its accepted jobs go on, and calls to it are'
        ' answered 404 unless another entry matches',
        'workspaces': 'was removed: its accepted jobs go on without its share'
        ' and its maximum',
    }
)
_MOVES: Final = frozenset(('host', 'prefix'))
_REFUSES_WHEN_LOWER: Final = frozenset(
    (
        'max_body_bytes',
        'max_header_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
        'public',
    )
)


def compare_configs(new: FleetConfig, former: FleetConfig) -> Iterator[Finding]:
    """Find the differences from the version in force.

    Args:
        new: the configuration to send.
        former: the configuration in force.

    Yields:
        An error when instances would ignore the new version. For each
        difference, a warning when callers are refused that are served now, and
        a note otherwise.
    """
    differs = dataclasses.replace(new, version=former.version) != former
    if new.version < former.version + differs:
        yield Finding(
            severity=Severity.ERROR,
            path='version',
            value=show_value(new.version),
            expected=f'above {show_value(former.version)}',
            message='instances ignore an older version, and cannot tell two'
            ' versions of the same number apart',
        )
    yield from _compare_fields(new, former, '')
    yield from _compare_entries('queues', new.queues, former.queues)
    yield from _compare_entries('workspaces', new.workspaces, former.workspaces)
    yield from _compare_keys(new.workspaces, former.workspaces)


def _compare_entries(
    section: str,
    new: Sequence[Queue | Workspace],
    former: Sequence[Queue | Workspace],
) -> Iterator[Finding]:
    removed = {entry.name: entry for entry in former}
    known = removed.copy()
    for index, entry in enumerate(new):
        path = f'{section}[{index}].'
        removed.pop(entry.name, None)
        earlier = known.get(entry.name)
        if earlier is None:
            yield _differ(f'{path}name', entry.name, None, 'is new')
        else:
            yield from _compare_fields(entry, earlier, path)
    for name in removed:
        message = _REMOVALS[section]
        yield _differ(section, None, name, message, Severity.WARNING)


def _compare_fields(
    new: object, former: object, path: str
) -> Iterator[Finding]:
    """Compare the fields that either kind of entry may have."""
    for name, effect in _EFFECTS.items():
        found: Any = getattr(new, name, None)
        earlier: Any = getattr(former, name, None)
        if found == earlier:
            continue
        refuses = name in _MOVES or (
            name in _REFUSES_WHEN_LOWER and found < earlier
        )
        severity = Severity.WARNING if refuses else Severity.NOTE
        yield _differ(path + name, found, earlier, effect, severity)


def _compare_keys(
    new: Sequence[Workspace], former: Sequence[Workspace]
) -> Iterator[Finding]:
    """Compare the keys by number only, since they are secret."""
    known = {workspace.name: workspace.keys for workspace in former}
    accepted = frozenset[str]().union(*(owner.keys for owner in new))
    withdrawn = frozenset[str]().union(*known.values()) - accepted
    if withdrawn:
        message = 'calls with these keys are answered 401'
        yield _differ('workspaces', (), withdrawn, message, Severity.WARNING)
    for index, workspace in enumerate(new):
        added = workspace.keys - known.get(workspace.name, workspace.keys)
        if added:
            path = f'workspaces[{index}].keys'
            message = 'calls with the added keys are accepted as its own'
            yield _differ(path, added, (), message)


def _differ(
    path: str,
    found: object,
    former: object,
    message: str,
    severity: Severity = Severity.NOTE,
) -> Finding:
    return Finding(
        severity=severity,
        path=path,
        value=show_value(found),
        former=show_value(former),
        message=message,
    )
