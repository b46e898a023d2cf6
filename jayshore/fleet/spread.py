"""What workers list as active beside what the leader has placed there.

A worker may run what the leader does not expect, as when an order is carried
out late. Until its end is listed it counts like any other run there.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import eliot

from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import GroupId, format_task_id
from jayshore.resources import NOTHING, Resources, total


class ListedRun(NamedTuple):
    """A run that a worker lists as active.

    Attributes:
        task: its task.
        run: number of the run.
        expected: it is the run for which the leader holds resources there.
    """

    task: TaskEntry
    run: int
    expected: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnaccountedRuns:
    """What runs at a worker that the ledger does not count there.

    Attributes:
        resources: resources of these runs.
        group_runs: number of runs of each group that limits them.
        workspaces: resources of these runs by workspace.
    """

    resources: Resources = NOTHING
    group_runs: Mapping[GroupId, int] = dataclasses.field(default_factory=dict)
    workspaces: Mapping[str, Resources] = dataclasses.field(
        default_factory=dict
    )


def measure_unaccounted(
    worker_id: str, listed: Iterable[ListedRun], ledger: Ledger
) -> UnaccountedRuns:
    """Measure the listed runs that the ledger does not count.

    Args:
        worker_id: the worker.
        listed: the runs that it lists.
        ledger: resources in use.

    Returns:
        Their resources, groups and workspaces.
    """
    groups = [
        run.task.group
        for run in listed
        if not run.expected
        and not (run.task.worker == worker_id and ledger.holds(run.task))
    ]
    workspaces: dict[str, Resources] = {}
    for unaccounted in groups:
        name = unaccounted.job.job.workspace
        used = workspaces.get(name, NOTHING)
        workspaces[name] = used + unaccounted.spec.reserved
    return UnaccountedRuns(
        resources=total(group.spec.reserved for group in groups),
        group_runs=collections.Counter(
            group.group_id for group in groups if group.spec.max_per_worker
        ),
        workspaces=workspaces,
    )


class SpreadMonitor:
    """Logs groups with more runs at a worker than they allow."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Create a monitor.

        Args:
            metrics: counts the findings.
        """
        self._metrics = metrics
        self._logged: dict[str, set[GroupId]] = {}

    def check(self, worker_id: str, listed: Iterable[ListedRun]) -> None:
        """Log each group beyond its limit once for as long as it stays so.

        Args:
            worker_id: the worker.
            listed: the runs that it lists.
        """
        by_group: dict[GroupId, list[ListedRun]] = collections.defaultdict(list)
        for run in listed:
            if run.task.group.spec.max_per_worker:
                by_group[run.task.group.group_id].append(run)
        beyond = {
            group_id: runs
            for group_id, runs in by_group.items()
            if len(runs) > runs[0].task.group.spec.max_per_worker
        }
        logged = self._logged.pop(worker_id, set())
        for group_id in beyond.keys() - logged:
            self._log(worker_id, beyond[group_id])
        if beyond:
            self._logged[worker_id] = set(beyond)

    def _log(self, worker_id: str, runs: list[ListedRun]) -> None:
        group = runs[0].task.group
        self._metrics.count_over_limit()
        eliot.log_message(
            'worker:over_limit',
            worker=worker_id,
            job=group.job.job.job_id,
            limit=group.spec.max_per_worker,
            runs=[
                (format_task_id(run.task.task_id), run.run, run.expected)
                for run in runs
            ],
        )
