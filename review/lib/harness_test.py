"""Starts instances of the system and calls them."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

import platform_test as platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST_NAME = 'plans.example'
PLAY_LIMIT_S = 112
PORTS = range(12_000, 32_000)


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Find ports that nobody uses, below those of outgoing connections."""
    found = []
    while len(found) < count:
        port = random.choice(PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((platform.HOST, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Instance:
    """One process of the system with its settings file."""

    def __init__(self, case, name, *, store_port=0, cores=1.0):
        self.name = name
        self._case = case
        self._process = None
        self._log = None
        ports = free_ports(4)
        self.front, self.readiness, control, internal = ports
        self._path = case.directory / f'{name}.json'
        listen = {
            'Front': f'{platform.HOST}:{self.front}',
            'Readiness': f'{platform.HOST}:{self.readiness}',
            'Control': f'{platform.HOST}:{control}',
        }
        self._path.write_text(
            json.dumps(
                {
                    'Node': name,
                    'Role': 'edge',
                    'MachineClass': 'edge',
                    'Serves': ['edge'],
                    'Ip': platform.HOST,
                    'Zone': 'north',
                    'Listen': listen,
                    'InternalPorts': [internal, internal],
                    'Seeds': [listen['Control']],
                    'Bootstrap': True,
                    'Limits': {'CpuShare': cores, 'Cores': 1},
                    'HeartbeatMs': 1500,
                    'Bounds': {'HoldMaxMs': platform.HOLD_MAX_MS},
                    'Orders': 'request',
                    'Advice': f'{platform.HOST}:{case.advice.server.port}',
                    'platform': {
                        'Addr': (
                            f'{platform.HOST}:'
                            f'{store_port or case.store.server.port}'
                        ),
                        'form': 'kv',
                    },
                }
            )
        )

    @property
    def running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        return self._process.pid

    async def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['JAYSHORE_BOOT'] = str(self._path)
        if self._log is None:
            self._log = open(self._case.directory / f'{self.name}.log', 'ab')
        self._process = await asyncio.create_subprocess_exec(
            'python3',
            'platform/edge.py',
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._case.record.add(f'{self.name}: started')

    def send(self, number):
        if self.running:
            self._case.record.add(f'{self.name}: {signal.Signals(number).name}')
            self._process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def ready(self):
        status, _ = await call(self.readiness, 'GET', '/-/ready')
        return status == 200


async def call(port, method, path, *, key='', content=None, timeout=5.0):
    """Send one request on its own connection; status 0 for no answer."""
    try:
        return await asyncio.wait_for(
            _call(port, method, path, key, content), timeout
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


async def _call(port, method, path, key, content):
    reader, writer = await asyncio.open_connection(platform.HOST, port)
    try:
        body = b'' if content is None else json.dumps(content).encode()
        lines = [
            f'{method} {path} HTTP/1.1',
            f'host: {HOST_NAME}',
            'connection: close',
            f'content-length: {len(body)}',
        ]
        if body:
            lines.append('content-type: application/json')
        if key:
            lines.append(f'authorization: Bearer {key}')
        head = '\r\n'.join(lines)
        writer.write(f'{head}\r\n\r\n'.encode() + body)
        await writer.drain()
        text = await reader.readuntil(b'\r\n\r\n')
        first, *rest = text.decode('latin-1').split('\r\n')
        length = next(
            int(line.partition(':')[2])
            for line in rest
            if line.lower().startswith('content-length:')
        )
        answer = await reader.readexactly(length)
        try:
            decoded = json.loads(answer) if answer else {}
        except ValueError:
            decoded = {}
        return int(first.split(' ')[1]), decoded
    finally:
        writer.close()


class Case:
    """A small deployment on stand-ins, and its callers."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = platform.Record(self.folder / 'record.txt')
        self.store = platform.Store(self.record)
        self.advice = platform.Advice()
        self.executors = []
        self.instances = []
        self.tenants = [
            {'Name': 'depot', 'ApiKeys': ['key-depot'], 'Weight': 100}
        ]
        self.routes = [self.route('plan', '/plan/')]
        self.version = 3
        self.record.add(f'trouble: {TROUBLE}')

    def route(self, name, prefix, **more):
        return {
            'Name': name,
            'Host': HOST_NAME,
            'Prefix': prefix,
            'Kind': 'non_idempotent',
            'TimeoutMs': 3000,
            'TargetLatencyMs': 1000,
            'Priority': 0,
            'Service': 'plans',
            'MaxAttempts': 3,
            'Stretch': 2.0,
            'Public': False,
            **more,
        }

    def apply(self):
        """Write the desired state, as the operator does."""
        self.version += 2
        self.store.put(
            'op/config',
            {
                'Version': self.version,
                'Routes': self.routes,
                'Services': [{'Name': 'plans', 'EnforcesCapacity': False}],
                'Tenants': self.tenants,
                'Limits': {'MaxBodyBytes': 262_144},
            },
        )
        self.record.add(f'operator: version {self.version} is acknowledged')

    async def open(self, *, executors, instances, cores=()):
        """Start everything and wait until it serves."""
        await self.store.start()
        await self.advice.server.start()
        self.apply()
        for number in range(executors):
            if number >= len(self.executors):
                self.executors.append(
                    platform.Executor(store=self.store, name=f'w{number:02d}')
                )
            await self.executors[number].start()
        for number in range(instances):
            share = cores[number] if number < len(cores) else 1.0
            self.instances.append(Instance(self, f'edge-{number}', cores=share))
            await self.instances[-1].start()
        await self.wait_ready()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = [await instance.ready() for instance in self.instances]
            if all(ready) and self.leader() is not None:
                status, _ = await self.get('/plan/')
                if status == 200:
                    await asyncio.sleep(1.5)
                    return
            await asyncio.sleep(0.1)
        raise CannotRun('the instances do not become ready')

    def leader(self):
        """Find the instance that holds the leadership in the store."""
        entry = self.store.read('domains/deployment/leader')
        if entry is None:
            return None
        for instance in self.instances:
            if instance.name == entry['holder'] and instance.running:
                return instance
        return None

    def any_instance(self, *, but=None):
        for instance in self.instances:
            if instance.running and instance is not but:
                return instance
        raise CannotRun('no instance runs')

    async def send(self, method, path, *, key='key-depot', at=None, body=None):
        instance = at or self.any_instance()
        status, content = await call(
            instance.front, method, path, key=key, content=body
        )
        shown = content.get('State') or content.get('Pending', '')
        self.record.add(
            f'caller: {method} {path} at {instance.name} with'
            f' {key or "no key"}: {status} {shown}'
        )
        return status, content

    async def get(self, path, **options):
        return await self.send('GET', path, **options)

    async def submit(self, job, steps, spec, *, prefix='/plan/', **options):
        """Submit until the submission is accepted, as a caller does."""
        body = {'Spec': json.dumps(spec), 'Steps': steps}
        body.update(options.pop('more', {}))
        for _ in range(20):
            status, _ = await self.send(
                'POST', f'{prefix}{job}', body=body, **options
            )
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f'{job} is not accepted')

    def runs(self, job=''):
        return [
            run
            for executor in self.executors
            for run in executor.history
            if run.task.startswith(job)
        ]

    async def wait_for(self, condition, limit_s):
        """Wait until a condition holds; False when it does not in time."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    async def close(self):
        for instance in self.instances:
            if instance.running:
                await instance.kill()
        if os.environ.get('KEEP_LOGS'):
            self.record.add(f'logs: {self.directory}')
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def overlaps(runs):
    """Find pairs of runs of one task that were active at the same time."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    found = []
    for same in by_task.values():
        for first in same:
            found.extend(
                (first, second)
                for second in same
                if second.started_at > first.started_at
                and (
                    first.ended_at is None or second.started_at < first.ended_at
                )
            )
    return found


def play(folder, scenario):
    """Play a case and exit with its verdict."""

    async def run():
        case = Case(folder)
        try:
            return await asyncio.wait_for(scenario(case), PLAY_LIMIT_S)
        except asyncio.TimeoutError:
            case.record.add('verdict: could not run: out of time')
            return NOT_RUN
        except CannotRun as error:
            case.record.add(f'verdict: could not run: {error}')
            return NOT_RUN
        except Exception:
            case.record.add(f'verdict: failed\n{traceback.format_exc()}')
            return NOT_RUN
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
