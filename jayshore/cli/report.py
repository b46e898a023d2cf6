"""`jayshore report burn`: show how fast teams spend their error budgets."""

import argparse
import pathlib

import msgspec

from jayshore.cli.arguments import (
    Commands,
    Parser,
    UsageError,
    add_command,
    add_daemon_arguments,
)
from jayshore.cli.client import DaemonClient
from jayshore.cli.console import EXIT_CODES, Console, ExitCode
from jayshore.outcomes import Refused
from jayshore.report.burn import BurnReport, compute_burn
from jayshore.report.render import plot_burn, render_table

_EXAMPLES = """  jayshore report burn
  jayshore report burn --plot burn.svg
"""


def add_parser(commands: Commands) -> None:
    """Register the `report` command with its kinds of reports.

    Args:
        commands: the subparsers to add it to.
    """
    parser = commands.add_parser(
        'report',
        help='show a report',
        description='show a report',
        epilog=f'examples:\n{_EXAMPLES}\n{EXIT_CODES}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    kinds = parser.add_subparsers(
        metavar='KIND', required=True, parser_class=Parser
    )
    burn = add_command(
        kinds,
        'burn',
        summary='show burn rates over 5 min, 30 min, 1 h and 6 h',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(burn)
    burn.add_argument(
        '--plot',
        metavar='FILE',
        type=pathlib.Path,
        help='also draw a plot (.png, .svg); needs the extra `plot`',
    )
    burn.set_defaults(run_remote=run)


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Print the burn report, and plot it if a file is given.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    view = await client.read_slo()
    if isinstance(view, Refused):
        return console.report_refusal(view)
    report = compute_burn(
        snapshot=view.snapshot, objectives=view.objectives, now=view.now_ms
    )
    if arguments.plot is not None:
        _plot(report, arguments.plot)
    console.show(text=render_table(report), value=msgspec.to_builtins(report))
    return ExitCode.OK


def _plot(report: BurnReport, path: pathlib.Path) -> None:
    try:
        plot_burn(report, path)
    except ImportError as error:
        raise UsageError('--plot needs the extra `plot`') from error
    except (OSError, ValueError) as error:
        raise UsageError(f'cannot write {path}: {error}') from error
