"""Extrapolates the measured control cost to the design size.

Run with `python -m bench.design out/control-*.json`; the files are written by
`bench.control`, and the medians of their fitted lines are used.
"""

import argparse
import sys
from collections.abc import Callable
from typing import TypeAlias

from bench.control import summarize

_DAEMONS = 8
_DOMAINS = 4
_PEERS = _DAEMONS - 1
_DOMAIN_WORKERS = 460 / _DOMAINS
_DOMAIN_EXECUTORS = 24 / _DOMAINS
_DOMAIN_RUNNING_TASKS = 1900 / _DOMAINS
_DOMAIN_STARTS_PER_S = 91 / _DOMAINS
_APPLIES_PER_S = 510 / 86_400
_MEASURED_DAEMONS = 2

_Lines: TypeAlias = dict[str, dict[str, float]]
_LineLookup: TypeAlias = Callable[[str], float]


def _slopes(lines: _Lines) -> _LineLookup:
    return lambda key: lines[key]['slope'] if key in lines else 0


def _bases(lines: _Lines) -> _LineLookup:
    return lambda key: lines[key]['base'] if key in lines else 0


def leader_bytes(lines: _Lines) -> dict[str, float]:
    """Compute the traffic of an idle leader at the design size.

    Args:
        lines: lines fitted by `bench.control`.

    Returns:
        Bytes per second by purpose, both directions together.
    """
    slope = _slopes(lines)
    base = _bases(lines)
    listed_instances = _DOMAINS * (_DOMAIN_WORKERS + _DOMAIN_EXECUTORS)
    heartbeat_bytes = slope('daemons/leader/peer_calls_bytes') + slope(
        'daemons/leader/peer_answers_bytes'
    )
    return {
        'heartbeats': _PEERS * heartbeat_bytes,
        'store polls and lease': base('workers/leader/store_bytes'),
        'instance list': base('workers/leader/instances_bytes')
        + listed_instances * slope('workers/leader/instances_bytes'),
        'worker renewals': _DOMAIN_WORKERS
        * slope('workers/leader/workers_bytes'),
        'reports of running tasks': _DOMAIN_RUNNING_TASKS
        * slope('running/leader/workers_bytes'),
        'executor renewals': _DOMAIN_EXECUTORS
        * slope('executors/leader/executors_bytes'),
    }


def standby_bytes(lines: _Lines) -> dict[str, float]:
    """Compute the traffic of a standby at the design size.

    Args:
        lines: lines fitted by `bench.control`.

    Returns:
        Bytes per second by purpose, both directions together.
    """
    slope = _slopes(lines)
    heartbeat_bytes = slope('daemons/standby/peer_calls_bytes') + slope(
        'daemons/standby/peer_answers_bytes'
    )
    return {
        'heartbeats': _PEERS * heartbeat_bytes,
        'store polls': _bases(lines)('workers/standby/store_bytes'),
    }


def idle_cost(lines: _Lines, role: str, figure: str) -> dict[str, float]:
    """Compute the processor time or memory of a daemon without new work.

    Args:
        lines: lines fitted by `bench.control`.
        role: `leader` or `standby`.
        figure: `cpu_percent` or `memory_mb`.

    Returns:
        The parts of the figure by cause; their sum is the figure.
    """
    slope = _slopes(lines)
    additional_daemons = _DAEMONS - _MEASURED_DAEMONS
    parts = {
        'two daemons': _bases(lines)(f'workers/{role}/{figure}'),
        'more daemons': additional_daemons * slope(f'daemons/{role}/{figure}'),
    }
    if role == 'leader':
        other_domain_instances = (_DOMAINS - 1) * (
            _DOMAIN_WORKERS + _DOMAIN_EXECUTORS
        )
        parts['list of other domains'] = other_domain_instances * slope(
            f'listed/leader/{figure}'
        )
        parts['workers'] = _DOMAIN_WORKERS * slope(f'workers/leader/{figure}')
        parts['executors'] = _DOMAIN_EXECUTORS * slope(
            f'executors/leader/{figure}'
        )
        parts['running tasks'] = _DOMAIN_RUNNING_TASKS * slope(
            f'running/leader/{figure}'
        )
    return parts


def start_cost(lines: _Lines, tasks: int) -> dict[str, float]:
    """Compute what the peak rate of task starts adds to a leader.

    Args:
        lines: lines fitted by `bench.control`.
        tasks: number of tasks in each job, 1 or 10.

    Returns:
        Added processor time, bytes per second and store calls per second.
    """
    slope = _slopes(lines)
    prefix = f'starts_in_jobs_of_{tasks}/leader'
    figures = (
        'cpu_percent',
        'store_bytes',
        'workers_bytes',
        'store_put',
        'store_get',
        'store_list',
    )
    added = {
        name: _DOMAIN_STARTS_PER_S * slope(f'{prefix}/{name}')
        for name in figures
    }
    # The tasks of the start load end before their usage is known, so its slope
    # lacks the first reports.
    added['first reports, bytes'] = _DOMAIN_STARTS_PER_S * slope(
        'first_reports/leader/workers_bytes'
    )
    return added


def apply_cost(lines: _Lines) -> dict[str, float]:
    """Compute the mean cost of the configuration changes of a day.

    Args:
        lines: lines fitted by `bench.control`.

    Returns:
        Cost per apply and mean bytes per second of the daemon that receives the
        applies, for two daemons and 6 teams.
    """
    slope = _slopes(lines)
    prefix = 'applies/applying'
    bytes_per_apply = sum(
        slope(f'{prefix}/{flow}_bytes')
        for flow in ('store', 'peer_calls', 'callers')
    )
    return {
        'cpu ms per apply': 10 * slope(f'{prefix}/cpu_percent'),
        'bytes per apply': bytes_per_apply,
        'puts per apply': slope(f'{prefix}/store_put'),
        'mean bytes/s': _APPLIES_PER_S * bytes_per_apply,
    }


def _print_parts(title: str, parts: dict[str, float], *, total: bool) -> None:
    sys.stdout.write(f'{title}\n')
    for name, amount in parts.items():
        sys.stdout.write(f'  {name:28} {amount:12.2f}\n')
    if total:
        sys.stdout.write(f'  {"sum":28} {sum(parts.values()):12.2f}\n')


def main() -> None:
    """Print the extrapolated figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('files', nargs='+')
    lines = summarize(parser.parse_args().files)
    for role in ('leader', 'standby'):
        for figure in ('cpu_percent', 'memory_mb'):
            parts = idle_cost(lines, role, figure)
            _print_parts(f'{role}, idle: {figure}', parts, total=True)
    _print_parts('leader, idle: B/s', leader_bytes(lines), total=True)
    _print_parts('standby: B/s', standby_bytes(lines), total=True)
    for tasks in (1, 10):
        _print_parts(
            f'leader, added by {_DOMAIN_STARTS_PER_S:.1f} starts/s'
            f' in jobs of {tasks}',
            start_cost(lines, tasks),
            total=False,
        )
    _print_parts('configuration changes', apply_cost(lines), total=False)


if __name__ == '__main__':
    main()
