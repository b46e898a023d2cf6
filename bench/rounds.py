"""Measures the processor time of placement rounds of the leader.

`python -m bench.rounds` prints a table and writes `out/rounds.json`. Each row
is a state of the leader; `first` is the first round over it, as after a change
of leader, the others follow after a few changes each.
"""

import argparse
import dataclasses
import gc
import itertools
import json
import pathlib
import statistics
import sys
import time

from bench.backlog import NOW, Backlog, Load
from bench.results import write_result
from jayshore.clock import Millis

_TARGET_MS = 20
_CHANGES = 20
"""Jobs that arrive between two rounds."""

_STEP_MS = 45
"""Time between two rounds, in ms."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoundCost:
    """Processor time of rounds over one state, in ms.

    Attributes:
        load: size of the state.
        first: the first round, or a longer step of indexing before it.
        median: median of the later rounds.
        worst: longest of the later rounds.
        placed: placements of the first round.
        asked: requests for advice of the first round.
    """

    load: Load
    first: float
    median: float
    worst: float
    placed: int
    asked: int


def main() -> None:
    """Measure all states and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, nargs='*', default=[87, 350])
    parser.add_argument(
        '--groups', type=int, nargs='*', default=[100, 1600, 5000]
    )
    parser.add_argument('--used', type=float, nargs='*', default=[0, 0.7, 0.97])
    parser.add_argument('--rounds', type=int, default=15)
    options = parser.parse_args()
    costs = []
    for shape in itertools.product(
        options.workers,
        options.groups,
        ('none', 'unknown', 'known'),
        options.used,
    ):
        workers, groups, advice, used = shape
        load = Load(workers=workers, groups=groups, advice=advice, used=used)
        cost = measure(load, options.rounds)
        costs.append(cost)
        sys.stdout.write(f'{_format(cost)}\n')
        sys.stdout.flush()
    write_result(
        pathlib.Path('out/rounds.json'),
        {
            'target_ms': _TARGET_MS,
            'costs': [dataclasses.asdict(cost) for cost in costs],
        },
    )
    worst = max(max(cost.first, cost.worst) for cost in costs)
    print(json.dumps({'target_ms': _TARGET_MS, 'worst_ms': round(worst, 1)}))


def measure(load: Load, rounds: int) -> RoundCost:
    """Measure rounds over one state.

    Args:
        load: size of the state.
        rounds: number of later rounds.

    Returns:
        The processor time.
    """
    backlog = Backlog(load)
    first = float()
    # A collection in the middle of a round says nothing about the round.
    gc.collect()
    gc.freeze()
    started = time.process_time()
    while not backlog.update_index():
        first = max(first, _since_ms(started))
        started = time.process_time()
    decisions = backlog.decide()
    first = max(first, _since_ms(started))
    later = []
    for number in range(1, rounds + 1):
        for _ in range(_CHANGES):
            backlog.add_waiting()
        started = time.process_time()
        backlog.decide(Millis(NOW + number * _STEP_MS))
        later.append(_since_ms(started))
    gc.unfreeze()
    return RoundCost(
        load=load,
        first=first,
        median=statistics.median(later),
        worst=max(later),
        placed=len(decisions.placements),
        asked=len(decisions.advice_requests),
    )


def _since_ms(started: float) -> float:
    return 1000 * (time.process_time() - started)


def _format(cost: RoundCost) -> str:
    load = cost.load
    return (
        f'{load.workers:4} workers {load.groups:5} groups '
        f'advice {load.advice:8} used {load.used:4}: '
        f'first {cost.first:7.1f}  median {cost.median:7.1f}  '
        f'worst {cost.worst:7.1f} ms  '
        f'placed {cost.placed:4} asked {cost.asked:4}'
    )


if __name__ == '__main__':
    main()
