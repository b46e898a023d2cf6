"""The processes of a soak: the stand-in of the platform and the instances.

Only processes that were started here are signalled, by their ids.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404 starts the programs under test
import sys
from functools import partial
from typing import Any

import curio

from jayshore.clock import Millis, MonotonicClock, to_seconds
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, decode_json, encode_json
from soak.links import HOST, Link

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_HEADER = HOST
KEYS = ('k-riverbend', 'k-millrace')
PREFIX = '/checks/'
MAX_ATTEMPTS = 8

_START_MS = Millis(15_000)
_POLL_MS = Millis(20)
_TEST_CALL_MS = Millis(5000)
_STATUS_OK = 200


class SoakFailed(Exception):
    """A process or the stand-in did not do what the soak needs."""


@dataclasses.dataclass(kw_only=True, slots=True)
class InstanceProcess:
    """One instance.

    Attributes:
        name: its name.
        front: port for callers.
        ready: port of the readiness call.
        store_link: between it and the store.
        process: None while it is down on purpose.
        expected_down: it was told to end.
    """

    name: str
    front: int
    ready: int
    store_link: Link
    process: Any = None
    expected_down: bool = True

    def send(self, number: signal.Signals) -> None:
        """Signal the process if it runs.

        Args:
            number: the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Processes:
    """All processes of one soak."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        """Prepare to start.

        Args:
            directory: for settings and logs.
        """
        self.instances: list[InstanceProcess] = []
        self.executor_links: list[Link] = []
        self._directory = directory
        self._platform: Any = None
        self._control: HttpClient | None = None
        self._version = 0
        self._ports: dict[str, Any] = {}

    async def start(self, *, instances: int, executors: int, seed: int) -> None:
        """Start the stand-in and the instances.

        Args:
            instances: how many.
            executors: how many executors the stand-in has.
            seed: of the durations of runs.
        """
        self._platform = self._spawn(
            'platform',
            (
                '-m',
                'standins.shared_platform',
                '--directory',
                str(self._directory),
                '--executors',
                str(executors),
                '--seed',
                str(seed),
            ),
        )
        path = self._directory / 'platform.json'
        await _wait_for(path.exists, 'the stand-in')
        self._ports = json.loads(path.read_text())
        self._control = HttpClient(
            address=Address(host=HOST, port=self._ports['store']),
            max_connections=4,
            connect_timeout_ms=_TEST_CALL_MS,
        )
        for number, port in enumerate(self._ports['executors']):
            link = Link(target_port=port)
            await link.open()
            self.executor_links.append(link)
            await self.test(
                'register', {'worker': number, 'address': f'{HOST}:{link.port}'}
            )
        await self.configure(KEYS)
        for index in range(instances):
            await self._add(f'i{index}')
        for instance in self.instances:
            await _wait_for(partial(_listens, instance.ready), instance.name)

    async def configure(self, keys: tuple[str, ...]) -> None:
        """Write a new configuration as the operator does.

        Args:
            keys: that are in force from then on.
        """
        self._version += 3
        document = {
            'Version': self._version,
            'Routes': [
                {
                    'Name': 'checks',
                    'Host': HOST_HEADER,
                    'Prefix': PREFIX,
                    'Service': 'plans',
                    'MaxAttempts': MAX_ATTEMPTS,
                    'Stretch': 2.0,
                    'TargetLatencyMs': 250,
                    'Advice': {
                        'DecisionMs': 2.0,
                        'PeriodMs': 0.2,
                        'ValidityMs': 2000,
                    },
                }
            ],
            'Tenants': [
                {'Name': f't-{key}', 'ApiKeys': [key], 'Weight': 50}
                for key in keys
            ],
        }
        await self.test(
            'put', {'key': 'op/config', 'value': json.dumps(document)}
        )

    async def test(self, name: str, body: object) -> Any:
        """Call the stand-in as a test.

        Args:
            name: of the call.
            body: of the call.

        Returns:
            The decoded answer.

        Raises:
            SoakFailed: it was refused.
        """
        assert self._control is not None  # noqa: S101
        answer = await self._control.call(
            Request(
                method='POST', path=f'/test/{name}', body=encode_json(body)
            ),
            timeout_ms=_TEST_CALL_MS,
        )
        if answer.status != _STATUS_OK:
            raise SoakFailed(f'{name}: status {answer.status}')
        return decode_json(answer.body, Any)

    def launch(self, instance: InstanceProcess) -> None:
        """Start an instance that is down.

        Args:
            instance: the instance.
        """
        if instance.process is None or instance.process.poll() is not None:
            instance.process = self._spawn(
                instance.name,
                ('platform/edge.py',),
                settings=self._directory / f'{instance.name}.json',
            )
        instance.expected_down = False

    def find_unexpected_end(self) -> str:
        """Look for a process that ended by itself.

        Returns:
            Its name and status, empty when there is none.
        """
        for instance in self.instances:
            status = instance.process.poll()
            if status is not None and not instance.expected_down:
                return f'{instance.name} ended with status {status}'
        return ''

    async def close(self) -> None:
        """Kill all processes and end all connections."""
        for instance in self.instances:
            with contextlib.suppress(ProcessLookupError):
                instance.process.kill()
            instance.process.wait()
            await instance.store_link.close()
        for link in self.executor_links:
            await link.close()
        if self._control is not None:
            await self._control.close()
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()

    async def _add(self, name: str) -> None:
        link = Link(target_port=self._ports['store'])
        await link.open()
        front, ready, inner = _free_ports(3)
        settings = {
            'Node': name,
            'Ip': HOST,
            'Zone': 'north',
            'Listen': {
                'Front': f'{HOST}:{front}',
                'Readiness': f'{HOST}:{ready}',
            },
            'InternalPorts': [inner, inner + 1],
            'Advice': f'{HOST}:{self._ports["advice"]}',
            'platform': {'Addr': f'{HOST}:{link.port}'},
        }
        path = self._directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        instance = InstanceProcess(
            name=name, front=front, ready=ready, store_link=link
        )
        self.instances.append(instance)
        self.launch(instance)

    def _spawn(
        self,
        name: str,
        arguments: tuple[str, ...],
        settings: pathlib.Path | None = None,
    ) -> Any:
        variables = {**os.environ, 'PYTHONHASHSEED': '0'}
        if settings is not None:
            variables['JAYSHORE_BOOT'] = str(settings)
        with (self._directory / f'{name}.log').open('ab') as log:
            return subprocess.Popen(  # noqa: S603 our own program
                (sys.executable, *arguments),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=variables,
            )


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind_free(unbound) for unbound in sockets]


def _bind_free(unbound: socket.socket) -> int:
    unbound.bind((HOST, 0))
    return int(unbound.getsockname()[1])


def _listens(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


async def _wait_for(condition: Any, what: str) -> None:
    clock = MonotonicClock()
    end = clock.now() + _START_MS
    while not condition():
        if clock.now() > end:
            raise SoakFailed(f'not within {_START_MS} ms: {what}')
        await curio.sleep(to_seconds(_POLL_MS))
