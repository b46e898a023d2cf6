"""`jayshore explain`: show from log files what happened to one job."""

import argparse
import pathlib
import sys
from collections.abc import Iterator

from jayshore.cli.arguments import Commands, UsageError, add_command
from jayshore.cli.console import Console, ExitCode
from jayshore.report.timeline import (
    LogLine,
    TimelineEntry,
    build_timeline,
    parse_log_lines,
)

_EXAMPLES = """  jayshore explain 5c0e7a21d94b36f8 logs/*.log
  collect-logs | jayshore explain --json 5c0e7a21d94b36f8
"""


def add_parser(commands: Commands) -> None:
    """Register the `explain` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'explain',
        summary='show from log files what happened to a job, and why',
        examples=_EXAMPLES,
    )
    parser.add_argument('job_id', metavar='ID')
    parser.add_argument(
        'files',
        metavar='FILE',
        type=pathlib.Path,
        nargs='*',
        help='log files of all instances; standard input when none is named',
    )
    parser.set_defaults(run_local=run)


def run(arguments: argparse.Namespace, console: Console) -> ExitCode:
    """Print the timeline of a job.

    Args:
        arguments: the parsed arguments.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    timeline = build_timeline(
        _read_log_files(arguments.files), arguments.job_id
    )
    if not timeline:
        return console.fail(
            ExitCode.FAILED,
            'not_found',
            f'no line names {arguments.job_id}',
        )
    console.show(text='\n'.join(map(_format_entry, timeline)), value=timeline)
    return ExitCode.OK


def _read_log_files(files: list[pathlib.Path]) -> Iterator[LogLine]:
    if not files:
        yield from parse_log_lines(sys.stdin)
    for path in files:
        try:
            with path.open(encoding='utf-8', errors='replace') as log_file:
                yield from parse_log_lines(log_file, path.stem)
        except OSError as error:
            raise UsageError(f'{path}: {error.strerror}') from None


def _format_entry(entry: TimelineEntry) -> str:
    return f'{entry.at_ms:>7} ms  {entry.source:<18} {entry.meaning}: ' + (
        entry.details
    )
