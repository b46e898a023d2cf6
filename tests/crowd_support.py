"""Crowds of untrusted clients, and bounds on the process that they meet.

Nothing here measures time or counts served requests, so that the result does
not depend on the speed of the machine.
"""

import contextlib
import dataclasses
import fcntl
import os
import pathlib
import selectors
import socket
import tempfile
import time
from collections.abc import Callable, Iterator

HOST = '127.0.0.1'

ANSWER_LIMIT_S = 20
"""How long an ordinary caller repeats its request, in seconds.

It separates a process that answers from one that hangs, and is many times
what an answer takes.
"""

_QUIET_S = 1
_LONGEST_S = 10
_POLL_S = 0.02
_SEND_BYTES = 65_536
_RECEIVE_BYTES = 65_536
_BYTES_PER_KB = 1024
_LOCK = pathlib.Path(tempfile.gettempdir()) / f'jayshore-crowds-{os.getuid()}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrowdCase:
    """What each client of a crowd sends.

    Attributes:
        name: name of the case.
        clients: number of clients.
        payload: bytes that each client sends.
        reads: whether the clients read their responses.
        drip: a byte that each client goes on sending; empty for none.
    """

    name: str
    clients: int
    payload: bytes
    reads: bool = True
    drip: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessBounds:
    """Bounds on a process: what its settings give it.

    Attributes:
        memory_mb: largest resident memory ever, in millions of bytes.
        descriptors: most open file descriptors.
    """

    memory_mb: int
    descriptors: int


class ProcessWatch:
    """Reads memory and descriptors of a process that a test started."""

    def __init__(self, pid: int) -> None:
        """Watch a process.

        Args:
            pid: id of the process.
        """
        self._directory = pathlib.Path('/proc') / str(pid)
        self.most_descriptors = 0

    def count_descriptors(self) -> None:
        """Note the number of open descriptors if it is the highest so far."""
        with contextlib.suppress(OSError):
            count = len(os.listdir(self._directory / 'fd'))
            self.most_descriptors = max(self.most_descriptors, count)

    def peak_memory_mb(self) -> float:
        """Read the largest resident memory since the start of the process.

        Returns:
            Millions of bytes.

        Raises:
            ProcessLookupError: the process has ended.
        """
        status = (self._directory / 'status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * _BYTES_PER_KB / 1_000_000
        raise ProcessLookupError(f'{self._directory} has ended')


class Crowd:
    """Context manager of many clients that one thread serves."""

    def __init__(self, *, port: int, case: CrowdCase, watch: ProcessWatch):
        """Describe a crowd; nothing is connected yet.

        Args:
            port: port of the process.
            case: what the clients send.
            watch: counts descriptors while the clients send.
        """
        self._port = port
        self._case = case
        self._watch = watch
        self._left: dict[socket.socket, memoryview] = {}
        self._selector = selectors.DefaultSelector()

    def __enter__(self) -> 'Crowd':
        """Connect all clients."""
        for _ in range(self._case.clients):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((HOST, self._port))
            self._left[client] = memoryview(self._case.payload)
            self._selector.register(
                client, selectors.EVENT_READ | selectors.EVENT_WRITE
            )
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for client in self._left:
            client.close()
        self._selector.close()

    def send(self) -> None:
        """Send until nothing has moved for a second, or for ten seconds."""
        now = time.monotonic()
        end, moved_at = now + _LONGEST_S, now
        while now < end and now - moved_at < _QUIET_S:
            if self._pump():
                moved_at = now
            self._watch.count_descriptors()
            now = time.monotonic()

    def drip(self) -> None:
        """Send one more byte from each client."""
        for client in self._left:
            with contextlib.suppress(OSError):
                client.send(self._case.drip)

    def _pump(self) -> bool:
        moved = False
        for key, events in self._selector.select(_POLL_S):
            client = key.fileobj
            assert isinstance(client, socket.socket)
            try:
                moved |= self._serve(client, events)
            except BlockingIOError:
                continue
            except OSError:
                self._selector.unregister(client)
        return moved

    def _serve(self, client: socket.socket, events: int) -> bool:
        if events & selectors.EVENT_READ and self._case.reads:
            if not client.recv(_RECEIVE_BYTES):
                self._selector.unregister(client)
            return True
        rest = self._left[client]
        if events & selectors.EVENT_WRITE and rest:
            self._left[client] = rest[client.send(rest[:_SEND_BYTES]) :]
            return True
        wanted = selectors.EVENT_READ if self._case.reads else 0
        if not rest and wanted:
            self._selector.modify(client, wanted)
        elif not rest:
            self._selector.unregister(client)
        return False


@contextlib.contextmanager
def one_crowd_at_a_time() -> Iterator[None]:
    """Keep two crowds from running side by side on one machine.

    Yields:
        Nothing, while the lock is held.
    """
    with _LOCK.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def meet_crowd(
    *,
    port: int,
    pid: int,
    case: CrowdCase,
    bounds: ProcessBounds,
    is_answered: Callable[[], bool],
) -> None:
    """Assert that a process stays within its bounds and answers a caller.

    Args:
        port: port that the crowd connects to.
        pid: id of the process.
        case: what the crowd sends.
        bounds: bounds on the process.
        is_answered: sends one ordinary request and tells whether it was
            answered.
    """
    watch = ProcessWatch(pid)
    with Crowd(port=port, case=case, watch=watch) as crowd:
        crowd.send()
        answered = False
        end = time.monotonic() + ANSWER_LIMIT_S
        while not answered and time.monotonic() < end:
            if case.drip:
                crowd.drip()
            answered = is_answered()
            watch.count_descriptors()
            time.sleep(_POLL_S)
        peak_mb = watch.peak_memory_mb()
    print(
        f'{case.name}: {peak_mb:.1f} MB of {bounds.memory_mb},',
        f'{watch.most_descriptors} descriptors of {bounds.descriptors},',
        f'answered {answered}',
    )
    assert peak_mb <= bounds.memory_mb
    assert watch.most_descriptors <= bounds.descriptors
    assert answered
