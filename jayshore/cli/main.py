"""Entry point of the `jayshore` command."""

import argparse
import contextlib
import sys
from collections.abc import Callable, Sequence
from typing import TypeAlias

import curio

from jayshore.cli import (
    apply,
    cancel,
    check,
    explain,
    new_key,
    report,
    status,
    submit,
    wait,
)
from jayshore.cli.arguments import (
    KEY_VARIABLE,
    Parser,
    RemoteCommand,
    UsageError,
    read_secret,
)
from jayshore.cli.client import (
    DaemonCallError,
    DaemonClient,
    DaemonUnreachableError,
)
from jayshore.cli.connection import ConnectionSettings, connect
from jayshore.cli.console import EXIT_CODES, Console, ExitCode

ClientFactory: TypeAlias = Callable[[ConnectionSettings], DaemonClient]

_COMMAND_MODULES = (
    check,
    apply,
    status,
    submit,
    wait,
    cancel,
    report,
    explain,
    new_key,
)


def main() -> None:
    """Run the command line of the process and exit with its exit code."""
    console = Console(stdout=sys.stdout, stderr=sys.stderr)
    try:
        code = execute(sys.argv[1:], console=console, client_factory=connect)
    except KeyboardInterrupt:
        code = console.fail(ExitCode.INTERRUPTED, 'interrupted', 'by a signal')
    sys.exit(code.value)


def execute(
    argv: Sequence[str], *, console: Console, client_factory: ClientFactory
) -> ExitCode:
    """Run a command and report its failure as one line and an exit code.

    Args:
        argv: arguments without the name of the program.
        console: receives results and errors.
        client_factory: creates the client of the daemon.

    Returns:
        The exit code.
    """
    console = Console(
        stdout=console.stdout,
        stderr=console.stderr,
        as_json='--json' in argv,
    )
    try:
        return _run(build_parser().parse_args(argv), console, client_factory)
    except UsageError as error:
        return console.fail(ExitCode.USAGE, 'usage', str(error))
    except DaemonUnreachableError as error:
        return console.fail(ExitCode.UNAVAILABLE, error.kind, str(error))
    except DaemonCallError as error:
        return console.fail(ExitCode.UNKNOWN, error.kind, str(error))


def build_parser() -> Parser:
    """Build the parser of the command line.

    Returns:
        The parser with all commands.
    """
    parser = Parser(
        prog='jayshore',
        description='Operate a jayshore cell.',
        epilog=f'{EXIT_CODES}\nEach command has its own --help.',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(
        metavar='COMMAND', required=True, parser_class=Parser
    )
    for module in _COMMAND_MODULES:
        module.add_parser(commands)
    return parser


def _run(
    arguments: argparse.Namespace,
    console: Console,
    client_factory: ClientFactory,
) -> ExitCode:
    if hasattr(arguments, 'run_local'):
        return ExitCode(arguments.run_local(arguments, console))
    settings = ConnectionSettings(
        url=arguments.daemon,
        bearer=read_secret(arguments.key_file, KEY_VARIABLE),
    )
    return ExitCode(
        curio.run(
            _run_remote,
            arguments.run_remote,
            arguments,
            client_factory(settings),
            console,
            taskcls=curio.task.ContextTask,
        )
    )


async def _run_remote(
    command: RemoteCommand,
    arguments: argparse.Namespace,
    client: DaemonClient,
    console: Console,
) -> ExitCode:
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(client.close)
        return await command(arguments, client, console)
