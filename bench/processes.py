"""Processes of a measurement, each of which prints where it listens."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

from jayshore.http.client import Address

_READY = 'ready '


def announce(address: Address) -> None:
    """Print the line by which a process tells where it listens.

    Args:
        address: where it listens.
    """
    sys.stdout.write(f'{_READY}{address}\n')
    sys.stdout.flush()


@contextlib.contextmanager
def started(*command: str) -> Iterator[Address]:
    """Run a Python module as a process that prints where it listens.

    Args:
        command: module name and arguments.

    Yields:
        The address of the process.
    """
    with subprocess.Popen(
        [sys.executable, '-m', *command], stdout=subprocess.PIPE, text=True
    ) as child:
        try:  # noqa: WPS501
            output = child.stdout
            line = output.readline() if output else ''
            yield Address.parse(line.removeprefix(_READY).strip())
        finally:
            child.terminate()
