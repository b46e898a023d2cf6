"""`jayshore wait`: wait until a job has ended and print its results."""

import argparse
import contextlib
import types
from collections.abc import Iterator

from jayshore.cli.arguments import (
    TICKET_VARIABLE,
    Commands,
    add_command,
    add_daemon_arguments,
    add_job_arguments,
    parse_positive_int,
    read_secret,
)
from jayshore.cli.client import (
    DaemonClient,
    JobNotFound,
    JobOutcome,
    JobView,
    JobViewState,
)
from jayshore.cli.console import Console, ExitCode
from jayshore.clock import Clock, Millis, MonotonicClock
from jayshore.outcomes import Refused

# Below the idle timeout of common load balancers, which is 60 s.
_MAX_POLL_MS = Millis(20_000)
_EXAMPLES = """  JAYSHORE_TICKET=... jayshore wait 5f3c
  jayshore wait --ticket-file ticket --timeout-ms 60000 5f3c
"""
_FAILURE_EXIT_CODES = types.MappingProxyType(
    {
        JobViewState.FAILED: ExitCode.FAILED,
        JobViewState.CANCELLED: ExitCode.FAILED,
        JobViewState.UNKNOWN: ExitCode.UNKNOWN,
    }
)


def add_parser(commands: Commands) -> None:
    """Register the `wait` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'wait',
        summary='wait until a job has ended and show its results',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(parser)
    add_job_arguments(parser)
    parser.add_argument(
        '--timeout-ms',
        metavar='MS',
        type=parse_positive_int,
        help='give up after this time; default: wait without limit',
    )
    parser.set_defaults(run_remote=run, clock=MonotonicClock())


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Wait until a job has ended and print its results.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(console.progress, '')
        outcome = await _poll_job(arguments, client, console)
    if isinstance(outcome, JobNotFound):
        return console.fail(ExitCode.REFUSED, 'not_found', outcome.job_id)
    if isinstance(outcome, Refused):
        return console.report_refusal(outcome)
    console.show(text='\n'.join(_format_lines(outcome)), value=outcome)
    if not outcome.state.is_final:
        return console.fail(
            ExitCode.TIMED_OUT,
            'timed_out',
            f'job {outcome.job_id} goes on',
        )
    failure = _FAILURE_EXIT_CODES.get(outcome.state)
    if failure is not None:
        return console.fail(
            failure,
            f'job_{outcome.state}',
            outcome.detail or f'job {outcome.job_id}',
        )
    return ExitCode.OK


async def _poll_job(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> JobOutcome:
    clock: Clock = arguments.clock
    ticket = read_secret(arguments.ticket_file, TICKET_VARIABLE)
    started_at = clock.now()
    while True:
        remaining_ms = _MAX_POLL_MS
        if arguments.timeout_ms is not None:
            remaining_ms = Millis(
                started_at + arguments.timeout_ms - clock.now()
            )
        outcome = await client.read_job(
            job_id=arguments.job_id,
            ticket=ticket,
            wait_ms=Millis(max(0, min(remaining_ms, _MAX_POLL_MS))),
        )
        if not isinstance(outcome, JobView) or outcome.state.is_final:
            return outcome
        if remaining_ms <= 0:
            return outcome
        console.progress(_format_progress(outcome))


def _format_progress(job: JobView) -> str:
    return (
        f'job {job.job_id}: {job.state}, '
        f'{job.finished_tasks} of {job.tasks} tasks finished'
    )


def _format_lines(job: JobView) -> Iterator[str]:
    yield _format_progress(job)
    yield from job.results
