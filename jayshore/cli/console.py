"""Output of the commands: results on stdout, one error line on stderr."""

import dataclasses
import enum
from typing import TextIO

import msgspec

from jayshore.outcomes import RefusalReason, Refused


class ExitCode(enum.IntEnum):
    """Exit codes of every command; `EXIT_CODES` documents them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    TIMED_OUT = 8
    INTERRUPTED = 130


EXIT_CODES = """exit codes:
  0  done
  1  the job failed, was cancelled, or had ended before it could be cancelled
  2  wrong usage, or a file or key that cannot be read
  3  the configuration has faults
  4  conflict: another version of the configuration is in force
  5  refused: trying again without a change is useless
  6  unavailable: nothing was done, try again later
  7  unknown: no answer was received, or the job may have run
  8  the time given with --timeout-ms is over
  130  interrupted from the keyboard
"""

_RETRYABLE_REASONS = frozenset(
    (
        RefusalReason.OVER_LIMIT,
        RefusalReason.NOT_FRESH,
        RefusalReason.STORE_UNAVAILABLE,
        RefusalReason.SHUTTING_DOWN,
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Console:
    """Streams and format of the output of a command.

    Attributes:
        stdout: for results.
        stderr: for errors and progress.
        as_json: whether results and errors are JSON, one value per line.
    """

    stdout: TextIO
    stderr: TextIO
    as_json: bool = False

    def show(self, *, text: str, value: object) -> None:
        """Write a result to stdout.

        Args:
            text: the result as text; nothing is written when it is empty.
            value: the result for `--json`, encodable by msgspec.
        """
        shown = msgspec.json.encode(value).decode() if self.as_json else text
        if shown:
            self.stdout.write(f'{shown}\n')

    def fail(self, code: ExitCode, kind: str, detail: str) -> ExitCode:
        """Write an error to stderr as one line.

        Args:
            code: the exit code of the command.
            kind: type of the error, one word.
            detail: description of the error; line breaks become spaces.

        Returns:
            The exit code, unchanged.
        """
        detail = ' '.join(detail.split())
        line = f'error: {kind}: {detail}'
        if self.as_json:
            line = msgspec.json.encode(
                {'error': kind, 'detail': detail, 'exit_code': code.value}
            ).decode()
        self.stderr.write(f'{line}\n')
        return code

    def report_refusal(self, refused: Refused) -> ExitCode:
        """Write a refusal by the daemon to stderr.

        Args:
            refused: the refusal.

        Returns:
            `CONFLICT`, `UNAVAILABLE` when a retry may succeed, or `REFUSED`.
        """
        detail = refused.detail or 'refused by the daemon'
        if refused.retry_after_ms is not None:
            detail = f'{detail}; try again after {refused.retry_after_ms} ms'
        code = ExitCode.REFUSED
        if refused.reason == RefusalReason.CONFLICT:
            code = ExitCode.CONFLICT
        elif refused.reason in _RETRYABLE_REASONS:
            code = ExitCode.UNAVAILABLE
        return self.fail(code, refused.reason.value, detail)

    def progress(self, text: str) -> None:
        """Replace the progress line if stderr is a terminal.

        Args:
            text: the new line, empty to erase it.
        """
        if self.stderr.isatty():
            self.stderr.write(f'\r\x1b[K{text}')
            self.stderr.flush()
