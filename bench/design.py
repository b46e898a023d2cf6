"""Works out the control cost at the design size from measured slopes.

Run with `python -m bench.design out/control-*.json`; the files are written by
`bench.control`, and the medians of their lines are used.
"""

import argparse
import sys
from collections.abc import Callable
from typing import TypeAlias

from bench.control import summarize

_DAEMONS = 8
_DOMAINS = 4
_PEERS = _DAEMONS - 1
_WORKERS = 460 / _DOMAINS
_EXECUTORS = 24 / _DOMAINS
_RUNNING = 1900 / _DOMAINS
_STARTS = 91 / _DOMAINS
_APPLIES = 510 / 86_400
_MEASURED_DAEMONS = 2

_Lines: TypeAlias = dict[str, dict[str, float]]
_Pick: TypeAlias = Callable[[str], float]


def _slopes(lines: _Lines) -> _Pick:
    return lambda key: lines[key]['slope'] if key in lines else 0


def _bases(lines: _Lines) -> _Pick:
    return lambda key: lines[key]['base'] if key in lines else 0


def leader_bytes(lines: _Lines) -> dict[str, float]:
    """Work out the bytes of an idle leader of the design size.

    Args:
        lines: as fitted by `bench.control`.

    Returns:
        Bytes a second by flow, both directions.
    """
    slope = _slopes(lines)
    base = _bases(lines)
    listed = _DOMAINS * (_WORKERS + _EXECUTORS)
    beats = slope('daemons/leader/peer_calls_bytes') + slope(
        'daemons/leader/peer_answers_bytes'
    )
    return {
        'heartbeats': _PEERS * beats,
        'store polls and lease': base('workers/leader/store_bytes'),
        'instance list': base('workers/leader/instances_bytes')
        + listed * slope('workers/leader/instances_bytes'),
        'worker renewals': _WORKERS * slope('workers/leader/workers_bytes'),
        'reports of running tasks': _RUNNING
        * slope('running/leader/workers_bytes'),
        'executor renewals': _EXECUTORS
        * slope('executors/leader/executors_bytes'),
    }


def standby_bytes(lines: _Lines) -> dict[str, float]:
    """Work out the bytes of a standby of the design size.

    Args:
        lines: as fitted by `bench.control`.

    Returns:
        Bytes a second by flow, both directions.
    """
    slope = _slopes(lines)
    beats = slope('daemons/standby/peer_calls_bytes') + slope(
        'daemons/standby/peer_answers_bytes'
    )
    return {
        'heartbeats': _PEERS * beats,
        'store polls': _bases(lines)('workers/standby/store_bytes'),
    }


def idle_cost(lines: _Lines, role: str, figure: str) -> dict[str, float]:
    """Work out processor time or memory of a daemon without new work.

    Args:
        lines: as fitted by `bench.control`.
        role: `leader` or `standby`.
        figure: `cpu_percent` or `memory_mb`.

    Returns:
        The parts of the figure.
    """
    slope = _slopes(lines)
    more_daemons = _DAEMONS - _MEASURED_DAEMONS
    parts = {
        'two daemons': _bases(lines)(f'workers/{role}/{figure}'),
        'more daemons': more_daemons * slope(f'daemons/{role}/{figure}'),
    }
    if role == 'leader':
        elsewhere = (_DOMAINS - 1) * (_WORKERS + _EXECUTORS)
        parts['list of other domains'] = elsewhere * slope(
            f'listed/leader/{figure}'
        )
        parts['workers'] = _WORKERS * slope(f'workers/leader/{figure}')
        parts['executors'] = _EXECUTORS * slope(f'executors/leader/{figure}')
        parts['running tasks'] = _RUNNING * slope(f'running/leader/{figure}')
    return parts


def start_cost(lines: _Lines, tasks: int) -> dict[str, float]:
    """Work out what the peak of task starts adds to a leader.

    Args:
        lines: as fitted by `bench.control`.
        tasks: tasks of each job.

    Returns:
        Processor time, and rates for the leader.
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
    added = {name: _STARTS * slope(f'{prefix}/{name}') for name in figures}
    # The tasks of that load end before their usage is known.
    added['first reports, bytes'] = _STARTS * slope(
        'first_reports/leader/workers_bytes'
    )
    return added


def apply_cost(lines: _Lines) -> dict[str, float]:
    """Work out what the configuration changes of a day cost on average.

    Args:
        lines: as fitted by `bench.control`.

    Returns:
        Slopes per apply, and the mean rate of bytes at the daemon it is sent
        to, for two daemons and 6 teams.
    """
    slope = _slopes(lines)
    prefix = 'applies/applying'
    octets = sum(
        slope(f'{prefix}/{flow}_bytes')
        for flow in ('store', 'peer_calls', 'callers')
    )
    return {
        'cpu ms per apply': 10 * slope(f'{prefix}/cpu_percent'),
        'bytes per apply': octets,
        'puts per apply': slope(f'{prefix}/store_put'),
        'mean bytes/s': _APPLIES * octets,
    }


def _print_parts(title: str, parts: dict[str, float], *, total: bool) -> None:
    sys.stdout.write(f'{title}\n')
    for name, amount in parts.items():
        sys.stdout.write(f'  {name:28} {amount:12.2f}\n')
    if total:
        sys.stdout.write(f'  {"sum":28} {sum(parts.values()):12.2f}\n')


def main() -> None:
    """Print the figures of the design size."""
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
            f'leader, added by {_STARTS:.1f} starts/s in jobs of {tasks}',
            start_cost(lines, tasks),
            total=False,
        )
    _print_parts('configuration changes', apply_cost(lines), total=False)


if __name__ == '__main__':
    main()
