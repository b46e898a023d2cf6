"""Processes of `platform/edge.py` beside lost answers and odd entries."""

import json
import time

import pytest

from tests.platform_path_test import (
    KEY,
    SUBMISSION,
    call,
    job_url,
    make_config,
    running_deployment,
    wait_for,
)

pytestmark = pytest.mark.processes


STEP = {'Count': 1, 'Cpu': 500, 'MemMb': 100, 'EstMs': 150}
REGISTRATION = {
    'Service': 'plans',
    'Addr': '127.0.0.1:9',
    'Zone': 'north',
    'State': 'ready',
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpu': 0},
    'Labels': ['a', 'r1'],
    'born': 17,
}
ODD_FIELDS = (
    {'Addr': '127.0.0.1:' + '9' * 5000},
    {'Addr': '127.0.0.1:70000'},
    {'Addr': '.:80'},
    {'Capacity': {'Cpu': int('9' * 400), 'MemMb': 1}},
    {'born': int('9' * 400)},
    {'Labels': [['a']]},
)


@pytest.fixture
def deployment(tmp_path):
    """Run a deployment of two instances."""
    with running_deployment(tmp_path) as running:
        yield running


@pytest.mark.parametrize('late_ms', [0, 700])
def test_refused_submission_never_runs(deployment, late_ms):
    """Guards against a refusal of a submission that the store has applied.

    The store applies the writes and loses the answers, so nobody can say that
    the submission had no effect.
    """
    deployment.call_test_api('trouble', {'lose_answers': 8, 'late_ms': late_ms})
    answers = [
        call('POST', job_url(deployment.fronts[0], number), SUBMISSION)[0]
        for number in range(4)
    ]
    deployment.call_test_api('trouble', {'lose_answers': 0})
    time.sleep(3)
    started = {
        run[0].partition('.')[0] for run in deployment.call_test_api('runs')
    }
    refused = {
        f'{number:016x}'
        for number, status in enumerate(answers)
        if status in {429, 503}
    }
    assert not refused & started, answers


def test_odd_entries_of_the_store_are_survived(deployment):
    """Guards against an entry that makes every leader in turn step down."""
    nested = '{"Service":' + '[' * 5000 + ']' * 5000 + '}'
    for value in (nested, '{"Service":"plans","Addr":"1:2"}', '\\u0000', '[]'):
        deployment.put('servers/x-odd', value)
        deployment.put('op/config', value)
        time.sleep(0.3)
    for number, fields in enumerate(ODD_FIELDS):
        value = json.dumps({**REGISTRATION, **fields})
        deployment.put(f'servers/x-odd-{number}', value)
    time.sleep(0.3)
    first, second = deployment.fronts
    assert call('POST', job_url(first, 1), SUBMISSION)[0] == 200
    wait_for(
        lambda: call('GET', job_url(second, 1))[1] == {'State': 'completed'},
        'the job is completed',
    )
    assert first[0].poll() is None
    assert second[0].poll() is None


HUGE = int('9' * 400)
ODD_STEPS = (
    ('estimates', [{**STEP, 'EstMs': 1.7e308}] * 3),
    ('processors', [{**STEP, 'Cpu': HUGE}]),
    ('memory', [{**STEP, 'MemMb': HUGE}]),
    ('spread', [{**STEP, 'AntiAffinity': HUGE}]),
)


@pytest.mark.parametrize(
    'steps', [row[1] for row in ODD_STEPS], ids=[row[0] for row in ODD_STEPS]
)
def test_submission_with_odd_numbers_is_refused(deployment, steps):
    """Guards against one submission that makes every leader step down."""
    first, second = deployment.fronts
    odd = call('POST', job_url(first, 7), {'Spec': 'fill', 'Steps': steps})
    assert odd[0] == 400
    assert call('POST', job_url(first, 1), SUBMISSION)[0] == 200
    wait_for(
        lambda: call('GET', job_url(second, 1))[1] == {'State': 'completed'},
        'the job is completed',
    )


def test_restart_uses_no_withdrawn_key_and_no_worker_that_left(deployment):
    """Guards against a restarted instance that acts on what was withdrawn."""
    deployment.put('op/config', make_config(2, keys=(KEY, 'k-old')))
    front = deployment.fronts[0]
    wait_for(
        lambda: call('GET', job_url(front, 1), key='k-old')[0] == 410,
        'the key is in force',
    )
    deployment.put('op/config', make_config(3))
    deployment.put('servers/x-0', None)
    for process, *_ in deployment.fronts:
        process.kill()
        process.wait()
    before = len(deployment.call_test_api('history'))
    restarted = deployment.add('i9')
    for number in range(20):
        old_key = call('POST', job_url(restarted, 100), SUBMISSION, 'k-old')
        assert old_key[0] in {401, 503}
        own_key = call('POST', job_url(restarted, number), SUBMISSION)
        assert own_key[0] in {200, 503}
    wait_for(
        lambda: (
            call('GET', job_url(restarted, 19))[1] == {'State': 'completed'}
        ),
        'the last job is completed',
    )
    started = deployment.call_test_api('history')[before:]
    assert started
    assert 'x-0' not in {run['worker'] for run in started}
