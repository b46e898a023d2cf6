"""Tests of cancellations during a change of leader."""

from types import SimpleNamespace

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.daemon.cancellation import CancelForwarder
from jayshore.wire import messages as msg
from jayshore.wire.errors import PeerUnreachable

CALL = msg.CancelJob(job_id='job', team='team')
LIMIT_MS = Millis(2000)
ROUND_MS = Millis(500)


class FakePeers:
    """Domain leaders with a scripted answer for each successive call.

    None stands for an unknown leader, an exception for a failed call. The last
    answer of a script repeats.
    """

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = {name: list(script) for name, script in answers.items()}
        self.asked = []

    def leader_of(self, domain):
        script = self.answers[domain]
        answer = script.pop(0) if len(script) > 1 else script[0]
        if answer is None:
            return None

        async def cancel_job(call, *, timeout_ms):
            self.asked.append(domain)
            if isinstance(answer, Exception):
                raise answer
            return msg.CancelJobReply(result=answer)

        return SimpleNamespace(client=SimpleNamespace(cancel_job=cancel_job))

    async def send_heartbeats(self):
        self.clock.advance(ROUND_MS)


def cancel(answers):
    """Cancel a job; return the result, the time taken and the calls made."""
    clock = ManualClock()
    peers = FakePeers(clock, answers)
    forwarder = CancelForwarder(peers=peers, clock=clock, limit_ms=LIMIT_MS)
    began = clock.now()
    result = curio.run(forwarder.cancel, CALL, tuple(answers))
    return result, clock.now() - began, peers.asked


@pytest.mark.parametrize(
    'before',
    [None, msg.CancelResult.STANDBY, PeerUnreachable('cut off')],
)
def test_leader_that_was_just_elected_is_found(before):
    """Guards against a job reported unknown before its leader was asked."""
    unknown = msg.CancelResult.UNKNOWN
    answers = {'east': (before, msg.CancelResult.CANCELLED), 'west': (unknown,)}
    result, _, asked = cancel(answers)
    assert result is msg.CancelResult.CANCELLED
    assert asked.count('west') == 1


@pytest.mark.parametrize(
    ('east', 'longest_ms'),
    [
        (msg.CancelResult.UNKNOWN, 0),
        (msg.CancelResult.STANDBY, LIMIT_MS + ROUND_MS),
        (None, LIMIT_MS + ROUND_MS),
    ],
)
def test_search_is_bounded(east, longest_ms):
    """Guards against a caller blocked by a domain that has no leader."""
    result, took, _ = cancel({'east': (east,)})
    assert result is msg.CancelResult.UNKNOWN
    assert took <= longest_ms
