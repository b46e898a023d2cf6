"""Revoked keys and store outages, with separate processes.

Guards against work that is accepted with a key that an operator revoked more
than 3 s ago, also while the store is down or a daemon is paused or isolated.
"""

import time

import pytest

from demo.processes import wait_until
from jayshore.config.keys import generate_key
from tests.guarantee_support import (
    IN_FORCE_S,
    BackgroundCalls,
    PartitionableCluster,
    heal,
    last_acceptance_delay_s,
    print_figure,
    probe_key,
    send_job,
    send_request,
    small_shape,
    status_of,
    teams,
)

pytestmark = pytest.mark.processes

# Time after the bound in which a revoked key must not be accepted again.
WATCH_MARGIN_S = 1.0


@pytest.fixture(scope='module')
def cluster():
    with PartitionableCluster(shape=small_shape(), teams=teams()) as started:
        yield started


@pytest.fixture
def revocable_key(cluster):
    """Headers with an active second key of a team, which the test revokes."""
    heal(cluster)
    original_key = cluster.keys['millrace']
    cluster.keys['extra'] = generate_key('millrace')
    headers = cluster.key('extra')
    assert cluster.apply(cluster.document()).status == 200
    heal(cluster)
    yield headers
    cluster.keys.pop('extra', None)
    cluster.keys['millrace'] = original_key
    heal(cluster)


def all_accepted(background):
    return all(
        any(reply.status in {200, 202} for reply in replies)
        for replies in background.replies.values()
    )


def revoke_key(cluster):
    del cluster.keys['extra']
    answer = cluster.apply(cluster.document())
    assert answer.status == 200, answer.body
    return time.monotonic()


def isolate_from_store(cluster, *names):
    cluster.store.call('POST', '/admin/faults', {'refuse_from': list(names)})


def take_store_down(cluster):
    cluster.store.call('POST', '/admin/faults', {'mode': 'down'})


def sleep_until(until):
    time.sleep(max(0.0, until - time.monotonic()))


@pytest.mark.parametrize(
    'fault',
    ['none', 'store down after', 'paused', 'store cut', 'store and peers cut'],
)
def test_withdrawn_key_is_refused_everywhere(cluster, revocable_key, fault):
    victim = cluster.daemons['east-0']
    with BackgroundCalls() as background:
        probe_key(background, cluster, revocable_key)
        wait_until(lambda: all_accepted(background), 5, 'every probe accepted')
        if fault == 'store cut':
            isolate_from_store(cluster, 'east-0')
        if fault == 'store and peers cut':
            cluster.isolate('east-0')
        if fault == 'paused':
            victim.pause()
        try:
            applied = revoke_key(cluster)
            if fault == 'store down after':
                take_store_down(cluster)
        finally:
            victim.resume()
        sleep_until(applied + IN_FORCE_S + WATCH_MARGIN_S)
        heal(cluster)
    took = last_acceptance_delay_s(background, applied)
    print_figure(f'key withdrawn, {fault}', took, IN_FORCE_S, 's')
    assert took <= IN_FORCE_S


def test_store_outage_with_a_majority_keeps_requests(cluster, revocable_key):
    """Guards against refusing keyed requests while a majority is reachable.

    In a store outage keyed requests still run, but jobs are refused, and a
    restarted daemon accepts nothing.
    """
    key = revocable_key
    restarted = cluster.daemons['east-0']
    with BackgroundCalls() as background:
        for name in ('north-0', 'south-0'):
            background.add(name, send_request, cluster.daemons[name], key)
        # A domain claims its grant in the store when it first needs it, which
        # is impossible in an outage.
        wait_until(lambda: all_accepted(background), 5, 'both domains serve')
        # An outage right after an apply must not leave promises of the
        # freshness protocol open.
        assert cluster.apply(cluster.document()).status == 200
        take_store_down(cluster)
        down = time.monotonic()
        sleep_until(down + 2 * IN_FORCE_S)
        restarted.kill()
        cluster.restart_daemon('east-0')
        restarted = cluster.daemons['east-0']
        job = send_job(cluster.daemons['north-0'], key)
        with BackgroundCalls() as after_restart:
            after_restart.add('request', send_request, restarted, key)
            after_restart.add('job', send_job, restarted, key)
            sleep_until(time.monotonic() + IN_FORCE_S)
    refused = [r for r in background.all_replies() if r.status != 200]
    print_figure(
        'keyed requests refused in the outage', len(refused), 0, 'requests'
    )
    accepted = [
        r for r in after_restart.all_replies() if r.status in {200, 202}
    ]
    print_figure('accepted by a restarted daemon', len(accepted), 0, 'calls')
    assert len(background.all_replies()) > 100
    assert not refused, refused[0]
    assert b'store_unavailable' in job.content
    assert len(after_restart.all_replies()) > 20
    assert not accepted


def test_no_majority_refuses_keyed_work_only(cluster, revocable_key):
    north = cluster.daemons['north-0']
    others = [cluster.daemons[name] for name in ('south-0', 'east-0')]
    with BackgroundCalls() as background:
        background.add('keyed', send_request, north, revocable_key)
        wait_until(lambda: all_accepted(background), 5, 'keyed work runs')
        background.add('open', send_open_request, north)
        take_store_down(cluster)
        for other in others:
            other.pause()
        majority_lost_at = time.monotonic()
        sleep_until(majority_lost_at + IN_FORCE_S + WATCH_MARGIN_S)
        assert not status_of(north)['is_fresh']
    for other in others:
        other.resume()
    keyed = background.replies['keyed']
    served = (
        max(r.answered for r in keyed if r.status == 200) - majority_lost_at
    )
    print_figure(
        'keyed requests served without a majority', served, IN_FORCE_S, 's'
    )
    late = [r for r in keyed if r.sent > majority_lost_at + IN_FORCE_S]
    assert served <= IN_FORCE_S
    assert late
    assert all(b'"not_fresh"' in reply.content for reply in late)
    assert all(reply.status == 503 for reply in late)
    # No executor serves the open service, so its requests fail as well; the
    # reason must be another one.
    reasons = {reply.content for reply in background.replies['open']}
    assert not any(b'not_fresh' in reason for reason in reasons)


def send_open_request(daemon):
    return send_request(daemon, {}, service='catalog')
