"""Calls to the platform, with its failures sorted by what may have happened."""

import dataclasses
from collections.abc import Mapping
from typing import TypeVar

from jayshore.clock import Millis
from jayshore.http.client import (
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
)
from jayshore.http.messages import (
    InvalidJson,
    Request,
    Response,
    decode_json,
    encode_json,
)
from jayshore.store.store import (
    StoreRejected,
    StoreUnavailable,
    StoreUncertain,
)

CALL_TIMEOUT_MS = Millis(1000)
"""Longest wait for an answer of the platform.

The store answers in milliseconds; a second covers a slow phase and still lets
a daemon read twice within the 3 s in which a setting has to be in force.
"""

SENDER_HEADER = 'jayshore-sender'

_STATUS_OK = range(200, 300)
_STATUS_REJECTED = frozenset((400, 405, 413, 422, 431))
_STATUS_UNAVAILABLE = frozenset((429, 503))
_READ_METHOD = 'GET'

_Decoded = TypeVar('_Decoded')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformCall:
    """One call to the platform.

    Attributes:
        method: HTTP method; a GET has no effect.
        path: path without query.
        query: query parameters.
        content: JSON body, None for none.
        answered: statuses besides 2xx that are results of the call.
        wait_ms: how long the platform may hold back its answer, in ms.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    content: object = None
    answered: frozenset[int] = frozenset()
    wait_ms: Millis = Millis(0)


class PlatformCaller:
    """Sends calls to the platform on behalf of one named sender."""

    def __init__(
        self,
        *,
        client: HttpClient,
        sender: str = '',
        call_timeout_ms: Millis = CALL_TIMEOUT_MS,
    ) -> None:
        """Use a client.

        Args:
            client: the platform's address and connections.
            sender: name of this process, sent with each call unless empty.
            call_timeout_ms: longest wait for an answer, in ms.
        """
        self._client = client
        self._headers = {SENDER_HEADER: sender} if sender else {}
        self._call_timeout_ms = call_timeout_ms

    async def call(self, call: PlatformCall) -> Response:
        """Send a call.

        Args:
            call: what to send.

        Returns:
            An answer whose status is a result of the call.

        Raises:
            StoreUnavailable: no answer, and the call had no effect.
            StoreUncertain: no answer, and the call may have had its effect.
            StoreRejected: the platform finds the call invalid.
        """
        failure = StoreUncertain
        if call.method == _READ_METHOD:
            failure = StoreUnavailable  # type: ignore[assignment]
        try:
            answer = await self._send(call)
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from None
        except (ConnectionLost, CallTimedOut) as unclear:
            raise failure(str(unclear)) from None
        if answer.status in _STATUS_OK or answer.status in call.answered:
            return answer
        complaint = f'{call.method} {call.path}: status {answer.status}'
        if answer.status in _STATUS_UNAVAILABLE:
            raise StoreUnavailable(complaint)
        if answer.status in _STATUS_REJECTED:
            raise StoreRejected(complaint)
        raise failure(complaint)

    async def fetch(
        self, call: PlatformCall, expected: type[_Decoded]
    ) -> _Decoded:
        """Send a call whose answer is JSON of one type.

        Args:
            call: what to send.
            expected: type of the answer.

        Returns:
            The decoded answer.
        """
        return decode_answer(call, await self.call(call), expected)

    async def _send(self, call: PlatformCall) -> Response:
        body = b'' if call.content is None else encode_json(call.content)
        return await self._client.call(
            Request(
                method=call.method,
                path=call.path,
                query=call.query,
                headers=self._headers,
                body=body,
            ),
            timeout_ms=Millis(self._call_timeout_ms + call.wait_ms),
        )


def decode_answer(
    call: PlatformCall, answer: Response, expected: type[_Decoded]
) -> _Decoded:
    """Decode the answer to a call.

    Args:
        call: the call.
        answer: its answer.
        expected: type of the body.

    Returns:
        The decoded body.

    Raises:
        StoreUnavailable: a read returned something else.
        StoreUncertain: a write returned something else.
    """
    try:
        return decode_json(answer.body, expected)
    except InvalidJson as error:
        if call.method == _READ_METHOD:
            raise StoreUnavailable(str(error)) from None
        raise StoreUncertain(str(error)) from None
