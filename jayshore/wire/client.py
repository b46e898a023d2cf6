"""Client for calls to a peer daemon."""

import itertools
import random
from typing import Any, Final, TypeVar

import curio

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.retry import Backoff
from jayshore.traffic import Traffic
from jayshore.wire import messages as msg
from jayshore.wire.codec import decode, encode
from jayshore.wire.errors import (
    FrameNotSentError,
    PeerFailed,
    PeerLost,
    PeerTimedOut,
    PeerUnreachable,
    WireError,
)
from jayshore.wire.framing import DEFAULT_MAX_FRAME_BYTES, FrameStream
from jayshore.wire.server import PeerAddress

RECONNECT_BACKOFF: Final = Backoff(base_ms=Millis(50), max_ms=Millis(1000))
"""Backoff between attempts to connect.

The maximum delay is below the 3 s within which a leader is replaced.
"""

_ReplyT = TypeVar('_ReplyT', bound=msg.Reply)

_IDLE_POLL_MS = Millis(50)


class _PendingCall:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.answer = curio.Result()
        self.sent = False

    def mark_sent(self) -> None:
        """Record that the whole call was handed to the operating system."""
        self.sent = True


class _Connection:
    """One connection, with a task that reads the answers."""

    def __init__(self, *, stream: FrameStream) -> None:
        self.alive = True
        self._stream = stream
        self._pending: dict[int, _PendingCall] = {}
        self._reader: Any = None

    @property
    def is_busy(self) -> bool:
        """Whether any call waits for its answer."""
        return bool(self._pending)

    async def start(self) -> None:
        """Start the task that reads the answers."""
        self._reader = await curio.spawn(self._read_answers, daemon=True)

    async def close(self) -> None:
        """Close the connection; pending calls fail with `PeerLost`."""
        await self._reader.cancel()

    async def exchange(
        self,
        envelope: msg.Envelope,
        pending: _PendingCall,
    ) -> msg.Message:
        """Send a call and wait for its answer."""
        frame = encode(envelope)
        self._pending[envelope.call_id] = pending
        try:
            await self._stream.write(frame, on_sent=pending.mark_sent)
            answer: msg.Message = await pending.answer.unwrap()
        finally:
            self._pending.pop(envelope.call_id, None)
        return answer

    async def _read_answers(self) -> None:
        try:
            while True:
                envelope = decode(await self._stream.read())
                # Removed at once, so that the call does not count as lost when
                # the connection ends right after the answer. The answer to a
                # call that has timed out is dropped.
                pending = self._pending.pop(envelope.call_id, None)
                if pending is not None:
                    await pending.answer.set_value(envelope.message)
        except WireError:
            return
        finally:
            await self._terminate()

    async def _terminate(self) -> None:
        self.alive = False
        self._stream.abort()
        for pending_call in tuple(self._pending.values()):
            await pending_call.answer.set_exception(
                PeerLost('the connection ended before the answer'),
            )
        await self._stream.close()


class PeerClient:
    """Calls one peer over one connection that concurrent calls share.

    Connects when a call needs it. After a failed attempt, calls fail at once
    until the backoff has passed.
    """

    def __init__(
        self,
        *,
        address: PeerAddress,
        clock: Clock,
        rng: random.Random,
        max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES,
        traffic: Traffic | None = None,
    ) -> None:
        """Create a client; the first call connects.

        Args:
            address: address that the peer listens on.
            clock: measures the backoff.
            rng: random numbers for the jitter of the backoff.
            max_frame_bytes: maximum length of a frame in either direction.
            traffic: counts bytes and frames; may be shared between clients.
        """
        self._address = address
        self._clock = clock
        self._rng = rng
        self._max_frame_bytes = max_frame_bytes
        self._traffic = traffic or Traffic()
        self._connection: _Connection | None = None
        self._connecting = curio.Lock()
        self._failures = 0
        self._retry_at = clock.now()
        self._call_ids = itertools.count(1)

    async def heartbeat(
        self,
        call: msg.Heartbeat,
        *,
        timeout_ms: Millis,
    ) -> msg.HeartbeatReply:
        """Exchange status; see `call` for the errors."""
        return await self.call(call, msg.HeartbeatReply, timeout_ms=timeout_ms)

    async def promise_config(
        self,
        call: msg.PromiseConfig,
        *,
        timeout_ms: Millis,
    ) -> msg.PromiseConfigReply:
        """Ask for a configuration promise; see `call` for the errors."""
        return await self.call(
            call,
            msg.PromiseConfigReply,
            timeout_ms=timeout_ms,
        )

    async def config_committed(
        self,
        call: msg.ConfigCommitted,
        *,
        timeout_ms: Millis,
    ) -> msg.ConfigCommittedReply:
        """Announce a committed configuration; see `call` for the errors."""
        return await self.call(
            call,
            msg.ConfigCommittedReply,
            timeout_ms=timeout_ms,
        )

    async def route_request(
        self,
        call: msg.RouteRequest,
        *,
        timeout_ms: Millis,
    ) -> msg.RouteReply:
        """Ask the peer to run a request; see `call` for the errors."""
        return await self.call(call, msg.RouteReply, timeout_ms=timeout_ms)

    async def submit_job(
        self,
        call: msg.SubmitJob,
        *,
        timeout_ms: Millis,
    ) -> msg.SubmitJobReply:
        """Ask the peer to accept a job; see `call` for the errors."""
        return await self.call(call, msg.SubmitJobReply, timeout_ms=timeout_ms)

    async def job_query(
        self,
        call: msg.JobQuery,
        *,
        timeout_ms: Millis,
    ) -> msg.JobQueryReply:
        """Ask for the state of a job; see `call` for the errors."""
        return await self.call(call, msg.JobQueryReply, timeout_ms=timeout_ms)

    async def slo_query(
        self,
        call: msg.SloQuery,
        *,
        timeout_ms: Millis,
    ) -> msg.SloReply:
        """Ask for service-level samples; see `call` for the errors."""
        return await self.call(call, msg.SloReply, timeout_ms=timeout_ms)

    async def cancel_job(
        self,
        call: msg.CancelJob,
        *,
        timeout_ms: Millis,
    ) -> msg.CancelJobReply:
        """Cancel a job; see `call` for the errors."""
        return await self.call(call, msg.CancelJobReply, timeout_ms=timeout_ms)

    async def call(
        self,
        call: msg.Call,
        reply_type: type[_ReplyT],
        *,
        timeout_ms: Millis,
    ) -> _ReplyT:
        """Send one call and wait for its answer.

        Args:
            call: the message to send.
            reply_type: type of its regular answer.
            timeout_ms: time limit for connecting, sending and waiting, in ms.

        Returns:
            The answer.

        Raises:
            PeerUnreachable: the call was certainly not sent completely.
            MalformedMessageError: a value does not fit into its field; nothing
                was sent.
            FrameTooLargeError: the frame is too long; nothing was sent.
            PeerLost: it was sent and the connection ended before the answer.
            PeerTimedOut: it was sent and not answered in time.
            PeerFailed: the peer's handler failed, or the answer has another
                type.
        """
        pending = _PendingCall()
        try:
            async with curio.timeout_after(to_seconds(timeout_ms)):
                reply = await self._exchange(call, pending)
        except curio.TaskTimeout as error:
            if pending.sent:
                raise PeerTimedOut(
                    f'no answer within {timeout_ms} ms'
                ) from error
            raise PeerUnreachable('the call was not sent in time') from error
        if isinstance(reply, reply_type):
            return reply
        raise PeerFailed(f'{type(call).__name__} was answered with {reply}')

    async def close_when_idle(self) -> None:
        """Close the connection after its pending calls, which have timeouts."""
        while self._connection is not None and self._connection.is_busy:
            await curio.sleep(to_seconds(_IDLE_POLL_MS))
        await self.close()

    async def close(self) -> None:
        """Close the connection; pending calls fail with `PeerLost`."""
        if self._connection is not None:
            await self._connection.close()

    async def _exchange(
        self, call: msg.Call, pending: _PendingCall
    ) -> msg.Message:
        connection = await self._get_connection()
        envelope = msg.Envelope(call_id=next(self._call_ids), message=call)
        try:
            return await connection.exchange(envelope, pending)
        except FrameNotSentError as error:
            raise PeerUnreachable(
                'the connection ended before the call was sent'
            ) from error

    async def _get_connection(self) -> _Connection:
        async with self._connecting:
            if self._connection is not None and self._connection.alive:
                return self._connection
            if self._clock.now() < self._retry_at:
                raise PeerUnreachable('waiting for the reconnect backoff')
            # Counted as a failure until it succeeds, so that a timeout while
            # connecting counts too.
            self._count_failure()
            connection = await self._connect()
            self._failures = 0
            self._retry_at = self._clock.now()
            self._connection = connection
            return connection

    def _count_failure(self) -> None:
        self._failures += 1
        self._retry_at = Millis(
            self._clock.now()
            + RECONNECT_BACKOFF.delay(attempt=self._failures, rng=self._rng),
        )

    async def _connect(self) -> _Connection:
        try:
            sock = await curio.open_connection(
                self._address.host,
                self._address.port,
            )
        except OSError as error:
            raise PeerUnreachable('cannot connect to the peer') from error
        connection = _Connection(
            stream=FrameStream(
                sock=sock,
                max_frame_bytes=self._max_frame_bytes,
                traffic=self._traffic,
            ),
        )
        await connection.start()
        return connection
