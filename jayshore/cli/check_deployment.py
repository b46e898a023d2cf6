"""Checks a desired state of a deployment for `jayshore check`."""

import dataclasses
import importlib
import os
import pathlib
import sys
import types
from typing import Final

import jayshore
from jayshore.cli.arguments import UsageError, read_file
from jayshore.cli.console import Console, ExitCode
from jayshore.fleet.configcheck import ConfigFormat, check_draft
from jayshore.fleet.findings import Finding, Severity
from jayshore.fleet.model import FleetConfig

_DEFAULT_FORMAT: Final = (
    pathlib.Path(jayshore.__file__).resolve().parent.parent
    / 'platform'
    / 'desired_state_check.py'
)
_CODES: Final = types.MappingProxyType(
    {
        Severity.ERROR: ExitCode.USAGE,
        Severity.WARNING: ExitCode.FAILED,
        Severity.NOTE: ExitCode.OK,
    }
)
"""A desired state has the exit codes 2, 1 and 0 whatever they mean elsewhere.

Scripts of operators distinguish errors from warnings by them.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentCheck:
    """Result of the check, as written with `--json`.

    Attributes:
        is_valid: whether there are no errors.
        findings: all findings, errors first.
    """

    is_valid: bool
    findings: tuple[Finding, ...]


def check_deployment(
    path: pathlib.Path,
    console: Console,
    *,
    against: pathlib.Path | None,
    format_path: pathlib.Path | None,
) -> ExitCode:
    """Check a file with a desired state and print the findings.

    Args:
        path: the file.
        console: receives the findings.
        against: file with the version in force, None when it is not known.
        format_path: module that decodes the files, None for the one of the
            source tree.

    Returns:
        The exit code: 0, 1 with warnings, 2 with errors.
    """
    config_format = _load_format(format_path or _DEFAULT_FORMAT)
    draft = config_format.read(read_file(path))
    former = None
    if against is not None:
        former = _read_former(against, config_format)
    findings = check_draft(draft, former, config_format)
    code = _CODES[findings[0].severity] if findings else ExitCode.OK
    console.show(
        text='\n'.join(map(str, findings)) or 'no findings',
        value=DeploymentCheck(
            is_valid=code != ExitCode.USAGE, findings=findings
        ),
    )
    return code


def _read_former(
    path: pathlib.Path, config_format: ConfigFormat
) -> FleetConfig:
    draft = config_format.read(read_file(path))
    if draft.config is None:
        raise UsageError(f'{path}: {draft.findings[0]}')
    return draft.config


def _load_format(path: pathlib.Path) -> ConfigFormat:
    """Load the format from a module that is not on the package's path."""
    if not os.path.isfile(path):
        raise UsageError(
            f'no decoder of desired states at {path}; name it with --format'
        )
    # The module imports its neighbours by their plain names.
    directory = str(path.resolve().parent)
    if directory not in sys.path:
        sys.path.append(directory)
    try:
        module = importlib.import_module(path.stem)
    except (ImportError, SyntaxError) as error:
        raise UsageError(f'cannot load {path}: {error}') from error
    found = getattr(module, 'CONFIG_FORMAT', None)
    if not isinstance(found, ConfigFormat):
        raise UsageError(f'{path} defines no CONFIG_FORMAT')
    return found
