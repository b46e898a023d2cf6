"""Measures what control costs each daemon, and fits slopes.

Run with `python -m bench.control`. Clusters of several sizes are started one
after the other; in each, one size is varied and the others are kept. Other
programs may use the machine, so several runs are made and `--summarize` takes
the medians of their slopes.
"""

import argparse
import dataclasses
import json
import pathlib
import random
import statistics
import sys
import time
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from bench.loads import LoadPlan, apply_steadily, run_load, start_services
from bench.slopes import fit
from bench.usage import Usage, watch
from demo.cluster import Cluster, ClusterShape
from jayshore.daemon.settings import Timing

_SETTLE_S = 2
_MS_PER_S = 1000
_FEW_TEAMS = 6
_ROLES = ('leader', 'standby')
_APPLY_ROLES = ('applying', 'other')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Point:
    """One measurement.

    Attributes:
        dimension: which size was varied.
        size: the size; what it counts depends on the dimension.
        daemons: usage by daemon.
        done: what the load did, by name.
    """

    dimension: str
    size: float
    daemons: dict[str, Usage]
    done: dict[str, float]


def team_entries(count: int) -> list[dict[str, Any]]:
    """Make teams with limits that no load of this program reaches.

    Args:
        count: how many.

    Returns:
        Content of `teams.json`.
    """
    return [
        {
            'name': f'team{number}',
            'share': 1,
            'limit': {
                'cpu_millis': 1_000_000,
                'memory_mb': 1_000_000,
                'requests': 100,
            },
            'max_waiting': 1000,
        }
        for number in range(count)
    ]


class Bench:
    """One run over all dimensions."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        """Prepare a run.

        Args:
            options: of the command line.
        """
        self._options = options
        self._source = random.Random(options.seed)  # noqa: S311

    def run(self) -> Iterator[Point]:
        """Measure all dimensions.

        Yields:
            The points as they are measured.
        """
        dimensions = {
            'daemons': self._daemons,
            'workers': self._workers,
            'executors': self._executors,
            'listed': self._listed,
            'teams': self._teams,
            'running': self._running,
            'starts': self._starts,
            'applies': self._applies,
        }
        for name, measured in dimensions.items():
            if not self._options.only or name in self._options.only:
                yield from measured()

    @property
    def _renewal_s(self) -> float:
        """Longest wait of a renewal, in s."""
        timing = msgspec.convert(json.loads(self._options.timing), Timing)
        return timing.renew_wait_ms / _MS_PER_S

    def _daemons(self) -> Iterator[Point]:
        for each in (1, 2, 3, 4):
            shape = ClusterShape(
                domains=('north', 'south'), daemons=each, workers=2, executors=1
            )
            yield from self._idle('daemons', 2 * each, shape)

    def _workers(self) -> Iterator[Point]:
        for workers in (2, 12, 30):
            yield from self._idle('workers', workers, _one_domain(workers, 1))

    def _executors(self) -> Iterator[Point]:
        for executors in (1, 8, 20):
            shape = _one_domain(2, executors)
            yield from self._idle('executors', executors, shape)

    def _listed(self) -> Iterator[Point]:
        """Vary the instances of other domains on the platform's list."""
        with self._cluster(_one_domain(2, 1), _FEW_TEAMS) as cluster:
            own = cluster.store.call('GET', '/v1/instances').content
            for count in (0, 150, 450):
                others = [_elsewhere(number) for number in range(count)]
                instances = [*own['instances'], *others]
                cluster.store.call(
                    'PUT', '/admin/instances', {'instances': instances}
                )
                yield self._point('listed', count, cluster)

    def _teams(self) -> Iterator[Point]:
        for teams in (_FEW_TEAMS, 70, 280):
            with self._cluster(_one_domain(2, 1), teams) as cluster:
                yield self._point('teams', teams, cluster)
                applies = self._options.seconds
                done = apply_steadily(cluster, applies, per_s=1)
                yield Point(
                    dimension='teams_with_applies',
                    size=teams,
                    daemons=done.usage,
                    done=done.counts,
                )

    def _running(self) -> Iterator[Point]:
        """Vary the running tasks, and measure their first reports apart.

        A task is reported once, by the first renewal that ends after its usage
        is known. A window in which that falls would count the cost of a start
        as one of a running task.
        """
        window = self._renewal_s + _SETTLE_S
        with self._cluster(_one_domain(8, 1), _FEW_TEAMS) as cluster:
            running = 0
            for wanted in (0, 150, 400):
                started = wanted - running
                start_services(cluster, started)
                running = wanted
                yield Point(
                    dimension='first_reports',
                    size=started / window,
                    daemons=watch(cluster, window),
                    done={},
                )
                yield self._point('running', wanted, cluster)

    def _starts(self) -> Iterator[Point]:
        with self._cluster(_one_domain(8, 1), _FEW_TEAMS) as cluster:
            for tasks in (1, 10):
                yield from self._starts_in_jobs_of(tasks, cluster)

    def _applies(self) -> Iterator[Point]:
        with self._cluster(_one_domain(8, 1), _FEW_TEAMS) as cluster:
            for per_s in (0.5, 1, 2):
                done = apply_steadily(cluster, self._options.seconds, per_s)
                yield Point(
                    dimension='applies',
                    size=done.counts['applies_per_s'],
                    daemons=done.usage,
                    done=done.counts,
                )

    def _starts_in_jobs_of(
        self, tasks: int, cluster: Cluster
    ) -> Iterator[Point]:
        for starts_per_s in (0, 5, 10, 20):
            plan = LoadPlan(
                jobs_per_s=starts_per_s / tasks,
                tasks=tasks,
                run_ms=500,
                seconds=self._options.seconds,
                seed=self._source.randrange(10**6),
            )
            # The tasks of the point before end first.
            time.sleep(_SETTLE_S)
            done = run_load(cluster, plan)
            yield Point(
                dimension=f'starts_in_jobs_of_{tasks}',
                size=done.counts['starts_per_s'],
                daemons=done.usage,
                done=done.counts,
            )

    def _idle(
        self, dimension: str, size: int, shape: ClusterShape
    ) -> Iterator[Point]:
        with self._cluster(shape, _FEW_TEAMS) as cluster:
            yield self._point(dimension, size, cluster)

    def _cluster(self, shape: ClusterShape, teams: int) -> Cluster:
        timing = json.loads(self._options.timing)
        return Cluster(
            shape=dataclasses.replace(shape, timing=timing),
            teams=team_entries(teams),
        )

    def _point(self, dimension: str, size: int, cluster: Cluster) -> Point:
        time.sleep(_SETTLE_S)
        usage = watch(cluster, self._options.seconds)
        return Point(dimension=dimension, size=size, daemons=usage, done={})


def slopes_of(points: list[Point]) -> dict[str, dict[str, float]]:
    """Fit a line for each dimension, role and figure.

    Args:
        points: of one run.

    Returns:
        `base`, `slope` and `residual` by `dimension/role/figure`.
    """
    lines: dict[str, dict[str, float]] = {}
    for dimension in dict.fromkeys(point.dimension for point in points):
        same = [point for point in points if point.dimension == dimension]
        for role in _roles(dimension):
            found = {
                point.size: _mean_figures(point, role)
                for point in same
                if _daemons_in(point, role)
            }
            for figure in found[max(found)]:
                line = fit(
                    list(found),
                    [each.get(figure, 0) for each in found.values()],
                )
                key = f'{dimension}/{role}/{figure}'
                lines[key] = dataclasses.asdict(line)
    return lines


def _elsewhere(number: int) -> dict[str, Any]:
    return {
        'id': f'other-w{number}',
        'kind': 'worker',
        'address': f'10.0.{number // 250}.{number % 250}:7000',
        'domain': 'other',
        'rack': f'other-rack{number % 20}',
        'state': 'live',
        'service': None,
    }


def _one_domain(workers: int, executors: int) -> ClusterShape:
    return ClusterShape(
        domains=('north',), daemons=2, workers=workers, executors=executors
    )


def _roles(dimension: str) -> tuple[str, ...]:
    """Tell roles apart: one daemon takes all applies, leader or not."""
    return _APPLY_ROLES if 'applies' in dimension else _ROLES


def _daemons_in(point: Point, role: str) -> list[Usage]:
    if role in _ROLES:
        return [
            usage
            for usage in point.daemons.values()
            if usage.is_leader == (role == 'leader')
        ]
    first = next(iter(point.daemons))
    return [
        usage
        for name, usage in point.daemons.items()
        if (name == first) == (role == 'applying')
    ]


def _mean_figures(point: Point, role: str) -> dict[str, float]:
    own = [usage.figures() for usage in _daemons_in(point, role)]
    names = sorted({name for figures in own for name in figures})
    return {
        name: statistics.mean(figures.get(name, 0) for figures in own)
        for name in names
    }


def print_lines(lines: Mapping[str, Mapping[str, float]]) -> None:
    """Print the fitted lines.

    Args:
        lines: as made by `slopes_of`.
    """
    for key, line in lines.items():
        if not any(line.values()):
            continue
        sys.stdout.write(
            f'{key:52} {line["base"]:10.3f} + {line["slope"]:9.4f} per unit'
            f'  (residual {line["residual"]:.3f})\n'
        )


def summarize(paths: list[str]) -> dict[str, dict[str, float]]:
    """Take the medians of the lines of several runs.

    Args:
        paths: files written by this program.

    Returns:
        Lines, as made by `slopes_of`.
    """
    runs = [slopes_of(_load_points(path)) for path in paths]
    keys = dict.fromkeys(key for run in runs for key in run)
    return {
        key: {
            part: statistics.median(
                run[key][part] for run in runs if key in run
            )
            for part in ('base', 'slope', 'residual')
        }
        for key in keys
    }


def _load_points(path: str) -> list[Point]:
    written = json.loads(pathlib.Path(path).read_text())
    return msgspec.convert(written['points'], list[Point])


def _print_point(point: Point) -> None:
    sys.stdout.write(f'{point.dimension} {point.size:g} {point.done or ""}\n')
    for role in _roles(point.dimension):
        figures = _mean_figures(point, role)
        texts = [f'{name} {figure:.2f}' for name, figure in figures.items()]
        sys.stdout.write(f'  {role}: {", ".join(texts)}\n')
    sys.stdout.flush()


def main() -> None:
    """Measure and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--timing', default='{}', help='settings, JSON')
    parser.add_argument('--only', nargs='*', default=[])
    parser.add_argument('--summarize', nargs='*', default=[])
    parser.add_argument('--output', default='out/control.json')
    options = parser.parse_args()
    if options.summarize:
        print_lines(summarize(options.summarize))
        return
    points = []
    for measured in Bench(options=options).run():
        points.append(measured)
        _print_point(measured)
    lines = slopes_of(points)
    print_lines(lines)
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    plain = [dataclasses.asdict(point) for point in points]
    path.write_text(json.dumps({'points': plain, 'lines': lines}, indent=1))


if __name__ == '__main__':
    main()
