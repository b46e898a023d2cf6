"""`jayshore wait`: wait until a job has ended and show its results."""

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

# Shorter than the idle timeout of common load balancers, 60 s.
_POLL_MS = Millis(20_000)
_EXAMPLES = """  JAYSHORE_TICKET=... jayshore wait 5f3c
  jayshore wait --ticket-file ticket --timeout-ms 60000 5f3c
"""
_FAILURES = types.MappingProxyType(
    {
        JobViewState.FAILED: ExitCode.FAILED,
        JobViewState.CANCELLED: ExitCode.FAILED,
        JobViewState.UNKNOWN: ExitCode.UNKNOWN,
    }
)


def add_parser(commands: Commands) -> None:
    """Add the command.

    Args:
        commands: where to add it.
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
    """Wait for a job.

    Args:
        arguments: the parsed arguments.
        client: the daemon.
        console: where to write.

    Returns:
        The exit code.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(console.progress, '')
        outcome = await _wait(arguments, client, console)
    if isinstance(outcome, JobNotFound):
        return console.fail(ExitCode.REFUSED, 'not_found', outcome.job_id)
    if isinstance(outcome, Refused):
        return console.report_refusal(outcome)
    console.show(text='\n'.join(_lines(outcome)), value=outcome)
    if not outcome.state.is_final:
        return console.fail(
            ExitCode.TIMED_OUT, 'timed_out', f'job {outcome.job_id} goes on'
        )
    failure = _FAILURES.get(outcome.state)
    if failure is not None:
        return console.fail(
            failure,
            f'job_{outcome.state}',
            outcome.detail or f'job {outcome.job_id}',
        )
    return ExitCode.OK


async def _wait(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> JobOutcome:
    clock: Clock = arguments.clock
    ticket = read_secret(arguments.ticket_file, TICKET_VARIABLE)
    started = clock.now()
    while True:
        left = _POLL_MS
        if arguments.timeout_ms is not None:
            left = Millis(started + arguments.timeout_ms - clock.now())
        outcome = await client.read_job(
            job_id=arguments.job_id,
            ticket=ticket,
            wait_ms=Millis(max(0, min(left, _POLL_MS))),
        )
        if not isinstance(outcome, JobView) or outcome.state.is_final:
            return outcome
        if left <= 0:
            return outcome
        console.progress(_progress(outcome))


def _progress(job: JobView) -> str:
    return (
        f'job {job.job_id}: {job.state}, '
        f'{job.finished_tasks} of {job.tasks} tasks finished'
    )


def _lines(job: JobView) -> Iterator[str]:
    yield _progress(job)
    yield from job.results
