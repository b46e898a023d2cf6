"""Tests of peer server and client on the loopback interface."""

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
    """Answers a query once the job named in it is released."""

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


class Rig:
    """A server, a client to it and the clock of the client."""

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

    async def beat(self):
        call = msg.Heartbeat(status=STATUS)
        return await self.client.heartbeat(call, timeout_ms=LONG_MS)


@contextlib.asynccontextmanager
async def rig(**limits):
    handler = ScriptedHandler()
    server = PeerServer(
        handler=handler,
        address=LOOPBACK,
        limits=PeerServerLimits(**limits),
    )
    address = await server.start()
    clock = ManualClock()
    client = client_of(address, clock)
    try:
        yield Rig(handler, server, client, clock, address)
    finally:
        await client.close()
        await server.close()


def client_of(address, clock):
    return PeerClient(address=address, clock=clock, rng=random.Random(1))


async def client_beat(peers):
    """Exchange a heartbeat on another connection."""
    other = client_of(peers.address, peers.clock)
    reply = await other.heartbeat(
        msg.Heartbeat(status=STATUS),
        timeout_ms=LONG_MS,
    )
    await other.close()
    return reply


def endpoint(address):
    return address.host, address.port


def run(main):
    """Run a test body as the daemon runs."""
    curio.run(main, taskcls=curio.task.ContextTask)


@contextlib.asynccontextmanager
async def scripted_peer(serve):
    """Listen with a peer that does what the test says, for one connection."""
    listener = curio.tcp_server_socket('127.0.0.1', 0)

    async def accept():
        sock, _ = await listener.accept()
        async with sock:
            await serve(sock)

    task = await curio.spawn(accept)
    host, port = listener.getsockname()
    client = client_of(PeerAddress(host=host, port=port), ManualClock())
    try:
        yield client
    finally:
        await client.close()
        await task.cancel()
        await listener.close()


def test_crossed_answers_reach_their_calls():
    """Guards against delivering answers in the order of the calls."""

    async def main():
        async with rig() as peers:
            first = await curio.spawn(peers.query, 'first')
            second = await curio.spawn(peers.query, 'second')
            await peers.handler.entered.get()
            await peers.handler.entered.get()
            await peers.handler.release('second').set()
            assert await second.join() == b'second'
            assert (await peers.beat()).attests
            await peers.handler.release('first').set()
            assert await first.join() == b'first'

    run(main)


def test_peer_that_is_down_is_unreachable_until_the_backoff_has_passed():
    """Guards against a flood of connection attempts, and against giving up."""

    async def main():
        async with rig() as peers:
            await peers.beat()
            await peers.server.close()
            with pytest.raises((PeerLost, PeerUnreachable)):
                await peers.beat()
            with pytest.raises(PeerUnreachable):
                await peers.beat()
            revived = PeerServer(
                handler=peers.handler,
                address=peers.address,
                limits=PeerServerLimits(),
            )
            await revived.start()
            with pytest.raises(PeerUnreachable, match='waiting'):
                await peers.beat()
            peers.clock.advance(RECONNECT_BACKOFF.max_ms)
            assert (await peers.beat()).attests
            await revived.close()

    run(main)


def test_call_without_answer_times_out_and_the_connection_stays():
    """Guards against an unbounded wait and a late answer to another call."""

    async def main():
        async with rig() as peers:
            with pytest.raises(PeerTimedOut):
                await peers.query('slow', timeout_ms=50)
            await peers.handler.release('slow').set()
            assert (await peers.beat()).attests
            assert peers.handler.left == ['slow']

    run(main)


def test_frames_that_cannot_be_sent_leave_the_connection_usable():
    """Guards against breaking other calls because of an invalid one."""

    async def main():
        async with rig(max_frame_bytes=1024) as peers:
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
            assert (await peers.beat()).attests

    run(main)


def test_server_bounds_the_calls_of_one_connection():
    """Guards against one peer that occupies the daemon with many calls."""

    async def main():
        async with rig(max_calls=2) as peers:
            calls = [await curio.spawn(peers.query, job_id) for job_id in 'abc']
            started = {
                await peers.handler.entered.get(),
                await peers.handler.entered.get(),
            }
            assert (await client_beat(peers)).attests
            assert peers.handler.entered.empty()
            for job_id in 'abc':
                await peers.handler.release(job_id).set()
            answers = {await call.join() for call in calls}
            assert answers == {b'a', b'b', b'c'}
            assert started < {'a', 'b', 'c'}

    run(main)


def test_running_call_ends_before_the_client_closes():
    """Guards against a change of the roster that interrupts a running call."""

    async def main():
        async with rig() as peers:
            call = await curio.spawn(peers.query, 'job')
            await peers.handler.entered.get()
            closing = await curio.spawn(peers.client.close_when_idle)
            await client_beat(peers)
            assert not closing.terminated
            await peers.handler.release('job').set()
            assert await call.join() == b'job'
            await closing.join()

    run(main)


def test_running_call_ends_before_the_server_is_idle():
    """Guards against a stop that interrupts a running call."""

    async def main():
        async with rig() as peers:
            call = await curio.spawn(peers.query, 'job')
            await peers.handler.entered.get()
            waiting = await curio.spawn(peers.server.wait_idle)
            await peers.beat()
            assert not waiting.terminated
            await peers.handler.release('job').set()
            await waiting.join()
            assert await call.join() == b'job'

    run(main)
