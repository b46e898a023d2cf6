"""`jayshore check`: list every fault of a configuration directory."""

import argparse
import dataclasses
import pathlib

from jayshore.cli.arguments import Commands, add_command
from jayshore.cli.console import Console, ExitCode
from jayshore.config.document import Document
from jayshore.config.loading import load_directory
from jayshore.decoding import Fault, Faults

_EXAMPLES = """  jayshore check ./cell
  jayshore check --json ./cell
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckResult:
    """Result of the check, as written with `--json`.

    Attributes:
        is_valid: whether the directory has no faults.
        digest: SHA-256 of the document, None when it is invalid.
        bytes: size of the document in bytes, None when it is invalid.
        faults: all faults that were found.
    """

    is_valid: bool
    digest: str | None = None
    bytes: int | None = None
    faults: tuple[Fault, ...] = ()


def add_parser(commands: Commands) -> None:
    """Register the `check` command and its arguments.

    Args:
        commands: the subparsers to add it to.
    """
    parser = add_command(
        commands,
        'check',
        summary='check a configuration directory without applying it',
        examples=_EXAMPLES,
    )
    parser.add_argument('directory', metavar='DIR', type=pathlib.Path)
    parser.set_defaults(run_local=run)


def run(arguments: argparse.Namespace, console: Console) -> ExitCode:
    """Check a directory and print its digest or its faults.

    Args:
        arguments: the parsed arguments.
        console: receives results and errors.

    Returns:
        The exit code.
    """
    loaded = load_checked(arguments.directory, console)
    if isinstance(loaded, ExitCode):
        return loaded
    size = len(loaded.to_bytes())
    console.show(
        text=f'valid: {size} bytes, digest {loaded.digest}',
        value=CheckResult(is_valid=True, digest=loaded.digest, bytes=size),
    )
    return ExitCode.OK


def load_checked(
    directory: pathlib.Path, console: Console
) -> Document | ExitCode:
    """Load a configuration directory, and print its faults if it has any.

    Args:
        directory: the configuration directory.
        console: receives results and errors.

    Returns:
        The document, or the exit code when there are faults.
    """
    loaded = load_directory(directory)
    if not isinstance(loaded, Faults):
        return loaded
    console.show(
        text='\n'.join(map(str, loaded.faults)),
        value=CheckResult(is_valid=False, faults=loaded.faults),
    )
    return console.fail(
        ExitCode.INVALID,
        'invalid_configuration',
        f'faults in {directory}: {len(loaded.faults)}',
    )
