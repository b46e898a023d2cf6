"""Helpers of the failure tests: small clusters, jobs and final checks."""

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
"""Design page, 1.2: work of a killed instance has an owner within this time."""

COMPLETION_LIMIT_S = 20
"""Allows for the longest task of a test (4 s) twice and a takeover (10 s)."""

NS_PER_MS = 1_000_000

_TASK_CPU = 8000


def small_cluster(**fields: Any) -> Cluster:
    """Configure a cluster of one domain that runs 12 batch tasks at a time.

    Four tasks of `job` fill a worker, but the urgent reserve leaves room for
    only three batch tasks; the fourth place serves previews and urgent work.

    Args:
        **fields: fields of `ClusterShape` to override.

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
    """Build a job submission; a worker has room for 4 of its tasks.

    Args:
        tasks: number of tasks.
        run_ms: run time of each task, in ms.
        idempotent: whether a task may run more than once.
        queue: name of the queue.
        **fields: further fields of the submission.

    Returns:
        The request body.
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
    """Submits jobs and checks their outcomes at the end of a test."""

    def __init__(self, cluster: Cluster) -> None:
        """Create a tracker without jobs.

        Args:
            cluster: the cluster that runs the jobs.
        """
        self.cluster = cluster
        self.accepted: dict[str, Answer] = {}
        self.unknown_outcome: set[str] = set()
        self._bodies: dict[str, dict[str, Any]] = {}

    def submit(self, body: dict[str, Any], through: str | None = None) -> str:
        """Submit a job and assert that it is accepted.

        Args:
            body: the request body.
            through: name of the daemon to call, by default the first one.

        Returns:
            The job id.
        """
        answer = self.try_submit(body, through)
        assert answer.status == 202, answer.body
        return str(answer.content['job_id'])

    def try_submit(
        self, body: dict[str, Any], through: str | None = None
    ) -> Answer:
        """Submit a job that may be refused or whose outcome may be unknown.

        Args:
            body: the request body.
            through: name of the daemon to call, by default the first one.

        Returns:
            The daemon's answer.
        """
        answer = self.cluster.submit(TEAM, body, through=through)
        if answer.status == 202:
            self.track(answer, body)
        elif answer.content['outcome'] == 'unknown':
            self.unknown_outcome.add(answer.content['job_id'])
            self._bodies[answer.content['job_id']] = body
        return answer

    def track(self, answer: Answer, body: dict[str, Any]) -> None:
        """Include a job in the checks that was submitted elsewhere.

        Args:
            answer: the answer that accepted the job.
            body: the request body.
        """
        self.accepted[answer.content['job_id']] = answer
        self._bodies[answer.content['job_id']] = body

    def wait_all(
        self, limit_s: float = COMPLETION_LIMIT_S, through: str | None = None
    ) -> dict[str, dict[str, Any]]:
        """Wait until all accepted jobs are final.

        Args:
            limit_s: longest wait for all jobs together, in seconds.
            through: name of the daemon to ask, by default any that answers.

        Returns:
            The final view of each job, by job id.
        """
        deadline = time.monotonic() + limit_s
        views = {}
        for job_id, answer in self.accepted.items():
            left = max(1, deadline - time.monotonic())
            views[job_id] = self.cluster.wait_job(answer, left, through=through)
            assert views[job_id].get('is_final'), (job_id, views[job_id])
        return views

    def check(self, views: dict[str, dict[str, Any]]) -> list[Run]:
        """Compare the workers' histories with the answers to callers.

        No other job than those accepted or unknown is recorded or runs, no
        guarantee of `check_all` is violated, no task of a non-idempotent job
        starts twice, and as many tasks finished as callers were told.

        Args:
            views: final view of each job, by job id.

        Returns:
            All task runs.
        """
        known = {*self.accepted, *self.unknown_outcome}
        unexpected = _recorded_jobs(self.cluster) - known
        assert not unexpected, f'refused jobs in the store: {unexpected}'
        runs = task_runs(self.cluster)
        non_idempotent = {
            job_id
            for job_id, body in self._bodies.items()
            if not body['idempotent']
        }
        violations = [
            *check_all(self.cluster),
            *check_started_once(runs, non_idempotent),
            *check_not_run(runs, known),
        ]
        assert not violations, '\n'.join(map(str, violations))
        for job_id, view in views.items():
            reported = view['tasks'].count('finished')
            assert len(finished_runs(runs, job_id)) == reported, view
        # The daemons write unhandled exceptions to standard error.
        errors = self.cluster.read_errors()
        assert 'Traceback' not in errors, errors
        return runs


def wait_all_finished(
    jobs: JobTracker, through: str | None = None
) -> list[Run]:
    """Assert that every job finishes, then run all checks.

    Args:
        jobs: the submitted jobs.
        through: name of the daemon to ask, by default any that answers.

    Returns:
        All task runs.
    """
    views = jobs.wait_all(through=through)
    states = {view['state'] for view in views.values()}
    assert states == {'finished'}, views
    return jobs.check(views)


def set_faults(process: Process, **faults: Any) -> None:
    """Set fault switches of a stand-in.

    Args:
        process: the stand-in.
        **faults: switches as listed in `docs/standins.md`.
    """
    answer = process.call('POST', '/admin/faults', faults)
    assert answer.status == 200, answer.body


def wait_runs(cluster: Cluster, count: int, limit_s: float) -> list[Run]:
    """Wait until the workers have started a number of tasks in total.

    Args:
        cluster: the cluster.
        count: number of starts to wait for.
        limit_s: longest wait, in seconds.

    Returns:
        All task runs.
    """
    wait_until(
        lambda: len(task_runs(cluster)) >= count, limit_s, f'{count} starts'
    )
    return task_runs(cluster)


def wait_ended(cluster: Cluster, job_id: str, limit_s: float) -> None:
    """Wait until every run that workers started for a job has ended.

    Args:
        cluster: the cluster.
        job_id: the job.
        limit_s: longest wait, in seconds.
    """

    def is_over() -> bool:
        ends = [
            run.outcome for run in task_runs(cluster) if run.job_id == job_id
        ]
        return bool(ends) and None not in ends

    wait_until(is_over, limit_s, f'the end of {job_id}')


def wait_new_start(cluster: Cluster, holder: str, since: float) -> float:
    """Wait for the first task start under a worker lease of a new leader.

    Args:
        cluster: the cluster.
        holder: name of the new leader.
        since: start of the measured time, on the monotonic clock in seconds.

    Returns:
        Seconds from `since` to that start, by the worker's history.
    """

    def starts() -> list[float]:
        delays_s = []
        for worker in cluster.workers.values():
            history = worker.call('GET', '/admin/history').content
            own = {
                lease['lease_id']
                for lease in history['leases']
                if lease['holder'] == holder and lease['at_ms'] > since * 1000
            }
            delays_s += [
                task['start_ms'] / 1000 - since
                for task in history['tasks']
                if task['lease_id'] in own
            ]
        return delays_s

    wait_until(
        lambda: bool(starts()), TAKEOVER_LIMIT_S, 'a start by a new leader'
    )
    return min(starts())


def other_daemon(cluster: Cluster, leader: str) -> str:
    """Find another daemon in the domain of a leader.

    Args:
        cluster: a cluster with at least two daemons in the domain.
        leader: name of the leader.

    Returns:
        The name of the other daemon.
    """
    domain = cluster.domain_of[leader]
    return next(
        name
        for name in cluster.daemons
        if cluster.domain_of[name] == domain and name != leader
    )


def now_ms() -> float:
    """Read the monotonic clock that the stand-ins also use.

    Returns:
        Monotonic time of the machine, in ms.
    """
    return time.monotonic_ns() / NS_PER_MS


def _recorded_jobs(cluster: Cluster) -> set[str]:
    listing = cluster.store.call('GET', '/v1/list?prefix=jobs/').content
    return {entry['key'].removeprefix('jobs/') for entry in listing['entries']}
