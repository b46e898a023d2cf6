"""HTTP calls to the platform, with failures classified by possible effect."""

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
"""Time limit for an answer from the platform, in ms.

The store answers in milliseconds. One second tolerates a slow phase and still
leaves time for two reads within the 3 s in which a setting has to be in force.
"""

SENDER_HEADER = 'jayshore-sender'

_STATUS_OK = range(200, 300)
_STATUS_REJECTED = frozenset((400, 405, 413, 422, 431))
_STATUS_UNAVAILABLE = frozenset((429, 503))
_READ_METHOD = 'GET'

_Decoded = TypeVar('_Decoded')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformCall:
    """One HTTP call to the platform.

    Attributes:
        method: HTTP method; only a GET is known to change nothing.
        path: path without the query string.
        query: query parameters.
        content: value sent as the JSON body, None for an empty body.
        expected_statuses: statuses outside 2xx that are results of the call.
        wait_ms: how long the platform may delay its answer (long poll), in ms;
            extends the time limit.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    content: object = None
    expected_statuses: frozenset[int] = frozenset()
    wait_ms: Millis = Millis(0)


class PlatformCaller:
    """Sends calls to the platform in the name of one process."""

    def __init__(
        self,
        *,
        client: HttpClient,
        sender: str = '',
        call_timeout_ms: Millis = CALL_TIMEOUT_MS,
    ) -> None:
        """Send calls through an HTTP client.

        Args:
            client: connects to the platform's address.
            sender: name of this process, sent as a header unless empty.
            call_timeout_ms: time limit for an answer, in ms.
        """
        self._client = client
        self._headers = {SENDER_HEADER: sender} if sender else {}
        self._call_timeout_ms = call_timeout_ms

    async def call(self, call: PlatformCall) -> Response:
        """Send a call and classify its failure, if any.

        Args:
            call: the call to send.

        Returns:
            An answer whose status is 2xx or one of the expected statuses.

        Raises:
            StoreUnavailable: the call failed and certainly had no effect.
            StoreUncertain: the call failed and may have taken effect.
            StoreRejected: the platform considers the call invalid.
        """
        unclear_error = StoreUncertain
        if call.method == _READ_METHOD:
            unclear_error = StoreUnavailable  # type: ignore[assignment]
        try:
            answer = await self._send(call)
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from None
        except (ConnectionLost, CallTimedOut) as lost_answer:
            raise unclear_error(str(lost_answer)) from None
        if (
            answer.status in _STATUS_OK
            or answer.status in call.expected_statuses
        ):
            return answer
        message = f'{call.method} {call.path}: status {answer.status}'
        if answer.status in _STATUS_UNAVAILABLE:
            raise StoreUnavailable(message)
        if answer.status in _STATUS_REJECTED:
            raise StoreRejected(message)
        raise unclear_error(message)

    async def fetch(
        self, call: PlatformCall, expected: type[_Decoded]
    ) -> _Decoded:
        """Send a call and decode its JSON answer.

        Args:
            call: the call to send.
            expected: type of the decoded answer.

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
    """Decode the JSON body of an answer.

    Args:
        call: the call that was answered.
        answer: its answer.
        expected: type of the decoded body.

    Returns:
        The decoded body.

    Raises:
        StoreUnavailable: the body doesn't decode, and the call was a read.
        StoreUncertain: the body doesn't decode, and the call was a write that
            may have been applied.
    """
    try:
        return decode_json(answer.body, expected)
    except InvalidJson as error:
        if call.method == _READ_METHOD:
            raise StoreUnavailable(str(error)) from None
        raise StoreUncertain(str(error)) from None
