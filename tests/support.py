"""What the failure tests share: small clusters, jobs, and the last check."""

import time
from typing import Any

from demo.cluster import Cluster, ClusterShape
from demo.history import (
    Run,
    check_all,
    check_not_run,
    check_started_once,
    finished_runs,
    task_runs,
)
from demo.processes import Answer, Process, wait_until

TEAM = 'riverbend'
TAKEOVER_LIMIT_S = 10
"""Design page, 1.2: work of a killed instance has an owner again by then."""

COMPLETION_LIMIT_S = 20
"""Longest run of the jobs of a test (4 s) twice, and a takeover (10 s)."""

NS_PER_MS = 1_000_000

_TASK_CPU = 8000


def small_cluster(**fields: Any) -> Cluster:
    """Plan a cluster of one domain that runs 12 tasks at a time.

    A fourth of each worker is kept for previews and urgent work.

    Args:
        **fields: of the shape that differ.

    Returns:
        The cluster, not yet started.
    """
    shape = {'domains': ('north',), 'workers': 4, 'executors': 0, **fields}
    team = {
        'name': TEAM,
        'share': 1,
        'limit': {
            'cpu_millis': 1_000_000,
            'memory_mb': 1_000_000,
            'requests': 30,
        },
        'max_waiting': 1000,
    }
    return Cluster(shape=ClusterShape(**shape), teams=[team])


def job(
    tasks: int,
    run_ms: int,
    *,
    idempotent: bool = False,
    queue: str = 'night',
    **fields: Any,
) -> dict[str, Any]:
    """Describe a job, of which 4 tasks fit on a worker.

    Args:
        tasks: number of tasks.
        run_ms: run time of each.
        idempotent: whether tasks may run again.
        queue: the queue.
        **fields: further fields of the call.

    Returns:
        Body of the call.
    """
    return {
        'queue': queue,
        'tasks': tasks,
        'demand': {'cpu_millis': _TASK_CPU, 'memory_mb': 1024},
        'payload': {'run_ms': run_ms, 'output': 'done'},
        'idempotent': idempotent,
        **fields,
    }


class JobTracker:
    """Submits jobs and checks in the end what became of them."""

    def __init__(self, cluster: Cluster) -> None:
        """Start without jobs.

        Args:
            cluster: where they run.
        """
        self.cluster = cluster
        self.accepted: dict[str, Answer] = {}
        self.unknown_outcome: set[str] = set()
        self._bodies: dict[str, dict[str, Any]] = {}

    def submit(self, body: dict[str, Any], through: str | None = None) -> str:
        """Submit a job that has to be accepted.

        Args:
            body: of the call.
            through: name of a daemon.

        Returns:
            The job id.
        """
        answer = self.try_submit(body, through)
        assert answer.status == 202, answer.body
        return str(answer.content['job_id'])

    def try_submit(
        self, body: dict[str, Any], through: str | None = None
    ) -> Answer:
        """Submit a job that may be refused.

        Args:
            body: of the call.
            through: name of a daemon.

        Returns:
            The answer.
        """
        answer = self.cluster.submit(TEAM, body, through=through)
        if answer.status == 202:
            self.track(answer, body)
        elif answer.content['outcome'] == 'unknown':
            self.unknown_outcome.add(answer.content['job_id'])
            self._bodies[answer.content['job_id']] = body
        return answer

    def track(self, answer: Answer, body: dict[str, Any]) -> None:
        """Check a job that was submitted in another way, too.

        Args:
            answer: to its submission, which was accepted.
            body: of the call.
        """
        self.accepted[answer.content['job_id']] = answer
        self._bodies[answer.content['job_id']] = body

    def wait_all(
        self, limit_s: float = COMPLETION_LIMIT_S, through: str | None = None
    ) -> dict[str, dict[str, Any]]:
        """Wait for the end of all accepted jobs.

        Args:
            limit_s: bound for all of them together, in seconds.
            through: name of a daemon.

        Returns:
            The jobs by id.
        """
        deadline = time.monotonic() + limit_s
        views = {}
        for job_id, answer in self.accepted.items():
            left = max(1, deadline - time.monotonic())
            views[job_id] = self.cluster.wait_job(answer, left, through=through)
            assert views[job_id].get('is_final'), (job_id, views[job_id])
        return views

    def check(self, views: dict[str, dict[str, Any]]) -> list[Run]:
        """Compare what the workers did with what was promised and told.

        Args:
            shown: the jobs as callers see them in the end.

        Returns:
            All runs.
        """
        known = {*self.accepted, *self.unknown_outcome}
        unexpected = _recorded_jobs(self.cluster) - known
        assert not unexpected, f'recorded though refused: {unexpected}'
        runs = task_runs(self.cluster)
        non_idempotent = {
            job_id
            for job_id, body in self._bodies.items()
            if not body['idempotent']
        }
        found = [
            *check_all(self.cluster),
            *check_started_once(runs, non_idempotent),
            *check_not_run(runs, known),
        ]
        assert not found, '\n'.join(map(str, found))
        for job_id, view in views.items():
            reported = view['tasks'].count('finished')
            assert len(finished_runs(runs, job_id)) == reported, view
        # A task of a daemon that ends with an exception is logged there.
        errors = self.cluster.read_errors()
        assert 'Traceback' not in errors, errors
        return runs


def wait_all_finished(
    jobs: JobTracker, through: str | None = None
) -> list[Run]:
    """Wait until every job has finished, then check.

    Args:
        jobs: all of which have to succeed.
        through: name of a daemon.

    Returns:
        All runs.
    """
    views = jobs.wait_all(through=through)
    states = {view['state'] for view in views.values()}
    assert states == {'finished'}, views
    return jobs.check(views)


def set_faults(process: Process, **faults: Any) -> None:
    """Switch faults of a stand-in.

    Args:
        process: the stand-in.
        **faults: see `docs/standins.md`.
    """
    answer = process.call('POST', '/admin/faults', faults)
    assert answer.status == 200, answer.body


def wait_runs(cluster: Cluster, count: int, limit_s: float) -> list[Run]:
    """Wait until so many tasks have been started in total.

    Args:
        cluster: the cluster.
        wanted: number of starts.
        limit_s: bound in seconds.

    Returns:
        All runs.
    """
    wait_until(
        lambda: len(task_runs(cluster)) >= count, limit_s, f'{count} starts'
    )
    return task_runs(cluster)


def wait_ended(cluster: Cluster, job_id: str, limit_s: float) -> None:
    """Wait until the workers have ended all that they started of a job.

    Args:
        cluster: the cluster.
        job_id: the job.
        limit_s: bound in seconds.
    """

    def is_over() -> bool:
        ends = [
            run.outcome for run in task_runs(cluster) if run.job_id == job_id
        ]
        return bool(ends) and None not in ends

    wait_until(is_over, limit_s, f'the end of {job_id}')


def wait_new_start(cluster: Cluster, holder: str, since: float) -> float:
    """Wait for the first start under a lease of a new leader.

    Args:
        cluster: the cluster.
        holder: name of the new leader; empty for any but the former one.
        since: monotonic time from which the bound counts, in seconds.

    Returns:
        Seconds from then to that start, by the worker's record.
    """

    def starts() -> list[float]:
        found = []
        for worker in cluster.workers.values():
            history = worker.call('GET', '/admin/history').content
            own = {
                lease['lease_id']
                for lease in history['leases']
                if lease['holder'] == holder and lease['at_ms'] > since * 1000
            }
            found += [
                task['start_ms'] / 1000 - since
                for task in history['tasks']
                if task['lease_id'] in own
            ]
        return found

    wait_until(
        lambda: bool(starts()), TAKEOVER_LIMIT_S, 'a start by a new leader'
    )
    return min(starts())


def other_daemon(cluster: Cluster, leader: str) -> str:
    """Name the second daemon of a domain.

    Args:
        cluster: with two daemons in each domain.
        leader: the first one.

    Returns:
        The name.
    """
    domain = cluster.domain_of[leader]
    return next(
        name
        for name in cluster.daemons
        if cluster.domain_of[name] == domain and name != leader
    )


def now_ms() -> float:
    """Read the clock that stand-ins use, too.

    Returns:
        Monotonic time of the machine, in ms.
    """
    return time.monotonic_ns() / NS_PER_MS


def _recorded_jobs(cluster: Cluster) -> set[str]:
    listing = cluster.store.call('GET', '/v1/list?prefix=jobs/').content
    return {entry['key'].removeprefix('jobs/') for entry in listing['entries']}
