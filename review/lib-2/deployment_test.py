"""Runs instances of the project against the stand-in, and records calls."""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from platform_test import HOST, Advice, Executor, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST_NAME = 'review.example'
MEMORY_MB = 300
BOUNDS = {
    'ContactMs': 3000,
    'AckMs': 4000,
    'DrainMs': 2000,
    'GraceS': 6,
    'ConfigApplyMs': 2000,
    'RecoveryS': 12,
    'HoldMaxMs': 10000,
    'StopTimeoutMs': 900,
    'GangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
}
ADVICE = {'decision_ms': 410, 'period_ms': 5.9, 'validity_ms': 2500}
IDLE_S = 3
FINISH_S = 14
SETTLE_S = 3
PLAN = {
    'Spec': 'ms=3000 cpu=3000',
    'Steps': [{'Count': 4, 'Cpu': 3000, 'MemMb': 9000, 'EstMs': 3000}],
}
CAPACITY = {'Cpu': 32000, 'MemMb': 131072, 'Gpu': 0}


def route(name, prefix, *, advice=True, public=False):
    """Make a route of the desired state, with the figures of a site."""
    fields = {
        'Name': name,
        'Host': HOST_NAME,
        'Prefix': prefix,
        'Kind': 'non_idempotent',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': 'plans',
        'MaxAttempts': 3,
        'Stretch': 2.2,
        'Public': public,
    }
    if advice:
        fields['Advice'] = {
            'DecisionMs': ADVICE['decision_ms'],
            'PeriodMs': ADVICE['period_ms'],
            'ValidityMs': ADVICE['validity_ms'],
        }
    return fields


def desired_state(version, routes, tenants):
    """Make a desired state."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': 'plans',
                'HealthPath': '/health',
                'MaxConns': 64,
                'Protocol': 'h1',
                'EnforcesCapacity': False,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {
                'Name': name,
                'ApiKeys': [f'k-{name}'],
                'Weight': 13,
                'Maximum': {'Cpu': 433790, 'MemMb': 1062556, 'Gpu': 0},
            }
            for name in tenants
        ],
    }


def free_ports(count):
    """Find ports that are free now."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            found.append(sock.getsockname()[1])
        return found


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._file = path.open('w')
        self.started = time.monotonic()

    def note(self, *words):
        at = time.monotonic() - self.started
        self._file.write(f'{at:8.3f} {" ".join(map(str, words))}\n')
        self._file.flush()

    def now(self):
        return time.monotonic() - self.started


class Instance:
    """One process of `platform/edge.py`."""

    def __init__(self, deployment, name):
        self.name = name
        self.deployment = deployment
        self.front, self.ready, self.internal, _ = free_ports(4)
        self.settings = deployment.directory / f'{name}.json'
        self.log = deployment.directory / f'{name}.log'
        self.process = None
        self.ends = 0

    def start(self):
        self.settings.write_text(json.dumps(self._settings()))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['JAYSHORE_BOOT'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                ['python3', 'platform/edge.py'],
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=output,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def rss_mb(self):
        """Return the resident memory of the process, in MB."""
        path = pathlib.Path(f'/proc/{self.process.pid}/statm')
        try:
            pages = int(path.read_text().split()[1])
        except OSError:
            return 0
        return pages * os.sysconf('SC_PAGE_SIZE') / 1_000_000

    def _settings(self):
        deployment = self.deployment
        return {
            'Node': self.name,
            'Role': 'edge',
            'MachineClass': 'edge',
            'Serves': ['edge'],
            'Ip': HOST,
            'Zone': 'north',
            'Region': 'delta',
            'Zones': {'north': 'delta'},
            'Listen': {
                'Front': f'{HOST}:{self.front}',
                'Readiness': f'{HOST}:{self.ready}',
            },
            'InternalPorts': [self.internal, self.internal + 1],
            'Bootstrap': True,
            'Limits': {
                'CpuShare': 0.537,
                'Cores': 2,
                'MemoryMb': MEMORY_MB,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'platform',
            'HeartbeatMs': 1500,
            'Bounds': BOUNDS,
            'Orders': 'request',
            'Advice': f'{HOST}:{deployment.advice.server.port}',
            'platform': {
                'Addr': f'{HOST}:{deployment.store.server.port}',
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
        }


class Deployment:
    """A store, executors, instances and a record."""

    def __init__(self, case):
        self.record = Record(case / 'record.txt')
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = None
        self.advice = None
        self.instances = []
        self.executors = []
        self.runs = []
        self.spans = {}

    async def start(self, *, instances, executors, config):
        self.store = Store()
        await self.store.start()
        self.store.put('op/config', json.dumps(config))
        self.advice = Advice(**ADVICE)
        await self.advice.start()
        for number in range(executors):
            executor = Executor(
                store=self.store,
                name=f'i-{number:04x}5e7a21',
                service='plans',
                runs=self.runs,
                capacity=CAPACITY,
            )
            await executor.start()
            self.executors.append(executor)
        for position in range(instances):
            instance = Instance(self, f'edge-north-{position + 1}')
            instance.start()
            self.instances.append(instance)
        for started in self.instances:
            await self.wait_ready(started)

    async def wait_ready(self, instance, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = await call(instance.ready, 'GET', '/-/ready')
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{instance.name} is not ready')

    async def restart_ended(self):
        """Act as the platform: restart processes that have ended.

        A process that exceeds the memory of its machine is killed.
        """
        while True:
            await asyncio.sleep(0.2)
            for instance in self.instances:
                rss_mb = instance.rss_mb()
                if rss_mb > MEMORY_MB:
                    self.record.note('over memory', instance.name, rss_mb)
                    instance.signal(signal.SIGKILL)
                    instance.process.wait()
                status = instance.process.poll()
                if status is not None:
                    instance.ends += 1
                    self.record.note('ended', instance.name, status)
                    instance.start()

    async def send(self, instance, method, path, key, body=None, limit_s=3):
        """Send a call of a requester and record it with its answer."""
        headers = {'Host': HOST_NAME}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        shown = '' if body is None else json.dumps(body)[:160]
        self.record.note('send', instance.name, method, path, key, shown)
        answer = await call(
            instance.front, method, path, headers, body, limit_s
        )
        self.record.note('answer', instance.name, method, path, *answer)
        return answer

    async def ask(self, path, key):
        """Ask for a state at up to three instances, as a requester does."""
        for instance in random.sample(self.instances, 3):
            status, body = await self.send(instance, 'GET', path, key)
            if status in {200, 410}:
                break
        return status, body

    def running_cpu(self, at):
        """Return the thousandths of cores in use at a moment."""
        return sum(
            run.number('cpu')
            for run in self.runs
            if run.started <= at and (run.ended is None or run.ended > at)
        )

    def was_idle(self, job, since, until):
        """Return whether nothing of a submission ran in an interval."""
        return not any(
            run.task.startswith(job)
            and run.started <= until
            and (run.ended is None or run.ended >= since)
            for run in self.runs
        )

    async def hand_in_plans(self, seconds, until=lambda: False):
        """Hand in a plan each second; return the paths of the accepted."""
        end = self.record.now() + seconds
        accepted = {}
        number = 0
        while self.record.now() < end and not until():
            number += 1
            path = f'/plan/{number:016x}'
            status, _ = await self.send(
                self.instances[number % len(self.instances)],
                'POST',
                path,
                'k-orchard',
                PLAN,
            )
            if status == 200:
                accepted[path] = 'k-orchard'
            await asyncio.sleep(1)
        return accepted

    async def find_lost(self, accepted):
        """Look for accepted work without an answer, or that stands still.

        The rule LOST: for 3 s a submission has nothing running while its
        turn has come and under half of the capacity is in use. All
        submissions are handed in by tenants far below their maximum.
        """
        until = time.monotonic()
        since = until - IDLE_S
        unfinished = []
        unanswered = []
        for path, key in accepted.items():
            status, body = await self.ask(path, key)
            if status != 200:
                unanswered.append(path)
            elif body['State'] != 'completed':
                unfinished.append(path)
        idle = [
            path
            for path in unfinished
            if self.was_idle(path.rpartition('/')[2], since, until)
        ]
        room = len(self.executors) * CAPACITY['Cpu']
        steps = 10 * IDLE_S
        most = max(
            self.running_cpu(since + step / 10) for step in range(steps + 1)
        )
        self.record.note(
            f'accepted {len(accepted)}, unfinished {len(unfinished)},'
            f' unanswered {len(unanswered)}, idle for 3 s {len(idle)},'
            f' cpu in use at most {most} of {room}'
        )
        if (idle and most < room / 2) or unanswered:
            return (
                f'LOST: of {len(accepted)} accepted submissions {len(idle)}'
                f' had nothing running for 3 s, {len(unanswered)} got no'
                ' answer'
            )
        return ''

    def find_twice(self):
        """List pairs of runs of one task that ran at the same time."""
        by_task = {}
        for run in self.runs:
            by_task.setdefault(run.task, []).append(run)
        return [
            (first, second)
            for runs in by_task.values()
            for position, first in enumerate(runs)
            for second in runs[position + 1 :]
            if first.ended is None or first.ended > second.started
        ]

    def finish(self):
        """End all processes and record all runs."""
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        started = self.record.started
        for run in self.runs:
            ended = '-' if run.ended is None else f'{run.ended - started:.3f}'
            self.record.note(
                'run',
                run.task,
                run.run,
                run.executor,
                f'{run.started - started:.3f}',
                ended,
                run.how or 'running',
            )
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'{self.directory}\n')
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


async def call(port, method, path, headers=None, body=None, limit_s=3):
    """Call an HTTP server; status 0 when there is no complete answer."""
    try:
        return await asyncio.wait_for(
            _call(port, method, path, headers or {}, body), limit_s
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    except (ValueError, IndexError):
        return 0, None


async def _call(port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = b'' if body is None else json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        if 'Host' not in headers:
            lines.append(f'Host: {HOST}')
        lines.append(f'Content-Length: {len(data)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + data)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        length = 0
        while True:
            row = (await reader.readline()).decode().strip().lower()
            if not row:
                break
            if row.startswith('content-length:'):
                length = int(row.partition(':')[2])
        text = await reader.readexactly(length)
        return status, json.loads(text) if text else None
    finally:
        writer.close()


def play(case, scenario):
    """Run a scenario; exit 1 when it returns a breach, 2 when it cannot run."""
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    deployment = Deployment(case)
    code = 2
    try:
        breach = asyncio.run(scenario(deployment))
        deployment.record.note('breach' if breach else 'held', breach or '')
        print(breach or 'held')
        code = 1 if breach else 0
    except CannotRun as error:
        deployment.record.note('cannot run', error)
        print('cannot run:', error)
    finally:
        deployment.finish()
    sys.stdout.flush()
    # The stand-in's connections need no orderly end.
    os._exit(code)
