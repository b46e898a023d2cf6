"""Executor and placement advice protocols of the platform stand-in."""

import types
from typing import Any

import curio
import msgspec

from jayshore.clock import Millis, to_seconds
from jayshore.fleet.interfaces import (
    RenewalReply,
    RenewalRequest,
    StartOrder,
    StartResult,
)
from jayshore.fleet.model import TaskId, format_task_id, parse_task_id
from jayshore.http.messages import Request, Response, json_response
from jayshore.http.server import Handler
from jayshore.http.serverconnection import DropConnection
from standins.memoryworker import MemoryWorker

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421

_REASONS = types.MappingProxyType(
    {
        StartResult.FENCED: 'fence',
        StartResult.OLD_RUN: 'old',
        StartResult.LATE: 'late',
    }
)


class ExecutorHandler(Handler):
    """Serves the protocol of one executor."""

    def __init__(self, *, worker: MemoryWorker) -> None:
        """Create the handler of one executor.

        Args:
            worker: state of the executor.
        """
        self._worker = worker

    async def handle(self, request: Request) -> Response:
        """Answer a call.

        Args:
            request: the call.

        Returns:
            The answer.
        """
        target = request.headers.get('jayshore-target-instance')
        if target != self._worker.worker_id:
            return json_response(_MISDIRECTED, {})
        body = msgspec.json.decode(request.body)
        if request.path == '/-/hold':
            return await self._renew_lease(body)
        task = parse_task_id(body['Task'])
        if task is None:
            return json_response(_BAD_REQUEST, {})
        if request.path == '/-/run-start':
            if self._worker.faults.lose_starts:
                await self._lose_start(task, body)
            return self._start(task, body)
        accepted = self._worker.stop(task, body['Run'], body['Fence'])
        return json_response(
            _OK if accepted else _CONFLICT, {'ClockMs': self._worker.clock_ms}
        )

    async def _lose_start(self, task: TaskId, body: dict[str, Any]) -> None:
        """Carry out a start late, if at all, and drop the connection."""
        faults = self._worker.faults
        faults.lose_starts -= 1
        if faults.late_ms is not None:
            await curio.spawn(
                self._start_late, task, body, faults.late_ms, daemon=True
            )
        raise DropConnection('the answer is lost')

    async def _start_late(
        self, task: TaskId, body: dict[str, Any], delay_ms: int
    ) -> None:
        await curio.sleep(to_seconds(Millis(delay_ms)))
        self._start(task, body)

    def _start(self, task: TaskId, body: dict[str, Any]) -> Response:
        answer = self._worker.start(
            StartOrder(
                task=task,
                run=body['Run'],
                payload=body['Spec'],
                lease_until_ms=body['ExpiresMs'],
                fence=body['Fence'],
                checkpoint=body.get('Checkpoint', ''),
                ticket=body.get('Ticket', ''),
            )
        )
        content: dict[str, Any] = {'ClockMs': self._worker.clock_ms}
        if answer.result is StartResult.STARTED:
            return json_response(_OK, content)
        content['Reason'] = _REASONS[answer.result]
        return json_response(_CONFLICT, content)

    async def _renew_lease(self, body: dict[str, Any]) -> Response:
        reply = await self._worker.renew(
            RenewalRequest(
                fence=body['Fence'],
                last_seen=body['LastSeen'],
                lease_until_ms=body.get('ExpiresMs'),
                wait_ms=Millis(body.get('WaitMs', 0)),
            )
        )
        if reply.fenced:
            return json_response(_CONFLICT, {'Reason': 'fence'})
        return json_response(_OK, _encode_renewal(reply))


class AdviceHandler(Handler):
    """Serves placement advice that allows every worker."""

    async def handle(self, request: Request) -> Response:
        """Answer a call.

        Args:
            request: the call.

        Returns:
            A ticket for each worker that the call names.
        """
        body = msgspec.json.decode(request.body)
        allowed = [(worker, 'ticket') for worker in body['Workers']]
        return json_response(_OK, {'Good': allowed, 'ValidityMs': 2000})


def _encode_renewal(reply: RenewalReply) -> dict[str, Any]:
    return {
        'ClockMs': reply.clock_ms,
        'born': reply.born_ms,
        'Running': [
            [run.name, run.run, run.checkpoint, run.percent]
            for run in reply.running
        ],
        'Finished': [
            [
                end.number,
                '' if end.task is None else format_task_id(end.task),
                end.run,
                end.kind,
                end.checkpoint,
            ]
            for end in reply.ended
        ],
    }
