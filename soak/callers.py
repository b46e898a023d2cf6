"""Callers of a soak: submit, cancel and query jobs, and record the answers."""

import dataclasses
import random
from typing import Any

import curio

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.http.client import (
    Address,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
)
from jayshore.http.messages import Request, Response, decode_json, encode_json
from soak.links import HOST
from soak.processes import API_KEYS, ROUTE_PREFIX, Processes

CALL_TIMEOUT_MS = Millis(3000)
"""Timeout of a call to an instance, in ms."""

_CONNECT_TIMEOUT_MS = Millis(500)
_CONNECTIONS = 8
_ATTEMPTS = 6
_PAUSE_MS_RANGE = (20, 250)
_POLL_MS = Millis(300)
_CANCELLED_SHARE = 0.08
_GANG_SHARE = 0.3
_REFUSED_STATUSES = frozenset((401, 404, 429, 503))
_STATUS_OK = 200
_STATUS_GONE = 410
FINAL_STATES = frozenset(('completed', 'failed', 'canceled'))


@dataclasses.dataclass(kw_only=True, slots=True)
class Submission:
    """A job as its caller knows it.

    Attributes:
        job_id: id chosen by the caller.
        steps: steps as submitted.
        accepted_at: when an instance accepted it, in ms; None before.
        unanswered: number of attempts whose outcome is unknown.
        cancelled_at: when its cancellation was acknowledged, in ms.
        cancel_sent: whether a cancellation was sent.
        state: the last reported state, empty before the first.
        unknown_at: last time at which an instance did not know the job after
            its acceptance, in ms.
    """

    job_id: str
    steps: list[dict[str, Any]]
    accepted_at: Millis | None = None
    unanswered: int = 0
    cancelled_at: Millis | None = None
    cancel_sent: bool = False
    state: str = ''
    unknown_at: Millis | None = None

    @property
    def was_refused(self) -> bool:
        """Whether every attempt was refused."""
        return self.accepted_at is None and not self.unanswered

    @property
    def unknown_for_ms(self) -> int:
        """Time from its acceptance until it was last unknown, in ms."""
        if self.unknown_at is None or self.accepted_at is None:
            return 0
        return self.unknown_at - self.accepted_at

    @property
    def is_final(self) -> bool:
        """Whether the last reported state is final."""
        return self.state in FINAL_STATES


class Callers:
    """Callers that share one pool of connections per instance."""

    def __init__(
        self, *, processes: Processes, clock: Clock, rng: random.Random
    ) -> None:
        """Create callers without submissions.

        Args:
            processes: the instances to call.
            clock: time of the answers.
            rng: random source of all choices.
        """
        self.submissions: list[Submission] = []
        self._clock = clock
        self._rng = rng
        self._clients = [
            HttpClient(
                address=Address(host=HOST, port=instance.front_port),
                max_connections=_CONNECTIONS,
                connect_timeout_ms=_CONNECT_TIMEOUT_MS,
            )
            for instance in processes.instances
        ]

    async def run(self) -> None:
        """Submit jobs until cancelled."""
        while True:
            submission = Submission(
                job_id=f'{self._rng.getrandbits(64):016x}',
                steps=self._make_steps(),
            )
            self.submissions.append(submission)
            await self._submit(submission)
            if self._rng.random() < _CANCELLED_SHARE:
                await self._cancel(submission)
            await curio.sleep(
                to_seconds(Millis(self._rng.randint(*_PAUSE_MS_RANGE)))
            )

    async def poll_states(self) -> None:
        """Query the state of accepted jobs until cancelled."""
        while True:
            for submission in tuple(self.submissions):
                if (
                    submission.accepted_at is not None
                    and not submission.is_final
                ):
                    await self.poll_state(submission)
            await curio.sleep(to_seconds(_POLL_MS))

    async def poll_state(self, submission: Submission) -> None:
        """Query the state of a job at a random instance.

        Args:
            submission: the job.
        """
        asked_at = self._clock.now()
        answer = await self._call('GET', submission.job_id)
        if answer is None:
            return
        if answer.status == _STATUS_OK:
            shown_state = decode_json(answer.body, dict[str, str])['State']
            submission.state = shown_state
        elif (
            answer.status == _STATUS_GONE and submission.accepted_at is not None
        ):
            if submission.accepted_at < asked_at:
                submission.unknown_at = asked_at

    async def close(self) -> None:
        """Close the connections."""
        for client in self._clients:
            await client.close()

    def _make_steps(self) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = []
        for number in range(self._rng.randint(1, 2)):
            step: dict[str, Any] = {
                'Count': self._rng.randint(1, 4),
                'Cpu': self._rng.choice((200, 500, 1000)),
                'MemMb': 100,
                'EstMs': 200,
            }
            if number:
                step['After'] = [number - 1]
            if self._rng.random() < _GANG_SHARE:
                step['Gang'] = True
            steps.append(step)
        return steps

    async def _submit(self, submission: Submission) -> None:
        body = {'Spec': submission.job_id, 'Steps': submission.steps}
        for _ in range(_ATTEMPTS):
            # Counted before the call, which may be cancelled in flight.
            submission.unanswered += 1
            answer = await self._call('POST', submission.job_id, body)
            if answer is not None and answer.status == _STATUS_OK:
                submission.accepted_at = self._clock.now()
                return
            if answer is not None and answer.status in _REFUSED_STATUSES:
                submission.unanswered -= 1
            await curio.sleep(
                to_seconds(Millis(self._rng.randint(*_PAUSE_MS_RANGE)))
            )

    async def _cancel(self, submission: Submission) -> None:
        submission.cancel_sent = True
        for _ in range(_ATTEMPTS):
            answer = await self._call('DELETE', submission.job_id)
            if answer is not None and answer.status in {
                _STATUS_OK,
                _STATUS_GONE,
            }:
                submission.cancelled_at = self._clock.now()
                return
            await curio.sleep(
                to_seconds(Millis(self._rng.randint(*_PAUSE_MS_RANGE)))
            )

    async def _call(
        self, method: str, job_id: str, body: object = None
    ) -> Response | None:
        request = Request(
            method=method,
            path=f'{ROUTE_PREFIX}{job_id}',
            headers={
                'authorization': f'Bearer {API_KEYS[0]}',
            },
            body=b'' if body is None else encode_json(body),
        )
        client = self._rng.choice(self._clients)
        try:
            return await client.call(request, timeout_ms=CALL_TIMEOUT_MS)
        except (ConnectFailed, ConnectionLost, CallTimedOut):
            return None
