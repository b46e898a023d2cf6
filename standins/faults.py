"""Faults that a test switches on in a stand-in."""

import enum
from collections import Counter

import curio
import msgspec

from jayshore.clock import Millis, to_seconds
from jayshore.http.messages import Request, Response, error_response
from jayshore.http.serverconnection import DropConnection

SENDER_HEADER = 'jayshore-sender'
_STATUS_UNAVAILABLE = 503


class Mode(enum.StrEnum):
    """How a stand-in treats calls.

    `up` serves them; `slow` serves them after a delay, also when the caller
    has given up meanwhile; `down` ends the connection without an effect;
    `refusing` answers 503 without an effect.
    """

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    REFUSING = 'refusing'


class Faults(msgspec.Struct, kw_only=True):
    """Common faults; a test sends any subset of the fields.

    Attributes:
        mode: how calls are treated.
        delay_ms: the delay of `slow`, in ms.
        lose_next_write_answers: for how many effective calls the connection
            ends after the effect.
        lose_kinds: kinds of the calls whose answers are lost, empty for all.
        refuse_from: senders whose calls end without an effect.
    """

    mode: Mode = Mode.UP
    delay_ms: int = 0
    lose_next_write_answers: int = 0
    lose_kinds: tuple[str, ...] = ()
    refuse_from: tuple[str, ...] = ()


class FaultGate:
    """Applies the common faults to calls and counts the calls."""

    def __init__(self, faults: Faults) -> None:
        """Apply faults.

        Args:
            faults: the faults, which a test changes in place.
        """
        self.faults = faults
        self.calls: Counter[str] = Counter()
        self.calls_by_sender: dict[str, Counter[str]] = {}

    async def before_call(self, request: Request, kind: str) -> Response | None:
        """Count a call and apply the faults that precede its effect.

        Args:
            request: the call.
            kind: name under which it is counted.

        Returns:
            An answer that replaces the effect, or None.

        Raises:
            DropConnection: the call ends without an effect.
        """
        sender = request.headers.get(SENDER_HEADER, '')
        self.calls[kind] += 1
        self.calls_by_sender.setdefault(sender, Counter())[kind] += 1
        self._check_connection(sender)
        if self.faults.mode is Mode.REFUSING:
            return error_response(
                _STATUS_UNAVAILABLE, 'unavailable', 'refusing by order'
            )
        if self.faults.mode is Mode.SLOW:
            await curio.sleep(to_seconds(Millis(self.faults.delay_ms)))
        return None

    def after_write(self, kind: str) -> None:
        """Apply the faults that follow an effect.

        Args:
            kind: name under which the call is counted.

        Raises:
            DropConnection: the answer is to be lost.
        """
        if self.faults.lose_kinds and kind not in self.faults.lose_kinds:
            return
        if self.faults.lose_next_write_answers > 0:
            self.faults.lose_next_write_answers -= 1
            raise DropConnection('answer lost by order')

    def after_wait(self, request: Request) -> None:
        """Apply the faults that began while a call was waiting.

        Args:
            request: the call.
        """
        self._check_connection(request.headers.get(SENDER_HEADER, ''))

    def _check_connection(self, sender: str) -> None:
        down = self.faults.mode is Mode.DOWN
        if down or sender in self.faults.refuse_from:
            raise DropConnection('cut off by order')
