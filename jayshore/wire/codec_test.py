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

# Half of the 120 bytes of an unpacked idle heartbeat.
MAX_IDLE_HEARTBEAT_BYTES = 60

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
IDLE_STATUS = msg.DaemonStatus(
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
    msg.HeartbeatReply(status=IDLE_STATUS, attests=True),
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
def test_message_round_trip(message):
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
def test_value_that_does_not_fit_is_rejected(message):
    """Guards against exceptions of capnp that leave the package."""
    with pytest.raises(MalformedMessageError):
        encode(msg.Envelope(call_id=1, message=message))


@pytest.mark.parametrize('fill', [b'\x00', b'\x07'])
def test_round_trip_of_messages_of_any_size(fill):
    """Guards against mistaking a packed frame for an unpacked one."""
    sizes = (*range(1900, 2100), 8000, 8200, 100_000)
    for size in sizes:
        message = msg.SloReply(document=fill * size)
        envelope = msg.Envelope(call_id=2**64 - 1, message=message)
        assert decode(encode(envelope)) == envelope


def test_round_trip_of_a_status_with_many_services():
    """Guards against a limit on unpacking that rejects a small message."""
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
    """Guards against heartbeats of twice the length."""
    envelope = msg.Envelope(
        call_id=1, message=msg.Heartbeat(status=IDLE_STATUS)
    )
    assert len(encode(envelope)) <= MAX_IDLE_HEARTBEAT_BYTES


def test_large_frame_is_as_long_as_its_content():
    """Guards against a limit on frames that does not limit memory."""
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
def test_frame_that_unpacks_to_a_multiple_is_rejected(start):
    """Guards against a short frame that unpacks into much memory."""
    zeros = bytes((0, 255)) * (32 << 10)
    with pytest.raises(MalformedMessageError):
        decode(start + zeros)


def decode_or_reject(frame):
    """Decode a frame, which may fail only with MalformedMessageError."""
    try:
        decode(frame)
    except MalformedMessageError:
        return


@seed(1)
@given(st.binary(max_size=200))
def test_garbage_is_rejected(frame):
    """Guards against any other exception on hostile bytes."""
    decode_or_reject(frame)


@seed(2)
@given(
    st.sampled_from(MESSAGES),
    st.integers(min_value=0),
    st.integers(min_value=0, max_value=255),
    st.booleans(),
)
def test_damaged_message_is_rejected(message, position, octet, cut):
    """Guards against any other exception inside a damaged message."""
    frame = bytearray(encode(msg.Envelope(call_id=1, message=message)))
    position %= len(frame)
    frame[position] = octet
    decode_or_reject(bytes(frame[:position] if cut else frame))
