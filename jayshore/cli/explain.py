"""`jayshore explain`: what happened to one job, from log files."""

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
    """Add the command.

    Args:
        commands: where to add it.
    """
    parser = add_command(
        commands,
        'explain',
        summary='tell from log files what happened to a job, and why',
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
    """Tell a story.

    Args:
        arguments: the parsed arguments.
        console: where to write.

    Returns:
        The exit code.
    """
    story = build_timeline(_read(arguments.files), arguments.job_id)
    if not story:
        return console.fail(
            ExitCode.FAILED,
            'not_found',
            f'no line names {arguments.job_id}',
        )
    console.show(text='\n'.join(map(_format, story)), value=story)
    return ExitCode.OK


def _read(files: list[pathlib.Path]) -> Iterator[LogLine]:
    if not files:
        yield from parse_log_lines(sys.stdin)
    for path in files:
        try:
            with path.open(encoding='utf-8', errors='replace') as rows:
                yield from parse_log_lines(rows, path.stem)
        except OSError as error:
            raise UsageError(f'{path}: {error.strerror}') from None


def _format(line: TimelineEntry) -> str:
    return f'{line.at_ms:>7} ms  {line.source:<18} {line.meaning}: ' + (
        line.details
    )
