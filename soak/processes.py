"""Processes of a soak: the platform stand-in and the instances.

Only processes that this module started are signalled, by their ids.
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
from standins.ports import PortReservation

PROJECT_ROOT = pathlib.Path(__file__).resolve().parent.parent
ROUTE_HOST = HOST
API_KEYS = ('k-riverbend', 'k-millrace')
ROUTE_PREFIX = '/checks/'
MAX_ATTEMPTS = 8

_START_TIMEOUT_MS = Millis(15_000)
_POLL_MS = Millis(20)
_TEST_CALL_TIMEOUT_MS = Millis(5000)
_STATUS_OK = 200


class SoakError(Exception):
    """A process did not start in time, or the stand-in refused a call."""


@dataclasses.dataclass(kw_only=True, slots=True)
class InstanceProcess:
    """An instance and its process.

    Attributes:
        name: name of the instance.
        front_port: port for callers.
        ready_port: port of the readiness check.
        store_link: link to the store.
        process: the last process, None before the first start.
        expected_down: whether the process was told to end.
    """

    name: str
    front_port: int
    ready_port: int
    store_link: Link
    process: Any = None
    expected_down: bool = True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        Args:
            number: the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Processes:
    """All processes of one soak."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        """Create the processes without starting them.

        Args:
            directory: directory for settings and logs.
        """
        self.instances: list[InstanceProcess] = []
        self.executor_links: list[Link] = []
        self._directory = directory
        self._platform: Any = None
        self._control_client: HttpClient | None = None
        self._version = 0
        self._ports: dict[str, Any] = {}
        self._port_reservation = PortReservation()

    async def start(self, *, instances: int, executors: int, seed: int) -> None:
        """Start the stand-in and the instances, and wait until they listen.

        Args:
            instances: number of instances.
            executors: number of executors of the stand-in.
            seed: seed of the durations of runs.
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
        await _wait_until(path.exists, 'the stand-in')
        self._ports = json.loads(path.read_text())
        self._control_client = HttpClient(
            address=Address(host=HOST, port=self._ports['store']),
            max_connections=4,
            connect_timeout_ms=_TEST_CALL_TIMEOUT_MS,
        )
        for number, port in enumerate(self._ports['executors']):
            link = Link(target_port=port)
            await link.open()
            self.executor_links.append(link)
            await self.call_stand_in(
                'register', {'worker': number, 'address': f'{HOST}:{link.port}'}
            )
        await self.configure(API_KEYS)
        for index in range(instances):
            await self._add_instance(f'i{index}')
        for instance in self.instances:
            await _wait_until(
                partial(_is_listening, instance.ready_port), instance.name
            )

    async def configure(self, keys: tuple[str, ...]) -> None:
        """Write a new configuration version, as the operator does.

        Args:
            keys: API keys that the new version accepts.
        """
        self._version += 3
        document = {
            'Version': self._version,
            'Routes': [
                {
                    'Name': 'checks',
                    'Host': ROUTE_HOST,
                    'Prefix': ROUTE_PREFIX,
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
        await self.call_stand_in(
            'put', {'key': 'op/config', 'value': json.dumps(document)}
        )

    async def call_stand_in(self, name: str, body: object) -> Any:
        """Make a `/test/` call to the stand-in.

        Args:
            name: name of the call.
            body: body of the call, encoded as JSON.

        Returns:
            The decoded answer.

        Raises:
            SoakError: the stand-in refused the call.
        """
        assert self._control_client is not None  # noqa: S101
        answer = await self._control_client.call(
            Request(
                method='POST', path=f'/test/{name}', body=encode_json(body)
            ),
            timeout_ms=_TEST_CALL_TIMEOUT_MS,
        )
        if answer.status != _STATUS_OK:
            raise SoakError(f'{name}: status {answer.status}')
        return decode_json(answer.body, Any)

    def start_instance(self, instance: InstanceProcess) -> None:
        """Start an instance unless it is running.

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
        """Find an instance that ended without being told to.

        Returns:
            Its name and exit status, empty if there is none.
        """
        for instance in self.instances:
            status = instance.process.poll()
            if status is not None and not instance.expected_down:
                return f'{instance.name} ended with status {status}'
        return ''

    async def close(self) -> None:
        """Kill all processes and close all links."""
        for instance in self.instances:
            with contextlib.suppress(ProcessLookupError):
                instance.process.kill()
            instance.process.wait()
            await instance.store_link.close()
        for link in self.executor_links:
            await link.close()
        if self._control_client is not None:
            await self._control_client.close()
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()
        self._port_reservation.close()

    async def _add_instance(self, name: str) -> None:
        link = Link(target_port=self._ports['store'])
        await link.open()
        front_port, ready_port, internal_port = self._port_reservation.reserve(
            3
        )
        settings = {
            'Node': name,
            'Ip': HOST,
            'Zone': 'north',
            'Listen': {
                'Front': f'{HOST}:{front_port}',
                'Readiness': f'{HOST}:{ready_port}',
            },
            'InternalPorts': [internal_port, internal_port + 1],
            'Advice': f'{HOST}:{self._ports["advice"]}',
            'platform': {'Addr': f'{HOST}:{link.port}'},
        }
        path = self._directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        instance = InstanceProcess(
            name=name,
            front_port=front_port,
            ready_port=ready_port,
            store_link=link,
        )
        self.instances.append(instance)
        self.start_instance(instance)

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
                cwd=PROJECT_ROOT,
                stdout=log,
                stderr=log,
                env=variables,
            )


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


async def _wait_until(condition: Any, what: str) -> None:
    clock = MonotonicClock()
    end = clock.now() + _START_TIMEOUT_MS
    while not condition():
        if clock.now() > end:
            raise SoakError(f'{what} not ready within {_START_TIMEOUT_MS} ms')
        await curio.sleep(to_seconds(_POLL_MS))
