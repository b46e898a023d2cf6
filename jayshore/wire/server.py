"""Server for calls from peer daemons."""

import abc
import dataclasses
from typing import Any, Final

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds  # noqa: WPS347
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic
from jayshore.wire import messages as msg
from jayshore.wire.codec import decode, encode
from jayshore.wire.errors import (
    FrameNotSentError,
    FrameTooLargeError,
    MalformedMessageError,
    StreamBrokenError,
)
from jayshore.wire.framing import DEFAULT_MAX_FRAME_BYTES, FrameStream

_ACCEPT_RETRY_DELAY_MS: Final = Millis(50)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Address that a daemon listens on for its peers.

    Attributes:
        host: IP address.
        port: TCP port; 0 in a listening address lets the system choose.
    """

    host: str
    port: int


class PeerHandler(abc.ABC):
    """Handles the calls of peers.

    Several calls are handled concurrently. When a method raises, the peer gets
    `CallFailed`, and the effect of the call is unknown to it.
    """

    @abc.abstractmethod
    async def heartbeat(self, call: msg.Heartbeat) -> msg.HeartbeatReply:
        """Record the peer's status and return the status of this daemon."""

    @abc.abstractmethod
    async def promise_config(
        self,
        call: msg.PromiseConfig,
    ) -> msg.PromiseConfigReply:
        """Promise not to attest until the store has been read, or decline."""

    @abc.abstractmethod
    async def config_committed(
        self,
        call: msg.ConfigCommitted,
    ) -> msg.ConfigCommittedReply:
        """Adopt a configuration that the peer has written to the store."""

    @abc.abstractmethod
    async def route_request(self, call: msg.RouteRequest) -> msg.RouteReply:
        """Run a request."""

    @abc.abstractmethod
    async def submit_job(self, call: msg.SubmitJob) -> msg.SubmitJobReply:
        """Accept a job."""

    @abc.abstractmethod
    async def job_query(self, call: msg.JobQuery) -> msg.JobQueryReply:
        """Return the state of a job."""

    @abc.abstractmethod
    async def slo_query(self, call: msg.SloQuery) -> msg.SloReply:
        """Return the service-level samples of this daemon."""

    @abc.abstractmethod
    async def cancel_job(self, call: msg.CancelJob) -> msg.CancelJobReply:
        """Cancel a job."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerServerLimits:
    """Limits of a peer server.

    Attributes:
        max_frame_bytes: maximum length of a frame in either direction.
        max_calls: maximum number of calls in flight on one connection; further
            calls are not read meanwhile.
        write_timeout_ms: time limit for writing a reply, in ms; a slower peer
            is disconnected, as its replies would accumulate.
    """

    max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    max_calls: int = 1024
    write_timeout_ms: Millis = Millis(5000)


class PeerServer:
    """Serves peers, with one task per connection and one per call."""

    def __init__(
        self,
        *,
        handler: PeerHandler,
        address: PeerAddress,
        limits: PeerServerLimits,
        traffic: Traffic | None = None,
    ) -> None:
        """Create a server; `start` makes it listen.

        Args:
            handler: handles the calls.
            address: address to listen on.
            limits: limits on frames, calls and write times.
            traffic: counts bytes and frames.
        """
        self._handler = handler
        self._address = address
        self._limits = limits
        self._traffic = traffic or Traffic()
        self._listener: Any = None
        self._tasks = BackgroundTasks()
        self._calls_running = 0
        self._idle = curio.Condition()

    async def start(self) -> PeerAddress:
        """Listen and accept connections in the background.

        Returns:
            The address that it listens on, with the actual port.

        Raises:
            OSError: the address cannot be listened on.
        """
        self._listener = curio.tcp_server_socket(
            self._address.host,
            self._address.port,
        )
        host, port = self._listener.getsockname()[:2]
        await self._tasks.spawn(self._accept())
        return PeerAddress(host=host, port=port)

    async def wait_idle(self) -> None:
        """Wait, without a time limit, until no call is running."""
        async with self._idle:
            while self._calls_running:
                await self._idle.wait()

    async def close(self) -> None:
        """Stop listening and cancel all connections and running calls."""
        await self._tasks.close()
        if self._listener is not None:
            await self._listener.close()

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError:
                # File descriptors may have run out; retrying at once would
                # busy-loop.
                await curio.sleep(to_seconds(_ACCEPT_RETRY_DELAY_MS))
                continue
            stream = FrameStream(
                sock=sock,
                max_frame_bytes=self._limits.max_frame_bytes,
                traffic=self._traffic,
            )
            await self._tasks.spawn(self._serve(stream))

    async def _serve(self, stream: FrameStream) -> None:
        call_slots = curio.Semaphore(self._limits.max_calls)
        try:
            while True:
                await call_slots.acquire()
                envelope = decode(await stream.read())
                self._calls_running += 1
                await self._tasks.spawn(
                    self._handle_call(stream, envelope, call_slots)
                )
        except (FrameTooLargeError, MalformedMessageError) as error:
            # The start of the next frame can no longer be determined.
            eliot.log_message('wire:peer_rejected', reason=str(error))
        except StreamBrokenError:
            return
        finally:
            await stream.close()

    async def _handle_call(
        self,
        stream: FrameStream,
        envelope: msg.Envelope,
        call_slots: Any,
    ) -> None:
        try:  # noqa: WPS501
            reply = await self._run_handler(envelope.message)
            await self._write(stream, envelope.call_id, reply)
        finally:
            await self._finish_call(call_slots)

    async def _finish_call(self, call_slots: Any) -> None:
        self._calls_running -= 1
        await call_slots.release()
        async with self._idle:
            await self._idle.notify_all()

    async def _run_handler(self, call: msg.Message) -> msg.Reply:
        try:
            return await _dispatch(self._handler, call)
        except Exception as error:
            # An error in one call must not end the other calls.
            eliot.write_traceback()
            return msg.CallFailed(detail=type(error).__name__)

    async def _write(
        self,
        stream: FrameStream,
        call_id: int,
        reply: msg.Reply,
    ) -> None:
        try:
            async with curio.timeout_after(
                to_seconds(self._limits.write_timeout_ms),
            ):
                await _write_reply(stream, call_id, reply)
        except curio.TaskTimeout:
            eliot.log_message('wire:peer_too_slow', call_id=call_id)
            stream.abort()
        except FrameNotSentError:
            # The peer has disconnected and reports the call as lost itself.
            return


async def _write_reply(
    stream: FrameStream,
    call_id: int,
    reply: msg.Reply,
) -> None:
    try:
        await stream.write(
            encode(msg.Envelope(call_id=call_id, message=reply)),
        )
    except (FrameTooLargeError, MalformedMessageError) as error:
        eliot.log_message('wire:reply_rejected', reason=str(error))
        failed = msg.CallFailed(detail=type(error).__name__)
        await stream.write(
            encode(msg.Envelope(call_id=call_id, message=failed)),
        )


async def _dispatch(handler: PeerHandler, call: msg.Message) -> msg.Reply:
    match call:
        case msg.Heartbeat():
            return await handler.heartbeat(call)
        case msg.PromiseConfig():
            return await handler.promise_config(call)
        case msg.ConfigCommitted():
            return await handler.config_committed(call)
        case msg.RouteRequest():
            return await handler.route_request(call)
        case msg.SubmitJob():
            return await handler.submit_job(call)
        case msg.JobQuery():
            return await handler.job_query(call)
        case msg.SloQuery():
            return await handler.slo_query(call)
        case msg.CancelJob():
            return await handler.cancel_job(call)
    raise UnexpectedMessageError(f'{type(call).__name__} is not a call')


class UnexpectedMessageError(JayshoreError):
    """A peer sent a reply where a call was expected."""
