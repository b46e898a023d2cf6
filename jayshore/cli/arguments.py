"""Parser and arguments that several commands share."""

import argparse
import os
import pathlib
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeAlias

from jayshore.cli.client import DaemonClient
from jayshore.cli.console import EXIT_CODES, Console, ExitCode
from jayshore.outcomes import JayshoreError

DEFAULT_DAEMON = 'http://127.0.0.1:7300'
DAEMON_VARIABLE = 'JAYSHORE_DAEMON'
KEY_VARIABLE = 'JAYSHORE_KEY'
TICKET_VARIABLE = 'JAYSHORE_TICKET'

Commands: TypeAlias = 'argparse._SubParsersAction[Parser]'
LocalCommand: TypeAlias = Callable[[argparse.Namespace, Console], ExitCode]
RemoteCommand: TypeAlias = Callable[
    [argparse.Namespace, DaemonClient, Console],
    Coroutine[Any, Any, ExitCode],
]


class UsageError(JayshoreError):
    """The arguments are invalid, or a file that they name is unusable."""


class Parser(argparse.ArgumentParser):
    """Parser that raises an exception instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Report invalid arguments.

        Args:
            message: the fault.

        Raises:
            UsageError: always.
        """
        raise UsageError(f'{message}; see {self.prog} --help')


def add_command(
    commands: Commands, name: str, *, summary: str, examples: str
) -> Parser:
    """Add a command with its help, examples and exit codes.

    Args:
        commands: the subparsers to add it to.
        name: name of the command.
        summary: description in one line.
        examples: example calls, one per line.

    Returns:
        The parser of the command.
    """
    parser = commands.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f'examples:\n{examples}\n{EXIT_CODES}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='write results and errors as JSON, one value per line',
    )
    return parser


def add_daemon_arguments(parser: Parser) -> None:
    """Add the arguments that select the daemon and the key.

    Keys are not accepted as arguments, because other users of the host can
    list the arguments of processes.

    Args:
        parser: the parser of a command.
    """
    parser.add_argument(
        '--daemon',
        metavar='URL',
        default=os.environ.get(DAEMON_VARIABLE, DEFAULT_DAEMON),
        help=f'base URL; default: ${DAEMON_VARIABLE} or {DEFAULT_DAEMON}',
    )
    parser.add_argument(
        '--key-file',
        metavar='FILE',
        type=pathlib.Path,
        help=f'file that holds the bearer key; default: ${KEY_VARIABLE}',
    )


def add_job_arguments(parser: Parser) -> None:
    """Add the arguments that select a job.

    Args:
        parser: the parser of a command.
    """
    parser.add_argument('job_id', metavar='JOB_ID')
    parser.add_argument(
        '--ticket-file',
        metavar='FILE',
        type=pathlib.Path,
        help=f"file that holds the job's ticket; default: ${TICKET_VARIABLE};"
        ' without a ticket the key is used',
    )


def read_secret(path: pathlib.Path | None, variable: str) -> str:
    """Read a key or ticket from a file or from the environment.

    Args:
        path: the file, None to use the environment.
        variable: name of the environment variable.

    Returns:
        The secret without surrounding white space, empty when none is given.
    """
    if path is None:
        return os.environ.get(variable, '').strip()
    return read_file(path).decode('utf-8', 'replace').strip()


def read_file(path: pathlib.Path) -> bytes:
    """Read a file that is named on the command line.

    Args:
        path: path of the file.

    Returns:
        Its content.

    Raises:
        UsageError: the file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f'cannot read {path}: {error.strerror}') from error


def parse_positive_int(text: str) -> int:
    """Parse a whole number above 0; a `type` function for argparse.

    Args:
        text: the argument.

    Returns:
        The number.

    Raises:
        ArgumentTypeError: the text is not a whole number above 0.
    """
    if not text.isdecimal() or int(text) == 0:
        raise argparse.ArgumentTypeError(
            f'expected a whole number above 0, got {text!r}'
        )
    return int(text)
