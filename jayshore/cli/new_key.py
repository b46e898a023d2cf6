"""`jayshore new-key`: generate a bearer key and its configuration entry."""

import argparse
import dataclasses

import msgspec

from jayshore.cli.arguments import Commands, UsageError, add_command
from jayshore.cli.console import Console, ExitCode
from jayshore.config.keys import generate_key
from jayshore.config.model import Key, Name
from jayshore.decoding import Faults, convert_strictly

_EXAMPLES = """  jayshore new-key ridge
  jayshore new-key --json ridge
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewKeyResult:
    """Result of the command, as written with `--json`.

    Attributes:
        bearer: the secret bearer key for the team.
        entry: the entry for `keys.json`, without the secret.
    """

    bearer: str
    entry: Key


def add_parser(commands: Commands) -> None:
    """Register the `new-key` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'new-key',
        summary='generate a key; only its digest goes into keys.json',
        examples=_EXAMPLES,
    )
    parser.add_argument('team', metavar='TEAM')
    parser.set_defaults(run_local=run)


def run(arguments: argparse.Namespace, console: Console) -> ExitCode:
    """Generate a bearer key and print it with its entry for `keys.json`.

    Args:
        arguments: the parsed arguments.
        console: receives the result; the secret goes to stdout only.

    Returns:
        The exit code.

    Raises:
        UsageError: the name of the team is malformed.
    """
    team = convert_strictly(arguments.team, Name)
    if isinstance(team, Faults):
        raise UsageError(f'malformed name of a team: {arguments.team!r}')
    generated = generate_key(arguments.team)
    entry = msgspec.json.encode(generated.entry).decode()
    console.show(
        text=f'bearer key: {generated.bearer}\nentry for keys.json: {entry}',
        value=NewKeyResult(bearer=str(generated.bearer), entry=generated.entry),
    )
    return ExitCode.OK
