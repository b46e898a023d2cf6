"""Serialization of peer messages with Cap'n Proto.

Only this module uses capnp. The schema is loaded at run time, and capnp readers
never leave this module, so that reading hostile bytes fails here and nowhere
else.
"""

import pathlib
import types
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeAlias

import capnp

from jayshore.clock import Millis
from jayshore.outcomes import (
    Accepted,
    NotRun,
    NotRunReason,
    Ran,
    RefusalReason,
    Refused,
    RequestOutcome,
    Unconfirmed,
    Unknown,
    UnknownReason,
)
from jayshore.wire import messages as msg
from jayshore.wire.errors import MalformedMessageError

_SCHEMA: Final = capnp.load(
    str(pathlib.Path(__file__).with_name('protocol.capnp')),
)
_NO_MILLIS: Final = -1

# Only small messages are packed, such as heartbeats, which are mostly zeros.
# Larger ones are not, because the limit on the length of a frame must also
# limit the receiver's memory, and a packed frame can unpack to a multiple of
# its length.
_WORD_BYTES: Final = 8
_MAX_PACKED_WORDS: Final = 255
_TABLE_WORDS: Final = 1
_MAX_PACKED_BYTES: Final = _WORD_BYTES * (_MAX_PACKED_WORDS + _TABLE_WORDS)

# A message of one segment and up to 255 words has a single non-zero byte in its
# first word, the fifth; 0x10 is the tag of such a word in the packed encoding.
# An unpacked frame that begins with 0x10 has a zero as its second byte, as it
# begins with four bytes that hold the number of segments less one. No other
# packed frame is read, so one unpacks to 256 words at most.
_PACKED_TAG: Final = 0x10

_Fields: TypeAlias = dict[str, Any]
_Encoder: TypeAlias = Callable[[Any], Any]
_Decoder: TypeAlias = Callable[[Any], msg.Message]
_Encoders: TypeAlias = Mapping[type[msg.Message], tuple[str, _Encoder]]
_Decoders: TypeAlias = Mapping[str, _Decoder]

_ENCODE_ERRORS: Final = (
    capnp.KjException,
    OverflowError,
    TypeError,
    ValueError,
)


def encode(envelope: msg.Envelope) -> bytes:
    """Serialize an envelope, packed if it is small.

    Args:
        envelope: the message and its call id.

    Returns:
        The bytes of one frame, without the length prefix.

    Raises:
        MalformedMessageError: a value does not fit into its field.
    """
    tag, encoder = _ENCODERS[type(envelope.message)]
    try:
        builder = _SCHEMA.Envelope.new_message(
            callId=envelope.call_id,
            **{tag: encoder(envelope.message)},
        )
    except _ENCODE_ERRORS as error:
        raise MalformedMessageError(f'cannot encode {tag}') from error
    frame: bytes = builder.to_bytes()
    if len(frame) <= _MAX_PACKED_BYTES:
        # Prevents a warning of capnp about serializing twice.
        builder.clear_write_flag()
        packed: bytes = builder.to_bytes_packed()
        return packed
    return frame


def decode(frame: bytes) -> msg.Envelope:
    """Deserialize an envelope.

    Args:
        frame: the bytes of one frame, without the length prefix.

    Returns:
        The message and its call id.

    Raises:
        MalformedMessageError: the bytes are not a message of this protocol.
    """
    try:
        if _is_packed(frame):
            return _read_envelope(_SCHEMA.Envelope.from_bytes_packed(frame))
        with _SCHEMA.Envelope.from_bytes(frame) as reader:
            return _read_envelope(reader)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MalformedMessageError(
            'the frame is not a valid message'
        ) from error


def _is_packed(frame: bytes) -> bool:
    return frame[:1] == bytes((_PACKED_TAG,)) and frame[1:2] != b'\0'


def _read_envelope(reader: Any) -> msg.Envelope:
    tag = str(reader.which())
    message = _DECODERS[tag](getattr(reader, tag))
    return msg.Envelope(call_id=reader.callId, message=message)


def _decode_optional_millis(number: int) -> Millis | None:
    return None if number < 0 else Millis(number)


def _encode_optional_millis(duration: Millis | None) -> int:
    return _NO_MILLIS if duration is None else duration


def _encode_status(status: msg.DaemonStatus) -> _Fields:
    return {
        'sender': status.sender,
        'domain': status.domain,
        'configVersion': status.config_version,
        'evidenceAgeMs': _encode_optional_millis(status.evidence_age_ms),
        'leaderEpoch': status.leader_epoch,
        'load': [
            {'service': entry.service, 'freeSlots': entry.free_slots}
            for entry in status.load
        ],
        'state': status.state.value,
    }


def _decode_status(reader: Any) -> msg.DaemonStatus:
    return msg.DaemonStatus(
        sender=reader.sender,
        domain=reader.domain,
        config_version=reader.configVersion,
        evidence_age_ms=_decode_optional_millis(reader.evidenceAgeMs),
        leader_epoch=reader.leaderEpoch,
        load=tuple(
            msg.ServiceLoad(service=entry.service, free_slots=entry.freeSlots)
            for entry in reader.load
        ),
        state=msg.DaemonState(str(reader.state)),
    )


def _encode_route(request: msg.RouteRequest) -> _Fields:
    return {
        'requestId': request.request_id,
        'service': request.service,
        'team': request.team,
        'keyId': request.key_id,
        'configVersion': request.config_version,
        'idempotent': request.idempotent,
        'timeoutMs': request.timeout_ms,
        'hops': request.hops,
        'body': request.body,
        'contentType': request.content_type,
    }


def _decode_route(reader: Any) -> msg.RouteRequest:
    return msg.RouteRequest(
        request_id=reader.requestId,
        service=reader.service,
        team=reader.team,
        key_id=reader.keyId,
        config_version=reader.configVersion,
        idempotent=reader.idempotent,
        timeout_ms=Millis(reader.timeoutMs),
        hops=reader.hops,
        body=reader.body,
        content_type=reader.contentType,
    )


def _encode_route_reply(reply: msg.RouteReply) -> _Fields:
    outcome = reply.outcome
    if isinstance(outcome, Ran):
        answer = {'body': outcome.body, 'contentType': outcome.content_type}
        return {'ran': answer}
    if isinstance(outcome, NotRun):
        retry_after = _encode_optional_millis(outcome.retry_after_ms)
        refusal = {'reason': outcome.reason.value, 'retryAfterMs': retry_after}
        return {'notRun': refusal}
    return {'unknown': {'reason': outcome.reason.value}}


def _decode_route_reply(reader: Any) -> msg.RouteReply:
    return msg.RouteReply(outcome=_read_outcome(reader))


def _read_outcome(reader: Any) -> RequestOutcome:
    tag = str(reader.which())
    if tag == 'ran':
        answer = reader.ran
        return Ran(body=answer.body, content_type=answer.contentType)
    if tag == 'notRun':
        return NotRun(
            reason=NotRunReason(reader.notRun.reason),
            retry_after_ms=_decode_optional_millis(reader.notRun.retryAfterMs),
        )
    return Unknown(reason=UnknownReason(reader.unknown.reason))


def _encode_query(query: msg.JobQuery) -> _Fields:
    access = query.access
    if isinstance(access, msg.TicketAccess):
        encoded_access = {'ticket': access.ticket}
    else:
        encoded_access = {'team': access.team}
    return {
        'jobId': query.job_id,
        'waitMs': query.wait_ms,
        'access': encoded_access,
    }


def _decode_query(reader: Any) -> msg.JobQuery:
    access: msg.TicketAccess | msg.TeamAccess
    if str(reader.access.which()) == 'ticket':
        access = msg.TicketAccess(ticket=reader.access.ticket)
    else:
        access = msg.TeamAccess(team=reader.access.team)
    return msg.JobQuery(
        job_id=reader.jobId,
        access=access,
        wait_ms=Millis(reader.waitMs),
    )


def _encode_query_reply(reply: msg.JobQueryReply) -> _Fields:
    if reply.document is None:
        return {'unknown': None}
    return {'document': reply.document}


def _decode_query_reply(reader: Any) -> msg.JobQueryReply:
    known = str(reader.which()) == 'document'
    return msg.JobQueryReply(document=reader.document if known else None)


def _encode_submit_reply(reply: msg.SubmitJobReply) -> _Fields:
    outcome = reply.outcome
    if isinstance(outcome, Accepted):
        return {'accepted': {'jobId': outcome.job_id, 'ticket': outcome.ticket}}
    if isinstance(outcome, Unconfirmed):
        return {
            'unconfirmed': {'jobId': outcome.job_id, 'ticket': outcome.ticket},
        }
    return {
        'refused': {
            'reason': outcome.reason.value,
            'detail': outcome.detail,
            'retryAfterMs': _encode_optional_millis(outcome.retry_after_ms),
        }
    }


def _decode_submit_reply(reader: Any) -> msg.SubmitJobReply:
    if str(reader.which()) == 'accepted':
        accepted = reader.accepted
        return msg.SubmitJobReply(
            outcome=Accepted(job_id=accepted.jobId, ticket=accepted.ticket)
        )
    if str(reader.which()) == 'unconfirmed':
        unconfirmed = reader.unconfirmed
        return msg.SubmitJobReply(
            outcome=Unconfirmed(
                job_id=unconfirmed.jobId, ticket=unconfirmed.ticket
            )
        )
    refused = reader.refused
    return msg.SubmitJobReply(
        outcome=Refused(
            reason=RefusalReason(refused.reason),
            detail=refused.detail,
            retry_after_ms=_decode_optional_millis(refused.retryAfterMs),
        )
    )


_ENCODERS: Final[_Encoders] = types.MappingProxyType(
    {
        msg.Heartbeat: ('heartbeat', lambda call: _encode_status(call.status)),
        msg.HeartbeatReply: (
            'heartbeatReply',
            lambda reply: {
                'status': _encode_status(reply.status),
                'attests': reply.attests,
            },
        ),
        msg.PromiseConfig: (
            'promiseConfig',
            lambda call: {'revision': call.revision},
        ),
        msg.PromiseConfigReply: (
            'promiseConfigReply',
            lambda reply: {
                'promised': reply.promised,
                'configVersion': reply.config_version,
            },
        ),
        msg.ConfigCommitted: (
            'configCommitted',
            lambda call: {'version': call.version, 'document': call.document},
        ),
        msg.ConfigCommittedReply: (
            'configCommittedReply',
            lambda reply: {'configVersion': reply.config_version},
        ),
        msg.RouteRequest: ('routeRequest', _encode_route),
        msg.RouteReply: ('routeReply', _encode_route_reply),
        msg.SubmitJob: (
            'submitJob',
            lambda call: {'record': call.record, 'ticket': call.ticket},
        ),
        msg.SubmitJobReply: ('submitJobReply', _encode_submit_reply),
        msg.JobQuery: ('jobQuery', _encode_query),
        msg.JobQueryReply: ('jobQueryReply', _encode_query_reply),
        msg.CancelJob: (
            'cancelJob',
            lambda call: {'jobId': call.job_id, 'team': call.team},
        ),
        msg.CancelJobReply: (
            'cancelJobReply',
            lambda reply: {'result': reply.result.value},
        ),
        msg.SloQuery: ('sloQuery', lambda _: None),
        msg.SloReply: (
            'sloReply',
            lambda reply: {'document': reply.document},
        ),
        msg.CallFailed: ('callFailed', lambda reply: {'detail': reply.detail}),
    }
)

_DECODERS: Final[_Decoders] = types.MappingProxyType(
    {
        'heartbeat': lambda reader: msg.Heartbeat(
            status=_decode_status(reader)
        ),
        'heartbeatReply': lambda reader: msg.HeartbeatReply(
            status=_decode_status(reader.status),
            attests=reader.attests,
        ),
        'promiseConfig': lambda reader: msg.PromiseConfig(
            revision=reader.revision,
        ),
        'promiseConfigReply': lambda reader: msg.PromiseConfigReply(
            promised=reader.promised,
            config_version=reader.configVersion,
        ),
        'configCommitted': lambda reader: msg.ConfigCommitted(
            version=reader.version,
            document=reader.document,
        ),
        'configCommittedReply': lambda reader: msg.ConfigCommittedReply(
            config_version=reader.configVersion,
        ),
        'routeRequest': _decode_route,
        'routeReply': _decode_route_reply,
        'submitJob': lambda reader: msg.SubmitJob(
            record=reader.record, ticket=reader.ticket
        ),
        'submitJobReply': _decode_submit_reply,
        'jobQuery': _decode_query,
        'jobQueryReply': _decode_query_reply,
        'cancelJob': lambda reader: msg.CancelJob(
            job_id=reader.jobId,
            team=reader.team,
        ),
        'cancelJobReply': lambda reader: msg.CancelJobReply(
            result=msg.CancelResult(str(reader.result)),
        ),
        'sloQuery': lambda _: msg.SloQuery(),
        'sloReply': lambda reader: msg.SloReply(document=reader.document),
        'callFailed': lambda reader: msg.CallFailed(detail=reader.detail),
    }
)
