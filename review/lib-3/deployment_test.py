"""Starts a small deployment beside the stand-in of the platform.

The instances run as the deploy file says, as separate processes with settings
files in the form of the users' pages. Only processes that a case has started
are signalled, by their ids. As on the users' platform, a process that exceeds
`MemoryMb` is killed, and one that has ended is started again after a pause.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HOST = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM = pathlib.Path(__file__).with_name('platform_test.py')
SITE_LIMITS = {'CpuShare': 0.537, 'Cores': 2, 'MemoryMb': 300, 'MaxFds': 4100}
SITE_CAPACITY = {'Cpu': 32000, 'MemMb': 131072, 'Gpu': 0}
RESTART_S = 0.5
START_LIMIT_S = 20
WATCH_S = 0.02
PAGE = os.sysconf('SC_PAGE_SIZE')


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = path.open('w')
        self._lock = threading.Lock()

    def note(self, *words):
        line = ' '.join(str(word) for word in words)
        at = time.monotonic() - self.started
        with self._lock:
            self._file.write(f'{at:8.3f} {line}\n')
            self._file.flush()


class FreePorts:
    """Ports on which nothing listens, below those of outgoing connections."""

    def __init__(self):
        self._taken = set()

    def take(self, count):
        """Find a range of free ports."""
        while True:
            first = random.randrange(20_000, 30_000)
            ports = range(first, first + count)
            if self._taken.isdisjoint(ports) and all(map(is_free, ports)):
                self._taken.update(ports)
                return list(ports)


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Instance:
    """A machine of the system and its process."""

    def __init__(self, name, settings):
        self.name = name
        self.settings = settings
        self.process = None
        self.restarts = True
        self.ends = []
        self.peak = 0

    @property
    def front(self):
        return int(self.settings['Listen']['Front'].partition(':')[2])

    @property
    def ready(self):
        return int(self.settings['Listen']['Readiness'].partition(':')[2])


class Deployment:
    """The stand-in of the platform and the instances, as processes."""

    def __init__(self, record):
        self.record = record
        self.instances = []
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._ports = FreePorts()
        self._processes = []
        self._stopping = threading.Event()
        self._control = 0
        self._platform = {}
        self._version = 0

    def start(self, *, instances, executors, config, limits=SITE_LIMITS):
        """Start everything, and wait until the instances are ready."""
        settings = {'executors': executors, 'capacity': SITE_CAPACITY}
        self._spawn(
            'platform',
            [sys.executable, str(PLATFORM), str(self.directory)]
            + [json.dumps(settings)],
            {},
        )
        path = self.directory / 'platform.json'
        wait_for(path.exists, 'the stand-in of the platform')
        self._platform = json.loads(path.read_text())
        self._control = self._platform['control']
        self.configure(config)
        self.instances = [
            self._add(f'edge-tanta-{number + 1}', limits)
            for number in range(instances)
        ]
        threading.Thread(target=self._watch, daemon=True).start()
        for instance in self.instances:
            wait_for(
                lambda one=instance: (
                    call(one.ready, 'GET', '/-/ready')[0] == 200
                ),
                f'{instance.name} is ready',
            )

    def configure(self, config):
        """Write a desired state as the operator does."""
        self._version += 3
        text = json.dumps({'Version': self._version, **config})
        self.control('POST', '/put', {'key': 'op/config', 'text': text})
        self.record.note('operator writes version', self._version)

    def control(self, method, path, body=None):
        """Make a call that the stand-in takes from a case."""
        status, answer = call(self._control, method, path, body, limit_s=20)
        if status != 200:
            raise CannotRun(f'{path}: status {status}')
        return answer

    def leader(self):
        """Find the instance that leads, by the store; None for none."""
        name = self.control('GET', '/leader').get('holder')
        found = [one for one in self.instances if one.name == name]
        return found[0] if found else None

    def close(self):
        """End all processes."""
        self._stopping.set()
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    def logs(self, instance):
        """Read what a process has written."""
        path = self.directory / f'{instance.name}.log'
        return path.read_text(errors='replace')

    def kill(self, instance, number=signal.SIGKILL):
        """Send a signal to the process of an instance."""
        self.record.note('signal', number.name, instance.name)
        instance.process.send_signal(number)

    def _add(self, name, limits):
        front, ready, control = self._ports.take(3)
        internal = self._ports.take(2)
        settings = {
            'Node': name,
            'Role': 'edge',
            'MachineClass': 'edge',
            'Serves': ['edge'],
            'Ip': HOST,
            'Zone': 'tanta',
            'Region': 'delta',
            'Zones': {'tanta': 'delta'},
            'Listen': {
                'Front': f'{HOST}:{front}',
                'Readiness': f'{HOST}:{ready}',
                'Control': f'{HOST}:{control}',
            },
            'InternalPorts': [internal[0], internal[-1]],
            'Seeds': [],
            'Bootstrap': True,
            'Limits': limits,
            'HeartbeatMs': 1500,
            'Bounds': {'HoldMaxMs': 10_000, 'StopTimeoutMs': 900},
            'Orders': 'request',
            'Advice': f'{HOST}:{self._platform["advice"]}',
            'platform': {
                'Addr': f'{HOST}:{self._platform["store"]}',
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1_048_576,
                'TtlMinMs': 1000,
            },
        }
        instance = Instance(name, settings)
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        self._start(instance)
        return instance

    def _start(self, instance):
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        command = tomllib.loads(text)['roles']['edge']['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        instance.process = self._spawn(
            instance.name,
            command,
            {'JAYSHORE_BOOT': str(self.directory / f'{instance.name}.json')},
        )
        self.record.note('starts', instance.name)

    def _spawn(self, name, command, variables):
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.directory / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**env, **variables},
            )
        self._processes.append(process)
        return process

    def _watch(self):
        """Keep the limit on memory, and start ended processes again."""
        while not self._stopping.wait(WATCH_S):
            for instance in self.instances:
                self._check(instance)

    def _check(self, instance):
        size = resident_bytes(instance.process.pid)
        instance.peak = max(instance.peak, size)
        limit = instance.settings['Limits']['MemoryMb'] * 1_000_000
        if size > limit:
            self.record.note(
                'over MemoryMb, killed by the platform:',
                instance.name,
                f'{size / 1_000_000:.0f} MB',
            )
            instance.process.kill()
            instance.process.wait()
        if instance.process.poll() is None or not instance.restarts:
            return
        instance.ends.append(time.monotonic() - self.record.started)
        self.record.note(
            'ended', instance.name, 'status', instance.process.returncode
        )
        if not self._stopping.wait(RESTART_S):
            self._start(instance)


def resident_bytes(pid):
    try:
        words = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    except OSError:
        return 0
    return int(words[1]) * PAGE if len(words) > 1 else 0


def wait_for(condition, what, limit_s=START_LIMIT_S):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f'not within {limit_s} s: {what}')


def call(port, method, path, body=None, *, headers=None, limit_s=3):
    """Make one HTTP call; status 0 when there is no answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=limit_s)
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        text = answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return status, json.loads(text or b'null')
    except json.JSONDecodeError:
        return status, None


def play(directory, case):
    """Play a case; return 1 when its rule was broken, 0 when it held."""
    record = Record(directory / 'record.txt')
    deployment = Deployment(record)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note('disruption', 'on' if trouble else 'off')
    try:
        broken = case(deployment, trouble)
    except CannotRun as error:
        record.note('cannot run:', error)
        return 2
    finally:
        deployment.close()
    for line in broken:
        record.note('BROKEN', line)
    record.note('verdict:', 'broken' if broken else 'held')
    return int(bool(broken))
