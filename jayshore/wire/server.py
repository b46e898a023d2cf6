"""The side of a daemon that answers its peers."""

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

_ACCEPT_PAUSE_MS: Final = Millis(50)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where a daemon answers its peers.

    Attributes:
        host: IP number.
        port: TCP port; 0 in a listening address lets the system choose.
    """

    host: str
    port: int


class PeerHandler(abc.ABC):
    """What a daemon does with the calls of its peers.

    Methods of several calls run concurrently. A handler that fails is reported
    to the peer as a failed call with unknown effect.
    """

    @abc.abstractmethod
    async def heartbeat(self, call: msg.Heartbeat) -> msg.HeartbeatReply:
        """Note the peer's status and answer with the own one."""

    @abc.abstractmethod
    async def promise_config(
        self,
        call: msg.PromiseConfig,
    ) -> msg.PromiseConfigReply:
        """Promise to attest nothing until the store was read, or decline."""

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
        """Answer with the state of a job."""

    @abc.abstractmethod
    async def slo_query(self, call: msg.SloQuery) -> msg.SloReply:
        """Answer with the service-level samples of this daemon."""

    @abc.abstractmethod
    async def cancel_job(self, call: msg.CancelJob) -> msg.CancelJobReply:
        """Cancel a job."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerServerLimits:
    """Bounds of a peer server.

    Attributes:
        max_frame_bytes: limit for a frame in either direction.
        max_calls: calls in flight on one connection; further ones are not read.
        write_timeout_ms: a peer that does not take a reply for so long is
            disconnected, as replies to it would pile up.
    """

    max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    max_calls: int = 1024
    write_timeout_ms: Millis = Millis(5000)


class PeerServer:
    """Accepts connections of peers; one task per connection."""

    def __init__(
        self,
        *,
        handler: PeerHandler,
        address: PeerAddress,
        limits: PeerServerLimits,
        traffic: Traffic | None = None,
    ) -> None:
        """Prepare to listen.

        Args:
            handler: answers the calls.
            address: where to listen.
            limits: bounds of frames, calls and times.
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
            The address listened on, with the port that the system chose.

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
        """Wait until no call is running; the caller bounds the time."""
        async with self._idle:
            while self._calls_running:
                await self._idle.wait()

    async def close(self) -> None:
        """Stop listening and cancel everything that still runs."""
        await self._tasks.close()
        if self._listener is not None:
            await self._listener.close()

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError:
                # Descriptors may have run out; retrying at once would spin.
                await curio.sleep(to_seconds(_ACCEPT_PAUSE_MS))
                continue
            stream = FrameStream(
                sock=sock,
                max_frame_bytes=self._limits.max_frame_bytes,
                traffic=self._traffic,
            )
            await self._tasks.spawn(self._serve(stream))

    async def _serve(self, stream: FrameStream) -> None:
        slots = curio.Semaphore(self._limits.max_calls)
        try:
            while True:
                await slots.acquire()
                envelope = decode(await stream.read())
                self._calls_running += 1
                await self._tasks.spawn(self._answer(stream, envelope, slots))
        except (FrameTooLargeError, MalformedMessageError) as error:
            # The position of the next frame can no longer be trusted.
            eliot.log_message('wire:peer_rejected', reason=str(error))
        except StreamBrokenError:
            return
        finally:
            await stream.close()

    async def _answer(
        self,
        stream: FrameStream,
        envelope: msg.Envelope,
        slots: Any,
    ) -> None:
        try:  # noqa: WPS501
            reply = await self._run_handler(envelope.message)
            await self._write(stream, envelope.call_id, reply)
        finally:
            await self._note_answered(slots)

    async def _note_answered(self, slots: Any) -> None:
        self._calls_running -= 1
        await slots.release()
        async with self._idle:
            await self._idle.notify_all()

    async def _run_handler(self, call: msg.Message) -> msg.Reply:
        try:
            return await _dispatch(self._handler, call)
        except Exception as error:
            # A fault in one handler must not end the calls of the others.
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
            # The peer has gone; it reports the call as lost by itself.
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
    raise UnexpectedMessageError(f'{type(call).__name__} is no call')


class UnexpectedMessageError(JayshoreError):
    """A peer sent a reply where a call belongs."""
