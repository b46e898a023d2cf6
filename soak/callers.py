"""Callers of a soak: they submit, cancel and ask, and remember the answers."""

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
from soak.processes import KEYS, PREFIX, Processes

CALL_MS = Millis(3000)
"""How long a caller waits for an answer, in ms."""

_CONNECT_MS = Millis(500)
_CONNECTIONS = 8
_ATTEMPTS = 6
_PAUSE_MS = (20, 250)
_POLL_MS = Millis(300)
_CANCELLED_SHARE = 0.08
_GANG_SHARE = 0.3
_REFUSED = frozenset((401, 404, 429, 503))
_ACCEPTED = 200
_GONE = 410
FINAL = frozenset(('completed', 'failed', 'canceled'))


@dataclasses.dataclass(kw_only=True, slots=True)
class Submission:
    """What a caller knows of one job.

    Attributes:
        job_id: chosen by the caller.
        steps: as submitted.
        accepted_at: when an instance accepted it, in ms; None before.
        unanswered: attempts whose outcome is not known.
        cancelled_at: when its cancellation was acknowledged, in ms.
        cancel_sent: a cancellation was sent.
        state: last state that was shown.
        unknown_at: when it was shown as unknown after it was accepted, in ms.
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
    def refused(self) -> bool:
        """Whether every attempt was refused."""
        return self.accepted_at is None and not self.unanswered

    @property
    def unknown_for_ms(self) -> int:
        """How long after its acceptance it was last shown as unknown."""
        if self.unknown_at is None or self.accepted_at is None:
            return 0
        return self.unknown_at - self.accepted_at

    @property
    def final(self) -> bool:
        """Whether the last state that was shown no longer changes."""
        return self.state in FINAL


class Callers:
    """Callers that keep their connections for as long as they last."""

    def __init__(
        self, *, processes: Processes, clock: Clock, source: random.Random
    ) -> None:
        """Start without submissions.

        Args:
            processes: whose fronts are called.
            clock: measures when answers come.
            source: of all choices.
        """
        self.submissions: list[Submission] = []
        self._clock = clock
        self._source = source
        self._fronts = [
            HttpClient(
                address=Address(host=HOST, port=instance.front),
                max_connections=_CONNECTIONS,
                connect_timeout_ms=_CONNECT_MS,
            )
            for instance in processes.instances
        ]

    async def run(self) -> None:
        """Submit jobs until cancelled."""
        while True:
            submission = Submission(
                job_id=f'{self._source.getrandbits(64):016x}',
                steps=self._make_steps(),
            )
            self.submissions.append(submission)
            await self._submit(submission)
            if self._source.random() < _CANCELLED_SHARE:
                await self._cancel(submission)
            await curio.sleep(
                to_seconds(Millis(self._source.randint(*_PAUSE_MS)))
            )

    async def follow(self) -> None:
        """Ask for the state of accepted jobs until cancelled."""
        while True:
            for submission in tuple(self.submissions):
                if submission.accepted_at is not None and not submission.final:
                    await self.ask(submission)
            await curio.sleep(to_seconds(_POLL_MS))

    async def ask(self, submission: Submission) -> None:
        """Ask any instance for the state of a job.

        Args:
            submission: the job.
        """
        asked_at = self._clock.now()
        answer = await self._call('GET', submission.job_id)
        if answer is None:
            return
        if answer.status == _ACCEPTED:
            shown = decode_json(answer.body, dict[str, str])['State']
            submission.state = shown
        elif answer.status == _GONE and submission.accepted_at is not None:
            if submission.accepted_at < asked_at:
                submission.unknown_at = asked_at

    async def close(self) -> None:
        """Close the connections."""
        for client in self._fronts:
            await client.close()

    def _make_steps(self) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = []
        for number in range(self._source.randint(1, 2)):
            step: dict[str, Any] = {
                'Count': self._source.randint(1, 4),
                'Cpu': self._source.choice((200, 500, 1000)),
                'MemMb': 100,
                'EstMs': 200,
            }
            if number:
                step['After'] = [number - 1]
            if self._source.random() < _GANG_SHARE:
                step['Gang'] = True
            steps.append(step)
        return steps

    async def _submit(self, submission: Submission) -> None:
        body = {'Spec': submission.job_id, 'Steps': submission.steps}
        for _ in range(_ATTEMPTS):
            # Counted before the call, which may be cancelled under way.
            submission.unanswered += 1
            answer = await self._call('POST', submission.job_id, body)
            if answer is not None and answer.status == _ACCEPTED:
                submission.accepted_at = self._clock.now()
                return
            if answer is not None and answer.status in _REFUSED:
                submission.unanswered -= 1
            await curio.sleep(
                to_seconds(Millis(self._source.randint(*_PAUSE_MS)))
            )

    async def _cancel(self, submission: Submission) -> None:
        submission.cancel_sent = True
        for _ in range(_ATTEMPTS):
            answer = await self._call('DELETE', submission.job_id)
            if answer is not None and answer.status in {_ACCEPTED, _GONE}:
                submission.cancelled_at = self._clock.now()
                return
            await curio.sleep(
                to_seconds(Millis(self._source.randint(*_PAUSE_MS)))
            )

    async def _call(
        self, method: str, job_id: str, body: object = None
    ) -> Response | None:
        request = Request(
            method=method,
            path=f'{PREFIX}{job_id}',
            headers={
                'authorization': f'Bearer {KEYS[0]}',
            },
            body=b'' if body is None else encode_json(body),
        )
        client = self._source.choice(self._fronts)
        try:
            return await client.call(request, timeout_ms=CALL_MS)
        except (ConnectFailed, ConnectionLost, CallTimedOut):
            return None
