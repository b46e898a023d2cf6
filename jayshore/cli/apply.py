"""`jayshore apply`: replace the configuration in force by a directory."""

import argparse
import pathlib

from jayshore.cli.arguments import Commands, add_command, add_daemon_arguments
from jayshore.cli.check import load_checked
from jayshore.cli.client import (
    AnswerLostError,
    Applied,
    ApplyOutcome,
    ConfigView,
    DaemonClient,
    VersionConflict,
)
from jayshore.cli.console import Console, ExitCode
from jayshore.config.document import Document

_EXAMPLES = """  jayshore status
  jayshore apply --expect-version 41 ./cell
"""


def add_parser(commands: Commands) -> None:
    """Register the `apply` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'apply',
        summary='put a configuration directory in force, as a whole',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(parser)
    parser.add_argument('directory', metavar='DIR', type=pathlib.Path)
    # Required: a version that is read at the time of the call would overwrite
    # what another operator applied since this one last read the configuration.
    parser.add_argument(
        '--expect-version',
        metavar='N',
        type=int,
        required=True,
        help='the version that you last saw, 0 for none; see jayshore status',
    )
    parser.set_defaults(run_remote=run)


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Check a directory and apply it unless it has faults.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    document = load_checked(arguments.directory, console)
    if isinstance(document, ExitCode):
        return document
    outcome = await _apply(client, document, arguments.expect_version)
    if isinstance(outcome, Applied):
        console.show(
            text=f'applied as version {outcome.version}', value=outcome
        )
        return ExitCode.OK
    if isinstance(outcome, VersionConflict):
        return console.fail(
            ExitCode.CONFLICT,
            'conflict',
            f'version {outcome.version} is in force, nothing was applied',
        )
    return console.report_refusal(outcome)


async def _apply(
    client: DaemonClient, document: Document, expect_version: int
) -> ApplyOutcome:
    """Apply a document and resolve a lost answer.

    After a lost answer, the configuration in force is read: if it has a newer
    version and is the same document, it counts as applied.

    Args:
        client: client of the daemon.
        document: the configuration.
        expect_version: the version that it replaces.

    Returns:
        The outcome.

    Raises:
        AnswerLostError: the document was not found in force, but may still take
            effect.
    """
    try:
        return await client.apply_config(
            document=document, expect_version=expect_version
        )
    except AnswerLostError:
        found = await client.read_config()
        if isinstance(found, ConfigView) and found.version > expect_version:
            if found.document == document:
                return Applied(version=found.version)
        raise
