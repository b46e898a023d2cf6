"""Processes of a measurement, each of which prints where it listens."""

import contextlib
import dataclasses
import pathlib
import subprocess
import sys
from collections.abc import Iterator

from jayshore.http.client import Address

_READY = 'ready '
_NANOS_PER_S = 1_000_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Child:
    """A started process.

    Attributes:
        address: where it listens.
        pid: its process id.
    """

    address: Address
    pid: int


def read_cpu_s(pid: int) -> float:
    """Read the processor time of a process.

    `/proc/<pid>/stat` counts in steps of 10 ms, which is a tenth of what an
    idle daemon uses in a measurement; `schedstat` counts nanoseconds.

    Args:
        pid: a running process with one thread.

    Returns:
        Its processor time since it started, in s.
    """
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / _NANOS_PER_S


def announce(address: Address) -> None:
    """Print the line by which a process tells where it listens.

    Args:
        address: where it listens.
    """
    sys.stdout.write(f'{_READY}{address}\n')
    sys.stdout.flush()


@contextlib.contextmanager
def started(*command: str) -> Iterator[Child]:
    """Run a Python module as a process that prints where it listens.

    Args:
        command: module name and arguments.

    Yields:
        The process.
    """
    with subprocess.Popen(
        [sys.executable, '-m', *command], stdout=subprocess.PIPE, text=True
    ) as child:
        try:  # noqa: WPS501
            output = child.stdout
            line = output.readline() if output else ''
            yield Child(
                address=Address.parse(line.removeprefix(_READY).strip()),
                pid=child.pid,
            )
        finally:
            child.terminate()
