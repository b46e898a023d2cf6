"""`jayshore status`: show the state of a daemon and of its known peers."""

import argparse
from collections.abc import Iterator

from jayshore.cli.arguments import Commands, add_command, add_daemon_arguments
from jayshore.cli.client import DaemonClient, DaemonStatus
from jayshore.cli.console import Console, ExitCode
from jayshore.clock import Millis
from jayshore.outcomes import Refused

_EXAMPLES = """  jayshore status
  jayshore status --daemon http://127.0.0.1:7300 --json
"""


def add_parser(commands: Commands) -> None:
    """Register the `status` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'status',
        summary='show the state of a daemon',
        examples=_EXAMPLES,
    )
    add_daemon_arguments(parser)
    parser.set_defaults(run_remote=run)


async def run(
    arguments: argparse.Namespace, client: DaemonClient, console: Console
) -> ExitCode:
    """Print the status of a daemon.

    Args:
        arguments: the parsed arguments.
        client: client of the daemon.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    status = await client.read_status()
    if isinstance(status, Refused):
        return console.report_refusal(status)
    console.show(text='\n'.join(_format_lines(status)), value=status)
    return ExitCode.OK


def _format_lines(status: DaemonStatus) -> Iterator[str]:
    yield f'daemon {status.name} in domain {status.domain}'
    leader = status.leader or 'none'
    yield f'leader of the domain: {leader}, epoch {status.epoch}'
    freshness = 'fresh' if status.is_fresh else 'not fresh'
    age = _format_age(status.evidence_age_ms)
    yield f'configuration: version {status.config_version}, {freshness}, {age}'
    if status.is_draining:
        yield 'draining'
    for peer in status.peers:
        reachable = 'reachable' if peer.is_reachable else 'not reachable'
        yield (
            f'peer {peer.name} in domain {peer.domain}: {reachable}, '
            f'version {peer.config_version}, '
            f'{_format_age(peer.evidence_age_ms)}'
        )


def _format_age(age_ms: Millis | None) -> str:
    return 'no evidence' if age_ms is None else f'evidence {age_ms} ms old'
