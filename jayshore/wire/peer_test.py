"""Tests of the peer server and client on the loopback interface."""

import contextlib
import random

import curio
import pytest

from jayshore.clock import ManualClock
from jayshore.outcomes import Ran, RefusalReason, Refused
from jayshore.wire import messages as msg
from jayshore.wire.client import RECONNECT_BACKOFF, PeerClient
from jayshore.wire.codec_test import STATUS
from jayshore.wire.errors import (
    FrameTooLargeError,
    MalformedMessageError,
    PeerFailed,
    PeerLost,
    PeerTimedOut,
    PeerUnreachable,
)
from jayshore.wire.server import (
    PeerAddress,
    PeerHandler,
    PeerServer,
    PeerServerLimits,
)

LONG_MS = 20_000
LOOPBACK = PeerAddress(host='127.0.0.1', port=0)


class ScriptedHandler(PeerHandler):
    """Answers a job query once the test releases the job."""

    def __init__(self):
        self.released = {}
        self.entered = curio.Queue()
        self.left = []

    def release(self, job_id):
        return self.released.setdefault(job_id, curio.Event())

    async def heartbeat(self, call):
        return msg.HeartbeatReply(status=call.status, attests=True)

    async def promise_config(self, call):
        raise RuntimeError('a fault in the handler')

    async def config_committed(self, call):
        return msg.ConfigCommittedReply(config_version=-1)

    async def route_request(self, call):
        return msg.RouteReply(outcome=Ran(body=call.body * 2))

    async def slo_query(self, call):
        return msg.SloReply(document=b'{}')

    async def submit_job(self, call):
        return msg.SubmitJobReply(
            outcome=Refused(reason=RefusalReason.CONFLICT)
        )

    async def job_query(self, call):
        await self.entered.put(call.job_id)
        await self.release(call.job_id).wait()
        self.left.append(call.job_id)
        return msg.JobQueryReply(document=call.job_id.encode())

    async def cancel_job(self, call):
        return msg.CancelJobReply(result=msg.CancelResult.CANCELLED)


class PeerPair:
    """A server, a client connected to it and the clock of the client."""

    def __init__(self, handler, server, client, clock, address):
        self.handler = handler
        self.server = server
        self.client = client
        self.clock = clock
        self.address = address

    async def query(self, job_id, timeout_ms=LONG_MS):
        reply = await self.client.job_query(
            msg.JobQuery(
                job_id=job_id,
                access=msg.TeamAccess(team='t'),
                wait_ms=0,
            ),
            timeout_ms=timeout_ms,
        )
        return reply.document

    async def send_heartbeat(self):
        call = msg.Heartbeat(status=STATUS)
        return await self.client.heartbeat(call, timeout_ms=LONG_MS)


@contextlib.asynccontextmanager
async def connected_pair(**limits):
    handler = ScriptedHandler()
    server = PeerServer(
        handler=handler,
        address=LOOPBACK,
        limits=PeerServerLimits(**limits),
    )
    address = await server.start()
    clock = ManualClock()
    client = make_client(address, clock)
    try:
        yield PeerPair(handler, server, client, clock, address)
    finally:
        await client.close()
        await server.close()


def make_client(address, clock):
    return PeerClient(address=address, clock=clock, rng=random.Random(1))


async def send_heartbeat_separately(peers):
    """Send a heartbeat on another connection."""
    other = make_client(peers.address, peers.clock)
    reply = await other.heartbeat(
        msg.Heartbeat(status=STATUS),
        timeout_ms=LONG_MS,
    )
    await other.close()
    return reply


def host_and_port(address):
    return address.host, address.port


def run(main):
    """Run a test body with the task class that the daemon uses."""
    curio.run(main, taskcls=curio.task.ContextTask)


@contextlib.asynccontextmanager
async def scripted_peer(serve):
    """Serve one connection with `serve`, and yield a client for it."""
    listener = curio.tcp_server_socket('127.0.0.1', 0)

    async def accept():
        sock, _ = await listener.accept()
        async with sock:
            await serve(sock)

    task = await curio.spawn(accept)
    host, port = listener.getsockname()
    client = make_client(PeerAddress(host=host, port=port), ManualClock())
    try:
        yield client
    finally:
        await client.close()
        await task.cancel()
        await listener.close()


def test_out_of_order_answers_reach_their_calls():
    """Guards against matching answers to calls by their order."""

    async def main():
        async with connected_pair() as peers:
            first = await curio.spawn(peers.query, 'first')
            second = await curio.spawn(peers.query, 'second')
            await peers.handler.entered.get()
            await peers.handler.entered.get()
            await peers.handler.release('second').set()
            assert await second.join() == b'second'
            assert (await peers.send_heartbeat()).attests
            await peers.handler.release('first').set()
            assert await first.join() == b'first'

    run(main)


def test_peer_that_is_down_is_unreachable_until_the_backoff_has_passed():
    """Guards against too frequent connection attempts, and giving up."""

    async def main():
        async with connected_pair() as peers:
            await peers.send_heartbeat()
            await peers.server.close()
            with pytest.raises((PeerLost, PeerUnreachable)):
                await peers.send_heartbeat()
            with pytest.raises(PeerUnreachable):
                await peers.send_heartbeat()
            restarted = PeerServer(
                handler=peers.handler,
                address=peers.address,
                limits=PeerServerLimits(),
            )
            await restarted.start()
            with pytest.raises(PeerUnreachable, match='waiting'):
                await peers.send_heartbeat()
            peers.clock.advance(RECONNECT_BACKOFF.max_ms)
            assert (await peers.send_heartbeat()).attests
            await restarted.close()

    run(main)


def test_call_without_answer_times_out_and_keeps_the_connection():
    """Guards against endless waits, and a late answer for another call."""

    async def main():
        async with connected_pair() as peers:
            with pytest.raises(PeerTimedOut):
                await peers.query('slow', timeout_ms=50)
            await peers.handler.release('slow').set()
            assert (await peers.send_heartbeat()).attests
            assert peers.handler.left == ['slow']

    run(main)


def test_frames_that_cannot_be_sent_leave_the_connection_usable():
    """Guards against an invalid call that breaks the other calls."""

    async def main():
        async with connected_pair(max_frame_bytes=1024) as peers:
            client = peers.client
            with pytest.raises(MalformedMessageError):
                await client.cancel_job(
                    msg.CancelJob(job_id='\ud800', team='t'),
                    timeout_ms=LONG_MS,
                )
            large = msg.ConfigCommitted(version=1, document=bytes(9 << 20))
            with pytest.raises(FrameTooLargeError):
                await client.config_committed(large, timeout_ms=LONG_MS)
            echo = msg.ConfigCommitted(version=1, document=b'')
            with pytest.raises(PeerFailed):
                await client.config_committed(echo, timeout_ms=LONG_MS)
            with pytest.raises(PeerFailed):
                await client.promise_config(
                    msg.PromiseConfig(revision=5),
                    timeout_ms=LONG_MS,
                )
            assert (await peers.send_heartbeat()).attests

    run(main)


def test_server_limits_the_calls_of_one_connection():
    """Guards against one peer that occupies the daemon with many calls."""

    async def main():
        async with connected_pair(max_calls=2) as peers:
            calls = [await curio.spawn(peers.query, job_id) for job_id in 'abc']
            started = {
                await peers.handler.entered.get(),
                await peers.handler.entered.get(),
            }
            assert (await send_heartbeat_separately(peers)).attests
            assert peers.handler.entered.empty()
            for job_id in 'abc':
                await peers.handler.release(job_id).set()
            answers = {await call.join() for call in calls}
            assert answers == {b'a', b'b', b'c'}
            assert started < {'a', 'b', 'c'}

    run(main)


def test_running_call_ends_before_the_client_closes():
    """Guards against interrupting a call when the list of peers changes."""

    async def main():
        async with connected_pair() as peers:
            call = await curio.spawn(peers.query, 'job')
            await peers.handler.entered.get()
            closing = await curio.spawn(peers.client.close_when_idle)
            await send_heartbeat_separately(peers)
            assert not closing.terminated
            await peers.handler.release('job').set()
            assert await call.join() == b'job'
            await closing.join()

    run(main)


def test_running_call_ends_before_the_server_is_idle():
    """Guards against interrupting a running call on shutdown."""

    async def main():
        async with connected_pair() as peers:
            call = await curio.spawn(peers.query, 'job')
            await peers.handler.entered.get()
            waiting = await curio.spawn(peers.server.wait_idle)
            await peers.send_heartbeat()
            assert not waiting.terminated
            await peers.handler.release('job').set()
            await waiting.join()
            assert await call.join() == b'job'

    run(main)
