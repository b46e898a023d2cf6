"""Starts daemons and stand-ins as separate processes, and ends them."""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess  # noqa: S404 starts only programs of this project
import sys
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any

from standins.ports import PortReservation

HOST = '127.0.0.1'
_READY_TIMEOUT_S = 8
_END_S = 10
_POLL_INTERVAL_S = 0.02
_PORT_RANGE = range(15_000, 32_000)


class NotReached(Exception):
    """A condition was not met, or a process did not start."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An HTTP response.

    Attributes:
        status: status code.
        headers: values by lower-case name.
        body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def content(self) -> Any:
        """The decoded JSON body."""
        return json.loads(self.body)


class Process:
    """A started process and the address on which it listens."""

    def __init__(
        self, *, name: str, popen: 'subprocess.Popen[str]', address: str
    ) -> None:
        """Wrap a started process.

        Args:
            name: name for error messages.
            popen: the process.
            address: `host:port`; may be set later.
        """
        self.name = name
        self.popen = popen
        self.address = address

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until it is resumed."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down with SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    def wait(self, limit_s: float) -> int:
        """Wait for the end of the process.

        Args:
            limit_s: longest wait, in seconds.

        Returns:
            Its exit code.
        """
        return self.popen.wait(limit_s)

    def call(
        self,
        method: str,
        path: str,
        content: object = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10,
    ) -> Answer:
        """Send one HTTP call on a connection of its own.

        Args:
            method: HTTP method.
            path: path with query.
            content: bytes are sent as they are, anything else as JSON.
            headers: further headers.
            timeout_s: timeout in seconds.

        Returns:
            The answer.
        """
        return call(
            self.address,
            method,
            path,
            content,
            headers=headers,
            timeout_s=timeout_s,
        )


def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10,
) -> Answer:
    """Send one HTTP call on a connection of its own.

    Args:
        address: `host:port`.
        method: HTTP method.
        path: path with query.
        content: bytes are sent as they are, anything else as JSON.
        headers: further headers.
        timeout_s: timeout in seconds.

    Returns:
        The answer.
    """
    connection = HTTPConnection(address, timeout=timeout_s)
    body = content if isinstance(content, bytes) else _encode(content)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(
            status=response.status,
            headers={
                name.lower(): text for name, text in response.getheaders()
            },
            body=response.read(),
        )


_reservation = PortReservation()


def free_ports(count: int) -> list[int]:
    """Find free ports.

    They lie below the ephemeral range: an outgoing connection could otherwise
    take a port before the process that it is meant for.

    Args:
        count: number of ports.

    Returns:
        Distinct ports, reserved while this process lives.

    Raises:
        NotReached: too few ports are free.
    """
    ports: list[int] = []
    for port in random.SystemRandom().sample(_PORT_RANGE, len(_PORT_RANGE)):
        if _reservation.try_port(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise NotReached(f'fewer than {count} ports are free')


def start_stand_in(kind: str, settings: dict[str, Any]) -> Process:
    """Start a stand-in and wait until it listens.

    Args:
        kind: `store`, `worker` or `executor`.
        settings: settings of the stand-in.

    Returns:
        The process.
    """
    process = spawn_stand_in(kind, settings)
    wait_listening(process)
    return process


def spawn_stand_in(kind: str, settings: dict[str, Any]) -> Process:
    """Start a stand-in; `wait_listening` must be called to set its address.

    Args:
        kind: `store`, `worker` or `executor`.
        settings: settings of the stand-in.

    Returns:
        The process, with an empty address.
    """
    popen = subprocess.Popen(  # noqa: S603 our own program
        [
            sys.executable,
            '-m',
            f'standins.{kind}',
            '--settings',
            json.dumps(settings),
        ],
        stdout=subprocess.PIPE,
        text=True,
        env=_environment(),
    )
    return Process(name=kind, popen=popen, address='')


def wait_listening(process: Process) -> None:
    """Wait until a stand-in listens, and set its address.

    Args:
        process: a stand-in that was just started.

    Raises:
        NotReached: it did not print its ready line.
    """
    output = process.popen.stdout
    line = output.readline() if output else ''
    if not line.startswith('ready '):
        process.kill()
        raise NotReached(f'{process.name} did not start: {line}')
    process.address = line.split()[1]


def start_daemon(settings: dict[str, Any], directory: pathlib.Path) -> Process:
    """Start a daemon without waiting until it serves.

    Args:
        settings: settings of the daemon.
        directory: directory for its settings and standard error.

    Returns:
        The process.
    """
    name = settings['name']
    path = directory / f'{name}.json'
    path.write_text(json.dumps(settings))
    with (directory / f'{name}.err').open('a') as errors:
        popen = subprocess.Popen(  # noqa: S603 our own program
            [sys.executable, '-m', 'jayshore.daemon.main', str(path)],
            stderr=errors,
            text=True,
            env=_environment(),
        )
    return Process(name=name, popen=popen, address=settings['listen'])


def wait_until(
    condition: Callable[[], bool], limit_s: float, what: str
) -> float:
    """Wait for a condition.

    Args:
        condition: polled until it holds; an `OSError` or `HTTPException`
            counts as not yet.
        limit_s: longest wait, in seconds.
        what: description of the condition for the error message.

    Returns:
        How long it took, in seconds.

    Raises:
        NotReached: the condition did not hold in time.
    """
    start = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, HTTPException):
            pass  # noqa: WPS420 polled again
        if time.monotonic() - start > limit_s:
            raise NotReached(f'not met within {limit_s} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


def wait_ready(process: Process) -> None:
    """Wait until a daemon answers its health check.

    Args:
        process: the daemon.
    """
    wait_until(
        lambda: process.call('GET', '/healthz').status == 200,
        _READY_TIMEOUT_S,
        f'{process.name} serves',
    )


def end_all(processes: Iterator[Process] | list[Process]) -> None:
    """Kill the processes that still run, also suspended ones.

    Args:
        processes: processes started by this program.
    """
    running = [process for process in processes if process.is_running]
    for process in running:
        process.resume()
        process.kill()
    for ended in running:
        if ended.popen.stdout:
            ended.popen.stdout.close()


def _encode(content: object) -> bytes:
    return b'' if content is None else json.dumps(content).encode()


def _environment() -> dict[str, str]:
    return {**os.environ, 'PYTHONUNBUFFERED': '1'}
