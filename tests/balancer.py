"""A load balancer in front of the daemons, with load and checks of replies."""

import contextlib
import itertools
import json
import threading
from collections.abc import Iterator
from typing import Any

from demo.cluster import Cluster
from demo.history import check_all, finished_runs, task_runs
from demo.processes import Process, wait_until
from tests.guarantee_support import (
    BackgroundCalls,
    Reply,
    print_figure,
    send_request,
    try_call,
)

POLL_S = 0.2
JOBS_LIMIT_S = 30

# Longer than the 1 s (`unready_ms`) for which a stopping daemon keeps serving
# while it reports that it is not ready.
LONG_REQUEST_MS = 1500

# `check_replies` requires more replies than this; the load continues until they
# have arrived, since a slow machine takes longer.
MIN_REPLIES = 500
REPLIES_LIMIT_S = 30

# The daemons' setting `drain_ms`, in seconds.
DRAIN_S = 15


class LoadBalancer:
    """Sends calls in turn to the daemons that were ready at the last poll."""

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self._ready = list(cluster.daemons)
        self._request_counter = itertools.count()
        self._lock = threading.Lock()

    def poll_readiness(self) -> Reply:
        """Poll `/readyz` of all daemons; a silent daemon is not ready."""
        ready = []
        for name, daemon in list(self._cluster.daemons.items()):
            reply = try_call(daemon, 'GET', '/readyz', timeout_s=1)
            if reply.status == 200:
                ready.append(name)
        with self._lock:
            self._ready = ready
        return reply

    def is_ready(self, name: str) -> bool:
        with self._lock:
            return name in self._ready

    def pick(self) -> Process:
        with self._lock:
            return self._cluster.daemons[
                self._ready[next(self._request_counter) % len(self._ready)]
            ]

    def submit_request(self, number: int) -> Reply:
        team = self._cluster.teams[number % 3]['name']
        headers = self._cluster.key(team)
        work = {'service_ms': LONG_REQUEST_MS if number % 2 else 20}
        return send_request(self.pick(), headers, json.dumps(work).encode())

    def submit_job(self, accepted: list[Any]) -> Reply:
        team = self._cluster.teams[0]['name']
        body = {
            'queue': 'night',
            'demand': {'cpu_millis': 100, 'memory_mb': 1},
            'payload': {'run_ms': 300},
            'idempotent': False,
        }
        headers = self._cluster.key(team)
        reply = try_call(self.pick(), 'POST', '/v1/jobs', body, headers)
        if reply.status == 202:
            accepted.append(json.loads(reply.content))
        return reply


@contextlib.contextmanager
def balanced_load(
    cluster: Cluster, callers: int
) -> Iterator[tuple[LoadBalancer, BackgroundCalls, list[Any]]]:
    """Send requests and jobs through a load balancer.

    The load ends when the body of the `with` statement has ended and more than
    `MIN_REPLIES` replies have arrived.

    Yields:
        The load balancer, the background calls with their replies, and the
        jobs that were accepted so far.
    """
    balancer = LoadBalancer(cluster=cluster)
    accepted: list[Any] = []
    with BackgroundCalls(pause_s=POLL_S) as readiness_polls:
        readiness_polls.add('look', balancer.poll_readiness)
        with BackgroundCalls(pause_s=0.02) as background:
            for number in range(callers):
                background.add(
                    f'request {number}', balancer.submit_request, number
                )
            background.add('job', balancer.submit_job, accepted)
            yield balancer, background, accepted
            wait_until(
                lambda: len(background.all_replies()) > MIN_REPLIES,
                REPLIES_LIMIT_S,
                'enough replies',
            )


def check_replies(
    background: BackgroundCalls, stop_durations_s: list[float]
) -> None:
    replies = background.all_replies()
    dropped = [reply for reply in replies if not reply.status]
    failed = [
        reply
        for name, own in background.replies.items()
        for reply in own
        if name != 'job' and reply.status != 200
    ]
    print_figure('longest stop', max(stop_durations_s), DRAIN_S, 's')
    print_figure('calls cut off', len(dropped), 0, f'of {len(replies)}')
    print_figure('requests not run', len(failed), 0, f'of {len(replies)}')
    assert len(replies) > MIN_REPLIES
    assert not dropped, dropped[0]
    unknown = [reply for reply in failed if reply.status == 504]
    assert not unknown, unknown[0]
    assert not failed, failed[0]


def check_accepted_jobs(cluster: Cluster, accepted: list[Any]) -> None:
    ids = {job['job_id'] for job in accepted}
    assert len(ids) > 20

    def are_done() -> bool:
        runs = task_runs(cluster)
        return all(finished_runs(runs, job_id) for job_id in ids)

    wait_until(are_done, JOBS_LIMIT_S, 'every accepted job ran')
    runs = task_runs(cluster)
    not_run_once = [
        job_id
        for job_id in ids
        if len([run for run in runs if run.job_id == job_id]) != 1
    ]
    print_figure(
        'jobs not run exactly once', len(not_run_once), 0, f'of {len(ids)}'
    )
    assert not not_run_once
    assert not check_all(cluster)
