"""Tests of the serialization of messages."""

import dataclasses
import struct

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from jayshore.outcomes import (
    Accepted,
    NotRun,
    NotRunReason,
    Ran,
    RefusalReason,
    Refused,
    Unconfirmed,
    Unknown,
    UnknownReason,
)
from jayshore.wire import messages as msg
from jayshore.wire.codec import decode, encode
from jayshore.wire.errors import MalformedMessageError

# Half of the 120 bytes that it has without packing.
MAX_IDLE_BYTES = 60

STATUS = msg.DaemonStatus(
    sender='d1',
    domain='north',
    config_version=2**63 + 1,
    evidence_age_ms=0,
    leader_epoch=9,
    load=(
        msg.ServiceLoad(service='fill', free_slots=3),
        msg.ServiceLoad(service='labels', free_slots=0),
    ),
    state=msg.DaemonState.DRAINING,
)
IDLE = msg.DaemonStatus(
    sender='d2',
    domain='south',
    config_version=0,
    evidence_age_ms=None,
    leader_epoch=0,
    load=(),
    state=msg.DaemonState.STARTING,
)
ROUTE = msg.RouteRequest(
    request_id='r1',
    service='fill',
    team='dealer',
    key_id='k1',
    config_version=7,
    idempotent=True,
    timeout_ms=1500,
    hops=1,
    body=b'\x00\xffbody',
    content_type='application/json',
)
MESSAGES = (
    msg.Heartbeat(status=STATUS),
    msg.HeartbeatReply(status=IDLE, attests=True),
    msg.PromiseConfig(revision=5),
    msg.SloQuery(),
    msg.SloReply(document=b'{}'),
    msg.SubmitJob(record=b'{}', ticket='t'),
    msg.SubmitJobReply(outcome=Accepted(job_id='j', ticket='t')),
    msg.SubmitJobReply(outcome=Unconfirmed(job_id='j', ticket='t')),
    msg.SubmitJobReply(
        outcome=Refused(reason=RefusalReason.NEVER_FITS, detail='memory_mb')
    ),
    msg.SubmitJobReply(
        outcome=Unconfirmed(job_id='j', ticket='t', retry_after_ms=1000)
    ),
    msg.PromiseConfigReply(promised=True, config_version=4),
    msg.ConfigCommitted(version=5, document=b'{}'),
    msg.ConfigCommittedReply(config_version=5),
    ROUTE,
    msg.RouteReply(outcome=Ran(body=b'done', content_type='text/plain')),
    msg.RouteReply(outcome=NotRun(reason=NotRunReason.OVERLOADED)),
    msg.RouteReply(
        outcome=NotRun(reason=NotRunReason.NOT_FRESH, retry_after_ms=0),
    ),
    msg.RouteReply(outcome=Unknown(reason=UnknownReason.TIMEOUT)),
    msg.JobQuery(job_id='j', access=msg.TicketAccess(ticket='t'), wait_ms=9),
    msg.JobQuery(job_id='j', access=msg.TeamAccess(team='t'), wait_ms=0),
    msg.JobQueryReply(document=None),
    msg.JobQueryReply(document=b''),
    msg.CancelJob(job_id='j', team='t'),
    msg.CancelJobReply(result=msg.CancelResult.FINISHED),
    msg.CallFailed(detail='ValueError'),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_message_survives_the_wire(message):
    """Guards against a field that is dropped or mixed up with another."""
    envelope = msg.Envelope(call_id=77, message=message)
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    'message',
    [
        msg.ConfigCommittedReply(config_version=-1),
        msg.ConfigCommittedReply(config_version=2**64),
        msg.CancelJob(job_id=None, team='t'),
        msg.CancelJob(job_id='\ud800', team='t'),
    ],
)
def test_value_that_does_not_fit_is_refused(message):
    """Guards against an exception of capnp that leaves the package."""
    with pytest.raises(MalformedMessageError):
        encode(msg.Envelope(call_id=1, message=message))


@pytest.mark.parametrize('fill', [b'\x00', b'\x07'])
def test_messages_of_any_size_survive_the_wire(fill):
    """Guards against a frame whose encoding is mistaken for the other one."""
    sizes = (*range(1900, 2100), 8000, 8200, 100_000)
    for size in sizes:
        message = msg.SloReply(document=fill * size)
        envelope = msg.Envelope(call_id=2**64 - 1, message=message)
        assert decode(encode(envelope)) == envelope


def test_status_with_many_services_survives_the_wire():
    """Guards against a bound on unpacking that refuses a small message."""
    for count in range(1, 80):
        load = tuple(
            msg.ServiceLoad(service=f's{number}', free_slots=number)
            for number in range(count)
        )
        status = dataclasses.replace(STATUS, load=load)
        envelope = msg.Envelope(
            call_id=1, message=msg.HeartbeatReply(status=status, attests=True)
        )
        assert decode(encode(envelope)) == envelope


def test_idle_heartbeat_is_packed():
    """Guards against heartbeats that cost twice the bytes."""
    envelope = msg.Envelope(call_id=1, message=msg.Heartbeat(status=IDLE))
    assert len(encode(envelope)) <= MAX_IDLE_BYTES


def test_large_frame_is_as_long_as_its_content():
    """Guards against a bound on frames that does not bound the memory."""
    message = msg.SloReply(document=bytes(100_000))
    assert len(encode(msg.Envelope(call_id=1, message=message))) > 100_000


@pytest.mark.parametrize(
    'start',
    [
        b'\x10\xff',
        struct.pack('<BI', 0x78, 8 << 20),
        struct.pack('<BBI', 0xF1, 1, 8 << 20),
    ],
)
def test_frame_that_unpacks_to_a_multiple_is_refused(start):
    """Guards against a short frame that takes much memory."""
    zeros = bytes((0, 255)) * (32 << 10)
    with pytest.raises(MalformedMessageError):
        decode(start + zeros)


def decodes_or_refuses(frame):
    """Decode; the only accepted failure is the typed one."""
    try:
        decode(frame)
    except MalformedMessageError:
        return


@seed(1)
@given(st.binary(max_size=200))
def test_garbage_is_refused(frame):
    """Guards against an untyped failure on hostile bytes."""
    decodes_or_refuses(frame)


@seed(2)
@given(
    st.sampled_from(MESSAGES),
    st.integers(min_value=0),
    st.integers(min_value=0, max_value=255),
    st.booleans(),
)
def test_damaged_message_is_refused(message, position, octet, cut):
    """Guards against an untyped failure deep inside a damaged message."""
    frame = bytearray(encode(msg.Envelope(call_id=1, message=message)))
    position %= len(frame)
    frame[position] = octet
    decodes_or_refuses(bytes(frame[:position] if cut else frame))
