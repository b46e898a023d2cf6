"""`jayshore check`: list every fault of a configuration."""

import argparse
import dataclasses
import os
import pathlib

from jayshore.cli.arguments import Commands, UsageError, add_command
from jayshore.cli.check_deployment import check_deployment
from jayshore.cli.console import Console, ExitCode
from jayshore.config.document import Document
from jayshore.config.loading import load_directory
from jayshore.decoding import Fault, Faults

_EXAMPLES = """  jayshore check ./cell
  jayshore check --json ./cell
  jayshore check desired.json --against in-force.json

exit codes for a desired state:
  0  clean, or differences only
  1  warnings
  2  errors, or wrong usage
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
        summary='check a configuration without applying it',
        examples=_EXAMPLES,
    )
    parser.add_argument(
        'path',
        metavar='PATH',
        type=pathlib.Path,
        help='configuration directory, or file with a desired state',
    )
    parser.add_argument(
        '--against',
        metavar='FILE',
        type=pathlib.Path,
        help='desired state in force; its differences are shown',
    )
    parser.add_argument(
        '--format',
        metavar='MODULE',
        type=pathlib.Path,
        help='Python file that decodes a desired state; default:'
        ' platform/desired_state_check.py of the source tree',
    )
    parser.set_defaults(run_local=run)


def run(arguments: argparse.Namespace, console: Console) -> ExitCode:
    """Check a directory or a desired state, and print what was found.

    Args:
        arguments: the parsed arguments.
        console: receives results and errors.

    Returns:
        The exit code.

    Raises:
        UsageError: an option for desired states is used with a directory.
    """
    if os.path.isfile(arguments.path):
        return check_deployment(
            arguments.path,
            console,
            against=arguments.against,
            format_path=arguments.format,
        )
    if arguments.against is not None or arguments.format is not None:
        raise UsageError('--against and --format need a file to check')
    loaded = load_checked(arguments.path, console)
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
