"""Findings of the check of a configuration before it is sent."""

import dataclasses
import enum
import json

import msgspec


class Severity(enum.Enum):
    """How serious a finding is."""

    ERROR = 'error'
    """The configuration is refused, or breaks what it configures."""

    WARNING = 'warning'
    """Callers are refused or served worse than an operator may expect."""

    NOTE = 'note'
    """A difference from the version in force that takes nothing away."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One finding of a check.

    Attributes:
        severity: how serious it is.
        path: key path of the value, such as `queues[2].priority`.
        value: the value as JSON, or a description where it is secret or long.
        expected: the expected range, empty where there is none.
        former: the value in force, of a difference.
        message: what is wrong, or what a difference does to callers.
    """

    severity: Severity
    path: str
    value: str
    expected: str = ''
    former: str = ''
    message: str

    def __str__(self) -> str:
        """Format as one line."""
        beside = f' (expected {self.expected})' if self.expected else ''
        if self.former:
            beside = f' (in force: {self.former})'
        return (
            f'{self.severity.value}: {self.path} = {self.value}{beside}:'
            f' {self.message}'
        )


_MAX_TEXT = 100


def show_value(value: object) -> str:
    """Format a value of a configuration for a finding.

    Args:
        value: a decoded value.

    Returns:
        One line of ASCII, because the terminal may have another encoding and
        names may contain control characters. Collections are only described,
        as they may be large or hold keys.
    """
    if dataclasses.is_dataclass(value):
        return msgspec.json.encode(value).decode()
    if isinstance(value, (list, tuple, frozenset)):
        return f'{len(value)} entries'
    if value is not None and not isinstance(value, (str, int, float)):
        return 'an object'
    shown = json.dumps(value)
    return shown if len(shown) <= _MAX_TEXT else f'{shown[:_MAX_TEXT]}...'
