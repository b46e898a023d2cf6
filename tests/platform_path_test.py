"""Processes of `platform/edge.py` against the stand-in of the platform."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from standins.ports import PortReservation
from tests.forwarder import Forwarder
from tests.support import TAKEOVER_LIMIT_S

pytestmark = pytest.mark.processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_HEADER = 'plans.example'
KEY = 'k-riverbend'
LIMIT_S = 20


def make_config(version, *, keys=(KEY,), routes=('/checks/',)):
    """Encode a platform configuration with one route per prefix."""
    return json.dumps(
        {
            'Version': version,
            'Routes': [
                {
                    'Name': f'r{prefix}',
                    'Host': HOST_HEADER,
                    'Prefix': prefix,
                    'Service': 'plans',
                    'Priority': 0,
                    'MaxAttempts': 3,
                    'Stretch': 2.0,
                    'TargetLatencyMs': 250,
                    'Advice': {
                        'DecisionMs': 1.0,
                        'PeriodMs': 0.1,
                        'ValidityMs': 2000,
                    },
                }
                for prefix in routes
            ],
            'Services': [],
            'Limits': {},
            'Tenants': [
                {'Name': 'riverbend', 'ApiKeys': list(keys), 'Weight': 9}
            ],
        }
    )


class Deployment:
    """A platform stand-in and instances, as processes."""

    def __init__(self, directory):
        self.directory = directory
        self.processes = []
        self.logs = {}
        self.settings = {}
        self.reservation = PortReservation()

    def start(self, instances, **settings):
        self._spawn(
            'platform',
            '-m',
            'standins.shared_platform',
            '--directory',
            str(self.directory),
        )
        path = self.directory / 'platform.json'
        wait_for(path.exists, 'the stand-in')
        self.ports = json.loads(path.read_text())
        self.put('op/config', make_config(1))
        self.fronts = [
            self.add(f'i{number}', **settings) for number in range(instances)
        ]

    def add(self, name, **changes):
        front, ready, internal_port = self.reservation.reserve(3)
        settings = {
            'Node': name,
            'Ip': '127.0.0.1',
            'Listen': {
                'Front': f'127.0.0.1:{front}',
                'Readiness': f'127.0.0.1:{ready}',
            },
            'InternalPorts': [internal_port, internal_port + 1],
            'Advice': f'127.0.0.1:{self.ports["advice"]}',
            'platform': {'Addr': f'127.0.0.1:{self.ports["store"]}'},
            'Unknown': {'new': 1},
            **changes,
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.settings[name] = settings
        process = self._spawn(
            name, 'platform/edge.py', env={'JAYSHORE_BOOT': str(path)}
        )
        wait_for(
            lambda: call('GET', f'http://127.0.0.1:{ready}/-/ready')[0] == 200,
            f'{name} is ready',
        )
        return process, front, ready

    def put(self, key, value):
        self.call_test_api('put', {'key': key, 'value': value})

    def call_test_api(self, name, body=None):
        url = f'http://127.0.0.1:{self.ports["store"]}/test/{name}'
        status, answer = call('GET' if body is None else 'POST', url, body)
        assert status == 200
        return answer

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.reservation.close()

    def _spawn(self, name, *arguments, env=None):
        log = self.directory / f'{name}.log'
        self.logs[name] = log
        with log.open('wb') as output:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={**os.environ, **(env or {})},
            )
        self.processes.append(process)
        return process


@contextlib.contextmanager
def running_deployment(directory, **settings):
    """Run a deployment of two instances."""
    running = Deployment(directory)
    try:
        running.start(2, **settings)
        yield running
    finally:
        running.stop()


@pytest.fixture
def deployment(tmp_path):
    """Run a deployment of two instances."""
    with running_deployment(tmp_path) as running:
        yield running


def wait_for(condition, what, limit_s=LIMIT_S):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f'not within {limit_s} s: {what}')


def call(method, url, body=None, key=KEY):
    """Call an HTTP server; status 0 when there is no answer."""
    headers = {'Host': HOST_HEADER, 'Authorization': f'Bearer {key}'}
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, json.loads(answer.read() or b'null')
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers)
    except OSError:
        return 0, None


SUBMISSION = {
    'Spec': 'fill two tyres',
    'Steps': [
        {'Count': 2, 'Cpu': 500, 'MemMb': 100, 'EstMs': 150},
        {
            'Count': 3,
            'Cpu': 500,
            'MemMb': 100,
            'EstMs': 150,
            'After': [0],
            'Gang': True,
        },
    ],
}


def job_url(front, number, prefix='/checks/'):
    return f'http://127.0.0.1:{front[1]}{prefix}{number:016x}'


def test_submission_runs_once_and_is_shown_as_completed(deployment):
    """Guards against a failure in any step from the caller to the executor."""
    first, second = deployment.fronts
    for number in range(6):
        front = deployment.fronts[number % 2]
        assert call('POST', job_url(front, number), SUBMISSION)[0] == 200
    for number in range(6):
        wait_for(
            lambda number=number: (
                call('GET', job_url(first, number))
                == (200, {'State': 'completed'})
            ),
            f'submission {number} is completed',
        )
        assert call('GET', job_url(second, number))[1]['State'] == 'completed'
    runs = deployment.call_test_api('runs')
    assert len({task for task, *_ in runs}) == 30
    assert len(runs) == 30
    assert {payload for *_, payload in runs} == {'fill two tyres'}


REFUSALS = (
    ('GET', '/checks/00000000000000aa', None, KEY, 410),
    ('DELETE', '/checks/00000000000000aa', None, KEY, 410),
    ('GET', '/other/00000000000000aa', None, KEY, 404),
    ('POST', '/checks/00000000000000aa', SUBMISSION, 'k-unknown', 401),
    ('POST', '/checks/short', SUBMISSION, KEY, 400),
    ('POST', '/checks/00000000000000aa', {'Steps': 7}, KEY, 400),
    ('POST', '/checks/00000000000000aa', {'Spec': '', 'Steps': []}, KEY, 400),
    (
        'POST',
        '/checks/00000000000000aa',
        {'Spec': '', 'Steps': [{'Count': 1, 'After': [0]}]},
        KEY,
        400,
    ),
    (
        'POST',
        '/checks/00000000000000aa',
        {'Spec': '', 'Steps': [{'Count': 10**9}]},
        KEY,
        400,
    ),
)


def test_refusals_are_typed(deployment):
    """Guards against bad input that is accepted or stops a process."""
    front = deployment.fronts[0]
    for method, path, body, key, status in REFUSALS:
        url = f'http://127.0.0.1:{front[1]}{path}'
        assert call(method, url, body, key)[0] == status, (method, path)
    # Only a leader knows the count; before its election the answer is 503.
    url = f'http://127.0.0.1:{front[1]}/checks/'
    wait_for(
        lambda: call('GET', url)[0] != 503, 'a leader answers', TAKEOVER_LIMIT_S
    )
    assert call('GET', url) == (200, {'Pending': 0})


def test_new_version_is_in_force_within_its_bound(deployment):
    """Guards against a revoked key that is still accepted.

    Also guards against a malformed or older version that replaces the valid
    one. The bound is the 2 s in which a version has to be in force.
    """
    front = deployment.fronts[0]
    deployment.put('op/config', '{"Version": "seven"}')
    deployment.put('op/config', make_config(5, keys=('k-new',)))
    time.sleep(2)
    assert call('POST', job_url(front, 1), SUBMISSION)[0] == 401
    assert call('POST', job_url(front, 1), SUBMISSION, 'k-new')[0] == 200
    deployment.put('op/config', make_config(4))
    time.sleep(0.5)
    assert call('POST', job_url(front, 2), SUBMISSION)[0] == 401


def test_planned_stop_answers_what_was_asked(deployment):
    """Guards against a graceful shutdown that drops calls or loses work."""
    (process, *_), other = deployment.fronts
    for number in range(8):
        front = deployment.fronts[number % 2]
        assert call('POST', job_url(front, number), SUBMISSION)[0] == 200
    process.send_signal(signal.SIGTERM)
    for _ in range(10):
        status, _ = call('GET', job_url(deployment.fronts[0], 0))
        assert status in {200, 0}
        time.sleep(0.05)
    assert process.wait(6) == 0
    for number in range(8):
        wait_for(
            lambda number=number: (
                call('GET', job_url(other, number))
                == (200, {'State': 'completed'})
            ),
            f'submission {number} is completed',
        )
    assert len(deployment.call_test_api('runs')) == 40


def test_killed_instances_lose_nothing_accepted(deployment):
    """Guards against losing accepted work when all instances are killed."""
    for number in range(6):
        front = deployment.fronts[number % 2]
        assert call('POST', job_url(front, number), SUBMISSION)[0] == 200
    for process, *_ in deployment.fronts:
        process.kill()
        process.wait()
    front = deployment.add('i9')
    for number in range(6):
        wait_for(
            lambda number=number: (
                call('GET', job_url(front, number))
                == (200, {'State': 'completed'})
            ),
            f'submission {number} is completed',
        )
    done = [
        task
        for task, _, kind, _ in deployment.call_test_api('runs')
        if kind == 'done'
    ]
    assert sorted(done) == sorted(set(done))


def test_store_outage_is_told_at_once(deployment):
    """Guards against calls that hang in a store outage instead of failing."""
    front = deployment.fronts[0]
    deployment.call_test_api('trouble', {'down': True})
    time.sleep(0.3)
    started = time.monotonic()
    status, headers = call('POST', job_url(front, 3), SUBMISSION)
    assert status == 503
    assert int(headers['retry-after']) >= 1
    assert time.monotonic() - started < 1
    deployment.call_test_api('trouble', {'down': False})
    wait_for(
        lambda: call('POST', job_url(front, 3), SUBMISSION)[0] == 200,
        'the submission is accepted',
    )


def test_broken_settings_are_named(tmp_path):
    """Guards against a failed start that does not name the faulty setting."""
    path = tmp_path / 'boot.json'
    path.write_text('{"Node": "a", "Ip": 7}')
    ended = subprocess.run(
        [sys.executable, 'platform/edge.py'],
        cwd=ROOT,
        env={**os.environ, 'JAYSHORE_BOOT': str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert '$.Ip' in ended.stderr


def test_reload_takes_new_addresses_and_survives_a_broken_file(deployment):
    """Guards against a reload that stops the process or keeps old addresses.

    A malformed file is reported, and the former settings stay in force.
    """
    process, front, _ = deployment.fronts[0]
    path = deployment.directory / 'i0.json'
    log = deployment.logs['i0']
    path.write_text('{"Node": 7')
    process.send_signal(signal.SIGHUP)
    wait_for(lambda: b'settings:invalid' in log.read_bytes(), 'a report')
    first = (process, front, 0)
    assert call('POST', job_url(first, 1), SUBMISSION)[0] == 200
    with Forwarder(deployment.ports['store']) as moved:
        settings = {
            **deployment.settings['i0'],
            'platform': {'Addr': f'127.0.0.1:{moved.port}'},
        }
        path.write_text(json.dumps(settings))
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: b'settings:reloaded' in log.read_bytes(), 'reloaded')
        wait_for(lambda: moved.accepted > 0, 'calls at the new address')
        assert call('POST', job_url(first, 2), SUBMISSION)[0] == 200
    assert process.poll() is None
