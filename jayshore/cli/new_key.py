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
    """The result as JSON.

    Attributes:
        bearer: given to the team.
        entry: put into `keys.json`.
    """

    bearer: str
    entry: Key


def add_parser(commands: Commands) -> None:
    """Add the command.

    Args:
        commands: where to add it.
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
    """Generate a key.

    Args:
        arguments: the parsed arguments.
        console: where to write; the secret is written to stdout only.

    Returns:
        The exit code.

    Raises:
        UsageError: the name of the team is malformed.
    """
    team = convert_strictly(arguments.team, Name)
    if isinstance(team, Faults):
        raise UsageError(f'malformed name of a team: {arguments.team!r}')
    made = generate_key(arguments.team)
    entry = msgspec.json.encode(made.entry).decode()
    console.show(
        text=f'bearer key: {made.bearer}\nentry for keys.json: {entry}',
        value=NewKeyResult(bearer=str(made.bearer), entry=made.entry),
    )
    return ExitCode.OK
