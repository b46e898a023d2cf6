"""Starts the processes of a benchmark, which print where they listen."""

import contextlib
import dataclasses
import pathlib
import subprocess
import sys
from collections.abc import Iterator

from jayshore.http.client import Address

_READY_PREFIX = 'ready '
_NANOS_PER_S = 1_000_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChildProcess:
    """A started process.

    Attributes:
        address: address on which it listens.
        pid: its process id.
    """

    address: Address
    pid: int


def read_cpu_s(pid: int) -> float:
    """Read the processor time of a process.

    It is read from `schedstat`, which counts nanoseconds. `/proc/<pid>/stat`
    counts in steps of 10 ms, a tenth of what an idle daemon uses in a
    measurement.

    Args:
        pid: a running process with one thread.

    Returns:
        Its processor time since it started, in s.
    """
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / _NANOS_PER_S


def print_ready_line(address: Address) -> None:
    """Print the ready line that `running_module` waits for.

    Args:
        address: address on which the process listens.
    """
    sys.stdout.write(f'{_READY_PREFIX}{address}\n')
    sys.stdout.flush()


@contextlib.contextmanager
def running_module(*command: str) -> Iterator[ChildProcess]:
    """Run a Python module as a process until the context ends.

    The first line that the module prints must be `ready HOST:PORT`.

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
            yield ChildProcess(
                address=Address.parse(line.removeprefix(_READY_PREFIX).strip()),
                pid=child.pid,
            )
        finally:
            child.terminate()
