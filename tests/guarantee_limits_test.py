"""Limits that are raised and lowered under load, with separate processes.

Guards against a team that exceeds its limit, also while a domain is isolated,
and against a raised limit that the team cannot use.
"""

import time

import pytest

from demo.history import check_all, peak_use, request_runs, task_runs
from demo.processes import wait_until
from tests.guarantee_support import (
    IN_FORCE_S,
    TASK_CPU,
    BackgroundCalls,
    PartitionableCluster,
    heal,
    print_figure,
    send_request,
    small_shape,
    status_of,
    submit_endless,
    teams,
)

pytestmark = pytest.mark.processes

TEAM = 'millrace'
ISOLATION_TEAM = 'fenland'
ISOLATED_TASKS = 10
WANTED_TASKS = 30
LOW = {'cpu_millis': 6000, 'memory_mb': 384_000, 'requests': 6}
HIGH = {'cpu_millis': 18_000, 'memory_mb': 384_000, 'requests': 18}
CALLERS = 30
REQUEST_MS = 200
# The stand-in workers complete a checkpoint at once.
CHECKPOINT_S = 0.0


@pytest.fixture(scope='module')
def cluster():
    shape = small_shape()
    with PartitionableCluster(shape=shape, teams=teams(**LOW)) as started:
        yield started


def apply_limit(cluster, limit, team_name=TEAM):
    for team in cluster.teams:
        if team['name'] == team_name:
            team['limit'] = limit
    answer = cluster.apply(cluster.document(), through='north-0')
    assert answer.status == 200, answer.body
    return 1000 * time.monotonic()


def is_domain_unreachable(cluster, domain):
    return all(
        domain not in status_of(cluster.daemons[name])['leaders']
        for name in ('north-0', 'south-0')
    )


def add_load(background, cluster):
    headers = cluster.key(TEAM)
    daemons = list(cluster.daemons.values())
    body = b'{"service_ms": %d}' % REQUEST_MS
    for number in range(CALLERS):
        daemon = daemons[number % len(daemons)]
        background.add(f'{number}', send_request, daemon, headers, body)


class TeamUsage:
    """Resources that a team used, by the histories of the upstreams."""

    def __init__(self, cluster, team=TEAM, domain=''):
        runs = [*task_runs(cluster), *request_runs(cluster)]
        self._runs = [
            run
            for run in runs
            if run.team == team and run.upstream.startswith(domain)
        ]

    def peak(self, start_ms, end_ms):
        """Compute the peak of each resource in an interval."""
        within = [
            run
            for run in self._runs
            if run.start_ms < end_ms and run.end_ms > start_ms
        ]
        no_usage = {'cpu_millis': 0, 'requests': 0}
        return {**no_usage, **peak_use(within)}


def current_usage(cluster, team=TEAM):
    now = 1000 * time.monotonic()
    return TeamUsage(cluster, team).peak(now - 1, now)


def wait_until_used(cluster, limit, team=TEAM):
    """Measure how long it takes until the CPU limit is fully used."""
    return wait_until(
        lambda: (
            current_usage(cluster, team)['cpu_millis'] >= limit['cpu_millis']
        ),
        2 * IN_FORCE_S,
        f'{limit} is used',
    )


def show_peak(what, peak, limit):
    for resource in ('cpu_millis', 'requests'):
        print_figure(
            f'{what}, {resource}', peak[resource], limit[resource], 'units'
        )


def is_within(peak, limit):
    return all(peak[name] <= limit[name] for name in ('cpu_millis', 'requests'))


def test_limit_holds_while_it_changes(cluster):
    began = 1000 * time.monotonic()
    for name in cluster.daemons:
        submit_endless(cluster, TEAM, name, WANTED_TASKS)
    with BackgroundCalls(pause_s=0.005) as background:
        add_load(background, cluster)
        wait_until_used(cluster, LOW)
        raised = apply_limit(cluster, HIGH)
        took = wait_until_used(cluster, HIGH)
        time.sleep(1)
        lowered = apply_limit(cluster, LOW)
        time.sleep(IN_FORCE_S + CHECKPOINT_S + 1)
        end = 1000 * time.monotonic()
    print_figure('raised limit used', took, IN_FORCE_S, 's')
    assert took <= IN_FORCE_S
    usage = TeamUsage(cluster)
    before = usage.peak(began, raised - 100)
    high = usage.peak(began, end)
    settled = lowered + 1000 * (IN_FORCE_S + CHECKPOINT_S)
    low = usage.peak(settled, end)
    show_peak('peak before', before, LOW)
    show_peak('peak when raised', high, HIGH)
    show_peak('peak 3 s after lowering', low, LOW)
    assert high['requests'] > LOW['requests']
    assert is_within(before, LOW)
    assert is_within(high, HIGH)
    assert is_within(low, LOW)
    refused = [
        r for r in background.all_replies() if r.status not in {200, 429, 503}
    ]
    assert not refused, refused[0]


@pytest.mark.parametrize('seen', ['cut seen', 'cut just now'])
def test_limit_holds_beside_a_domain_that_is_cut_off(cluster, seen):
    heal(cluster)
    apply_limit(cluster, HIGH, ISOLATION_TEAM)
    jobs = [submit_endless(cluster, ISOLATION_TEAM, 'east-0', ISOLATED_TASKS)]
    isolated_demand = {'cpu_millis': ISOLATED_TASKS * TASK_CPU}
    wait_until_used(cluster, isolated_demand, ISOLATION_TEAM)
    for name in ('north-0', 'south-0'):
        jobs.append(submit_endless(cluster, ISOLATION_TEAM, name, WANTED_TASKS))
    wait_until_used(cluster, HIGH, ISOLATION_TEAM)
    cluster.isolate('east-0')
    if seen == 'cut seen':
        wait_until(
            lambda: is_domain_unreachable(cluster, 'east'),
            10,
            'the isolation is detected',
        )
    lowered = apply_limit(cluster, LOW, ISOLATION_TEAM)
    time.sleep(IN_FORCE_S + CHECKPOINT_S + 1)
    end = 1000 * time.monotonic()
    settled = lowered + 1000 * (IN_FORCE_S + CHECKPOINT_S)
    isolated_peak = TeamUsage(cluster, ISOLATION_TEAM, 'east').peak(
        settled, end
    )
    low = TeamUsage(cluster, ISOLATION_TEAM).peak(settled, end)
    # Design, 4.5: the isolated domain keeps its grant, and the others share
    # the rest of the limit, here nothing.
    bound = {
        **isolated_peak,
        'cpu_millis': max(LOW['cpu_millis'], isolated_peak['cpu_millis']),
    }
    show_peak('peak beside an isolated domain', low, bound)
    heal(cluster)
    healed = 1000 * time.monotonic()
    took = wait_until(
        lambda: (
            current_usage(cluster, ISOLATION_TEAM)['cpu_millis']
            <= LOW['cpu_millis']
        ),
        2 * IN_FORCE_S,
        'the lowered limit holds again',
    )
    print_figure('limit holds after the isolation', took, IN_FORCE_S, 's')
    for submitted in jobs:
        path = f'/v1/jobs/{submitted.content["job_id"]}/cancel'
        headers = cluster.key(ISOLATION_TEAM)
        cluster.daemons['north-0'].call('POST', path, headers=headers)
    wait_until(
        lambda: not current_usage(cluster, ISOLATION_TEAM)['cpu_millis'],
        IN_FORCE_S,
        'the jobs are cancelled',
    )
    assert isolated_peak['cpu_millis'] == isolated_demand['cpu_millis']
    assert low['cpu_millis'] <= bound['cpu_millis']
    assert took <= IN_FORCE_S
    peak = TeamUsage(cluster, ISOLATION_TEAM).peak(settled, healed)
    assert peak['cpu_millis'] <= bound['cpu_millis']
    assert not [v for v in check_all(cluster) if v.rule != 'limit']
