"""Measures the control cost of each daemon and fits lines over cluster sizes.

Run with `python -m bench.control`. Each dimension varies one size and keeps the
others; clusters are started one after another. Other programs on the machine
disturb a run, so make several; `--summarize` prints the medians of their lines.
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

from bench.loads import LoadPlan, apply_at_rate, run_job_load, start_services
from bench.slopes import fit_line
from bench.usage import Usage, measure_usage
from demo.cluster import Cluster, ClusterShape
from jayshore.daemon.settings import Timing

_SETTLE_S = 2
_MS_PER_S = 1000
_DEFAULT_TEAMS = 6
_ROLES = ('leader', 'standby')
_APPLY_ROLES = ('applying', 'other')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Point:
    """One measurement.

    Attributes:
        dimension: name of the varied size.
        size: its value, in the unit of the dimension.
        daemons: usage by daemon.
        done: counts and rates of the load, by name.
    """

    dimension: str
    size: float
    daemons: dict[str, Usage]
    done: dict[str, float]


def team_entries(count: int) -> list[dict[str, Any]]:
    """Build teams with limits that no load of this program reaches.

    Args:
        count: number of teams.

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


class ControlBenchmark:
    """One run over the chosen dimensions."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        """Prepare a run without starting a cluster.

        Args:
            options: options of the command line.
        """
        self._options = options
        self._rng = random.Random(options.seed)  # noqa: S311

    def run(self) -> Iterator[Point]:
        """Measure the dimensions of `--only`, by default all.

        Yields:
            Each point when it is measured.
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
        for count in (1, 2, 3, 4):
            shape = ClusterShape(
                domains=('north', 'south'),
                daemons=count,
                workers=2,
                executors=1,
            )
            yield from self._measure_new_cluster('daemons', 2 * count, shape)

    def _workers(self) -> Iterator[Point]:
        for workers in (2, 12, 30):
            yield from self._measure_new_cluster(
                'workers', workers, _one_domain(workers, 1)
            )

    def _executors(self) -> Iterator[Point]:
        for executors in (1, 8, 20):
            shape = _one_domain(2, executors)
            yield from self._measure_new_cluster('executors', executors, shape)

    def _listed(self) -> Iterator[Point]:
        """Vary the number of instances of other domains on the list."""
        with self._cluster(_one_domain(2, 1), _DEFAULT_TEAMS) as cluster:
            original = cluster.store.call('GET', '/v1/instances').content
            for count in (0, 150, 450):
                others = [
                    _other_domain_worker(number) for number in range(count)
                ]
                instances = [*original['instances'], *others]
                cluster.store.call(
                    'PUT', '/admin/instances', {'instances': instances}
                )
                yield self._measure_point('listed', count, cluster)

    def _teams(self) -> Iterator[Point]:
        for teams in (_DEFAULT_TEAMS, 70, 280):
            with self._cluster(_one_domain(2, 1), teams) as cluster:
                yield self._measure_point('teams', teams, cluster)
                applies = self._options.seconds
                done = apply_at_rate(cluster, applies, per_s=1)
                yield Point(
                    dimension='teams_with_applies',
                    size=teams,
                    daemons=done.usage,
                    done=done.counts,
                )

    def _running(self) -> Iterator[Point]:
        """Vary the number of running tasks; measure first reports separately.

        A task is reported once, by the first renewal that ends after its usage
        is known. A window with that report would count a cost of starting the
        task as a cost of running it.
        """
        window = self._renewal_s + _SETTLE_S
        with self._cluster(_one_domain(8, 1), _DEFAULT_TEAMS) as cluster:
            running = 0
            for target in (0, 150, 400):
                started = target - running
                start_services(cluster, started)
                running = target
                yield Point(
                    dimension='first_reports',
                    size=started / window,
                    daemons=measure_usage(cluster, window),
                    done={},
                )
                yield self._measure_point('running', target, cluster)

    def _starts(self) -> Iterator[Point]:
        with self._cluster(_one_domain(8, 1), _DEFAULT_TEAMS) as cluster:
            for tasks in (1, 10):
                yield from self._starts_with_job_size(tasks, cluster)

    def _applies(self) -> Iterator[Point]:
        with self._cluster(_one_domain(8, 1), _DEFAULT_TEAMS) as cluster:
            for per_s in (0.5, 1, 2):
                done = apply_at_rate(cluster, self._options.seconds, per_s)
                yield Point(
                    dimension='applies',
                    size=done.counts['applies_per_s'],
                    daemons=done.usage,
                    done=done.counts,
                )

    def _starts_with_job_size(
        self, tasks: int, cluster: Cluster
    ) -> Iterator[Point]:
        for starts_per_s in (0, 5, 10, 20):
            plan = LoadPlan(
                jobs_per_s=starts_per_s / tasks,
                tasks=tasks,
                run_ms=500,
                seconds=self._options.seconds,
                seed=self._rng.randrange(10**6),
            )
            # Lets the tasks of the previous point end.
            time.sleep(_SETTLE_S)
            done = run_job_load(cluster, plan)
            yield Point(
                dimension=f'starts_in_jobs_of_{tasks}',
                size=done.counts['starts_per_s'],
                daemons=done.usage,
                done=done.counts,
            )

    def _measure_new_cluster(
        self, dimension: str, size: int, shape: ClusterShape
    ) -> Iterator[Point]:
        with self._cluster(shape, _DEFAULT_TEAMS) as cluster:
            yield self._measure_point(dimension, size, cluster)

    def _cluster(self, shape: ClusterShape, teams: int) -> Cluster:
        timing = json.loads(self._options.timing)
        return Cluster(
            shape=dataclasses.replace(shape, timing=timing),
            teams=team_entries(teams),
        )

    def _measure_point(
        self, dimension: str, size: int, cluster: Cluster
    ) -> Point:
        time.sleep(_SETTLE_S)
        usage = measure_usage(cluster, self._options.seconds)
        return Point(dimension=dimension, size=size, daemons=usage, done={})


def fit_lines(points: list[Point]) -> dict[str, dict[str, float]]:
    """Fit a line for each dimension, role and figure.

    Args:
        points: points of one run.

    Returns:
        `base`, `slope` and `residual` by `dimension/role/figure`.
    """
    lines: dict[str, dict[str, float]] = {}
    for dimension in dict.fromkeys(point.dimension for point in points):
        of_dimension = [
            point for point in points if point.dimension == dimension
        ]
        for role in _roles(dimension):
            by_size = {
                point.size: _mean_figures(point, role)
                for point in of_dimension
                if _usages_in_role(point, role)
            }
            for figure in by_size[max(by_size)]:
                line = fit_line(
                    list(by_size),
                    [figures.get(figure, 0) for figures in by_size.values()],
                )
                key = f'{dimension}/{role}/{figure}'
                lines[key] = dataclasses.asdict(line)
    return lines


def _other_domain_worker(number: int) -> dict[str, Any]:
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
    """Return the roles; all applies go to one daemon, leader or not."""
    return _APPLY_ROLES if 'applies' in dimension else _ROLES


def _usages_in_role(point: Point, role: str) -> list[Usage]:
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
    samples = [usage.figures() for usage in _usages_in_role(point, role)]
    names = sorted({name for figures in samples for name in figures})
    return {
        name: statistics.mean(figures.get(name, 0) for figures in samples)
        for name in names
    }


def print_lines(lines: Mapping[str, Mapping[str, float]]) -> None:
    """Print the fitted lines.

    Args:
        lines: lines as returned by `fit_lines`.
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
        paths: result files of this program.

    Returns:
        The median lines, in the form of `fit_lines`.
    """
    runs = [fit_lines(_load_points(path)) for path in paths]
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
    document = json.loads(pathlib.Path(path).read_text())
    return msgspec.convert(document['points'], list[Point])


def _print_point(point: Point) -> None:
    sys.stdout.write(f'{point.dimension} {point.size:g} {point.done or ""}\n')
    for role in _roles(point.dimension):
        figures = _mean_figures(point, role)
        texts = [f'{name} {figure:.2f}' for name, figure in figures.items()]
        sys.stdout.write(f'  {role}: {", ".join(texts)}\n')
    sys.stdout.flush()


def main() -> None:
    """Measure and write the result file, or summarize earlier ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--timing', default='{}', help='timing settings of the daemons, JSON'
    )
    parser.add_argument('--only', nargs='*', default=[])
    parser.add_argument('--summarize', nargs='*', default=[])
    parser.add_argument('--output', default='out/control.json')
    options = parser.parse_args()
    if options.summarize:
        print_lines(summarize(options.summarize))
        return
    points = []
    for measured in ControlBenchmark(options=options).run():
        points.append(measured)
        _print_point(measured)
    lines = fit_lines(points)
    print_lines(lines)
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    encoded_points = [dataclasses.asdict(point) for point in points]
    path.write_text(
        json.dumps({'points': encoded_points, 'lines': lines}, indent=1)
    )


if __name__ == '__main__':
    main()
