"""Tests of peers that disconnect, send garbage or do not read."""

import contextlib
import struct

import curio
import pytest

from jayshore.wire import messages as msg
from jayshore.wire.codec import decode, encode
from jayshore.wire.codec_test import ROUTE
from jayshore.wire.errors import PeerLost, PeerUnreachable
from jayshore.wire.peer_test import (
    LONG_MS,
    connected_pair,
    host_and_port,
    run,
    scripted_peer,
)


def test_call_is_lost_when_the_peer_disconnects():
    """Guards against reporting a sent call as not sent."""

    async def serve(sock):
        await sock.recv(10)

    async def main():
        async with scripted_peer(serve) as client:
            with pytest.raises(PeerLost):
                await client.route_request(ROUTE, timeout_ms=LONG_MS)

    run(main)


@pytest.mark.parametrize(
    'sent',
    [
        struct.pack('>I', 1025),
        struct.pack('>I', 2**32 - 1),
        struct.pack('>I', 8) + b'\xff' * 8,
        struct.pack('>I', 0),
        b'GET / HTTP/1.1\r\n\r\n',
    ],
)
def test_server_closes_a_connection_with_oversized_or_garbage_frames(sent):
    """Guards against allocating the announced length, and a server crash."""

    async def main():
        async with connected_pair(max_frame_bytes=1024) as peers:
            sock = await curio.open_connection(*host_and_port(peers.address))
            async with sock:
                await sock.sendall(sent)
                assert await sock.recv(1) == b''
            assert (await peers.send_heartbeat()).attests

    run(main)


@pytest.mark.parametrize('sent', [b'\xff' * 4, struct.pack('>I', 1) + b'x'])
def test_call_answered_with_garbage_is_lost(sent):
    """Guards against an untyped error in the task that reads answers."""

    async def serve(sock):
        await sock.recv(10)
        await sock.sendall(sent)
        await sock.recv(1 << 20)

    async def main():
        async with scripted_peer(serve) as client:
            with pytest.raises(PeerLost):
                await client.route_request(ROUTE, timeout_ms=LONG_MS)

    run(main)


def test_slow_reader_is_disconnected_and_others_are_served():
    """Guards against replies that accumulate for a peer that does not read."""

    async def main():
        async with connected_pair(write_timeout_ms=50) as peers:
            sock = await curio.open_connection(*host_and_port(peers.address))
            body = bytes(3 << 20)
            call = msg.RouteRequest(
                **{
                    name: getattr(ROUTE, name)
                    for name in ROUTE.__slots__
                    if name != 'body'
                },
                body=body,
            )
            frame = encode(msg.Envelope(call_id=1, message=call))
            async with sock:
                with contextlib.suppress(OSError):
                    for _ in range(4):
                        await sock.sendall(
                            struct.pack('>I', len(frame)) + frame,
                        )
                assert (await peers.send_heartbeat()).attests
                await peers.server.wait_idle()
                received = 0
                with contextlib.suppress(ConnectionError):
                    while chunk := await sock.recv(1 << 20):
                        received += len(chunk)
                assert received < 4 * 2 * len(body)

    run(main)


def test_truncated_call_is_unreachable_and_earlier_calls_are_lost():
    """Guards against reporting a truncated frame as sent."""

    received = curio.Event()

    async def serve(sock):
        await sock.recv(1)
        await received.set()
        await curio.Event().wait()

    async def main():
        async with scripted_peer(serve) as client:
            earlier = await curio.spawn(
                client.cancel_job(
                    msg.CancelJob(job_id='j', team='t'),
                    timeout_ms=LONG_MS,
                ),
            )
            await received.wait()
            large = msg.ConfigCommitted(version=1, document=bytes(8_000_000))
            with pytest.raises(PeerUnreachable):
                await client.config_committed(large, timeout_ms=100)
            with pytest.raises(curio.TaskError) as caught:
                await earlier.join()
            assert isinstance(caught.value.__cause__, PeerLost)

    run(main)


def test_answer_before_the_end_of_the_connection_is_delivered():
    """Guards against losing an answer when the peer disconnects after it."""

    async def serve(sock):
        stream = sock.as_stream()
        (length,) = struct.unpack('>I', await stream.read_exactly(4))
        call = decode(await stream.read_exactly(length))
        reply = msg.Envelope(
            call_id=call.call_id,
            message=msg.CancelJobReply(result=msg.CancelResult.UNKNOWN),
        )
        frame = encode(reply)
        await sock.sendall(struct.pack('>I', len(frame)) + frame)

    async def main():
        async with scripted_peer(serve) as client:
            reply = await client.cancel_job(
                msg.CancelJob(job_id='j', team='t'),
                timeout_ms=LONG_MS,
            )
            assert reply.result is msg.CancelResult.UNKNOWN

    run(main)
