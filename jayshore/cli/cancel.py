"""`jayshore cancel`: cancel a job."""

import argparse

from jayshore.cli.arguments import (
    TICKET_VARIABLE,
    Commands,
    add_command,
    add_daemon_arguments,
    add_job_arguments,
    read_secret,
)
from jayshore.cli.client import DaemonClient, JobNotFound, NotCancelled
from jayshore.cli.console import Console, ExitCode
from jayshore.outcomes import Refused

_EXAMPLES = """  JAYSHORE_TICKET=... jayshore cancel 5f3c
  jayshore cancel --key-file key 5f3c
"""


def add_parser(commands: Commands) -> None:
    """Register the `cancel` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'cancel',
        summary='cancel a job; it starts nothing more',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(parser)
    add_job_arguments(parser)
    parser.set_defaults(run_remote=run)


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Cancel a job and print the outcome.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    outcome = await client.cancel(
        job_id=arguments.job_id,
        ticket=read_secret(arguments.ticket_file, TICKET_VARIABLE),
    )
    if isinstance(outcome, JobNotFound):
        return console.fail(ExitCode.REFUSED, 'not_found', outcome.job_id)
    if isinstance(outcome, Refused):
        return console.report_refusal(outcome)
    if isinstance(outcome, NotCancelled):
        return console.fail(
            ExitCode.FAILED,
            'not_cancelled',
            f'job {outcome.job_id} is {outcome.state}',
        )
    console.show(text=f'cancelled job {outcome.job_id}', value=outcome)
    return ExitCode.OK
