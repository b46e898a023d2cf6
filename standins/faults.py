"""Faults that a test injects into a stand-in."""

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
    """How a stand-in handles calls.

    `up` serves them; `slow` serves them after a delay, even if the caller
    has timed out in the meantime; `down` closes the connection without an
    effect; `refusing` answers 503 without an effect.
    """

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    REFUSING = 'refusing'


class Faults(msgspec.Struct, kw_only=True):
    """Faults that all stand-ins have; a test sets any subset of the fields.

    Attributes:
        mode: how calls are handled.
        delay_ms: delay of each call in mode `slow`, in ms.
        lose_next_write_answers: number of writes whose connection is closed
            after they took effect.
        lose_kinds: kinds of calls whose answers are lost, empty for all.
        refuse_from: senders whose connections are closed without an effect.
    """

    mode: Mode = Mode.UP
    delay_ms: int = 0
    lose_next_write_answers: int = 0
    lose_kinds: tuple[str, ...] = ()
    refuse_from: tuple[str, ...] = ()


class FaultGate:
    """Applies the common faults to calls and counts the calls."""

    def __init__(self, faults: Faults) -> None:
        """Create a gate without recorded calls.

        Args:
            faults: the active faults, changed in place by a test.
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
            The response to send instead of serving the call, or None.

        Raises:
            DropConnection: the connection is closed without an effect.
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
        """Apply the faults that follow the effect of a call.

        Args:
            kind: name under which the call is counted.

        Raises:
            DropConnection: the answer is lost.
        """
        if self.faults.lose_kinds and kind not in self.faults.lose_kinds:
            return
        if self.faults.lose_next_write_answers > 0:
            self.faults.lose_next_write_answers -= 1
            raise DropConnection('injected fault: answer lost')

    def after_wait(self, request: Request) -> None:
        """Drop a call that waited if its sender was cut off in the meantime.

        Args:
            request: the call.
        """
        self._check_connection(request.headers.get(SENDER_HEADER, ''))

    def _check_connection(self, sender: str) -> None:
        down = self.faults.mode is Mode.DOWN
        if down or sender in self.faults.refuse_from:
            raise DropConnection('injected fault: connection refused')
