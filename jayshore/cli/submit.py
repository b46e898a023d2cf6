"""`jayshore submit`: submit a job from a JSON file."""

import argparse
import pathlib
import secrets

from jayshore.cli.arguments import (
    Commands,
    UsageError,
    add_command,
    add_daemon_arguments,
    read_file,
)
from jayshore.cli.client import AnswerLostError, DaemonClient
from jayshore.cli.console import Console, ExitCode
from jayshore.decoding import Faults, parse_json
from jayshore.outcomes import Refused

_IDEMPOTENCY_KEY_BYTES = 16
_EXAMPLES = """  jayshore submit relabel.json
  jayshore submit --idempotency-key night-2026-12-04 relabel.json
"""


def add_parser(commands: Commands) -> None:
    """Register the `submit` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'submit',
        summary='submit a job; its id and ticket are written to stdout',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(parser)
    parser.add_argument('specification', metavar='FILE', type=pathlib.Path)
    parser.add_argument(
        '--idempotency-key',
        metavar='TEXT',
        help='submitting again with it yields the same job; default: random',
    )
    parser.set_defaults(run_remote=run)


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Submit a job and print its id and ticket.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.

    Raises:
        UsageError: the file is not valid JSON.
    """
    specification = read_file(arguments.specification)
    parsed = parse_json(specification, file=str(arguments.specification))
    if isinstance(parsed, Faults):
        raise UsageError(str(parsed.faults[0]))
    key = arguments.idempotency_key or secrets.token_hex(_IDEMPOTENCY_KEY_BYTES)
    try:
        outcome = await client.submit(
            specification=specification, idempotency_key=key
        )
    except AnswerLostError as error:
        return console.fail(
            ExitCode.UNKNOWN,
            'answer_lost',
            f'{error}; submit again with --idempotency-key {key}',
        )
    if isinstance(outcome, Refused):
        return console.report_refusal(outcome)
    console.show(
        text=f'job {outcome.job_id}\nticket {outcome.ticket}', value=outcome
    )
    return ExitCode.OK
