"""Measures placement against the targets of the design page.

`python -m bench.placement` prints a table and writes `out/placement.json`, and
also `out/placement.png` if matplotlib is installed.
"""

import argparse
import dataclasses
import importlib
import json
import pathlib
import sys
import types

from bench.differential import run_scenarios
from bench.makespan import Makespan, measure_makespan
from bench.previews import PreviewWaits, measure_previews
from bench.shares import Closeness, measure_shares
from bench.speed import Speed, measure_speeds

_SCALES = (1, 2, 4)
_TARGET_PLACEMENTS_PER_S = 4_000
_TARGET_P99_US = 2_000
_TARGET_GROWTH_RATIO = 1.3
_TARGET_MEAN_ERROR = 0.02
_TARGET_WORST_ERROR = 0.05
_TARGET_PREVIEW_RATIO = 10
_TARGET_MAKESPAN_RATIO = 1.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One line of the table.

    Attributes:
        name: name of the figure.
        measured: the measured value.
        target: the target with its comparison, such as `<= 1.3`.
        met: whether the value meets the target.
    """

    name: str
    measured: float
    target: str
    met: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """All figures of a run.

    Attributes:
        seed: seed of all measurements.
        figures: lines of the table.
        speeds: placement speed at each scale.
        closeness: deviation from the shares of teams.
        previews: waiting times of previews by scheduler.
        makespan: makespan of nightly tasks.
    """

    seed: int
    figures: list[Figure]
    speeds: list[Speed]
    closeness: Closeness
    previews: list[PreviewWaits]
    makespan: Makespan


def main() -> None:
    """Run all measurements, write the results and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--placements', type=int, default=10_000)
    parser.add_argument('--rounds', type=int, default=10_000)
    parser.add_argument('--out', type=pathlib.Path, default='out')
    options = parser.parse_args()
    report = _measure(options.seed, options.placements, options.rounds)
    options.out.mkdir(parents=True, exist_ok=True)
    path = options.out / 'placement.json'
    path.write_text(json.dumps(dataclasses.asdict(report), indent=2))
    for figure in report.figures:
        verdict = 'met' if figure.met else 'MISSED'
        sys.stdout.write(
            f'{figure.name:48} {figure.measured:>12} '
            f'{figure.target:>14} {verdict}\n'
        )
    try:
        pyplot = importlib.import_module('matplotlib.pyplot')
    except ImportError:
        return
    _plot(pyplot, report, options.out / 'placement.png')


def _measure(seed: int, placements: int, rounds: int) -> Report:
    speeds = measure_speeds(scales=_SCALES, placements=placements, seed=seed)
    closeness = measure_shares(seed)
    previews = measure_previews(seed)
    makespan = measure_makespan(seed)
    return Report(
        seed=seed,
        figures=[
            *_speed_figures(speeds),
            _agreement_figure(seed, rounds),
            *_share_figures(closeness),
            _preview_figure(previews),
            *_makespan_figures(makespan),
        ],
        speeds=speeds,
        closeness=closeness,
        previews=previews,
        makespan=makespan,
    )


def _at_most(name: str, measured: float, target: float) -> Figure:
    return Figure(
        name=name,
        measured=round(measured, 4),
        target=f'<= {target:g}',
        met=measured <= target,
    )


def _at_least(name: str, measured: float, target: float) -> Figure:
    return Figure(
        name=name,
        measured=round(measured, 4),
        target=f'>= {target:g}',
        met=measured >= target,
    )


def _speed_figures(speeds: list[Speed]) -> list[Figure]:
    figures = [
        _at_least(
            'placements/s', speeds[0].placements_per_s, _TARGET_PLACEMENTS_PER_S
        ),
        _at_most('decision p99, us', speeds[0].p99_us, _TARGET_P99_US),
    ]
    for small, large in zip(speeds, speeds[1:], strict=False):
        step = f'x{small.scale} to x{large.scale}'
        for name in ('p50_us', 'mean_us', 'p99_us'):
            growth = getattr(large, name) / getattr(small, name)
            title = f'growth of decision {name}, {step}'
            figures.append(_at_most(title, growth, _TARGET_GROWTH_RATIO))
    return figures


def _agreement_figure(seed: int, rounds: int) -> Figure:
    tally, disagreement = run_scenarios(first_seed=seed, rounds=rounds)
    agreed = tally.rounds - (disagreement is not None)
    return _at_least('rounds that agree with the full scan', agreed, rounds)


def _share_figures(closeness: Closeness) -> list[Figure]:
    return [
        _at_most(
            'closeness to share, mean error',
            closeness.mean_error,
            _TARGET_MEAN_ERROR,
        ),
        _at_most(
            'closeness to share, worst error',
            closeness.worst_error,
            _TARGET_WORST_ERROR,
        ),
    ]


def _preview_figure(previews: list[PreviewWaits]) -> Figure:
    cell, baseline = previews
    ratio = baseline.p99_ms / max(1, cell.p99_ms)
    return _at_least(
        'preview wait p99, baseline / cell (at least 1 ms)',
        ratio,
        _TARGET_PREVIEW_RATIO,
    )


def _makespan_figures(makespan: Makespan) -> list[Figure]:
    bounds = (
        ('lower bound', makespan.bound_s),
        ('lower bound without lane', makespan.bound_without_lane_s),
    )
    return [
        _at_most(
            f'makespan / {name}',
            makespan.cell_s / bound,
            _TARGET_MAKESPAN_RATIO,
        )
        for name, bound in bounds
    ] + [
        Figure(
            name='makespan / first fit',
            measured=round(makespan.cell_s / makespan.first_fit_s, 4),
            target='< 1',
            met=makespan.cell_s < makespan.first_fit_s,
        )
    ]


def _plot(pyplot: types.ModuleType, report: Report, path: pathlib.Path) -> None:
    pyplot.switch_backend('Agg')
    figure, axes = pyplot.subplots()
    scales = [speed.scale for speed in report.speeds]
    for name in ('p50_us', 'p99_us'):
        values = [getattr(speed, name) for speed in report.speeds]
        axes.plot(scales, values, marker='o', label=name)
    axes.set_xlabel('multiple of 460 workers and 5,000 waiting tasks')
    axes.set_ylabel('time of one decision, us')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)


if __name__ == '__main__':
    main()
