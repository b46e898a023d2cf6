"""Client of an in-memory worker, with the faults of its connection."""

import curio

from jayshore.clock import Millis, to_seconds
from jayshore.fleet.interfaces import (
    RenewalReply,
    RenewalRequest,
    StartOrder,
    StartReply,
    StartResult,
    WorkerClient,
    WorkerUnreachable,
)
from jayshore.fleet.model import TaskId
from standins.memoryworker import MemoryWorker


class MemoryWorkerClient(WorkerClient):
    """Calls an in-memory worker and applies the faults of its connection."""

    def __init__(
        self,
        *,
        worker: MemoryWorker,
        timeout_ms: Millis,
        worker_id: str = '',
    ) -> None:
        """Create a client of one worker.

        Args:
            worker: the worker.
            timeout_ms: timeout of a call without an answer, in ms.
            worker_id: id under which the worker is called; its current one by
                default.
        """
        self._worker = worker
        self._worker_id = worker_id or worker.worker_id
        self._timeout_ms = timeout_ms

    async def start(self, order: StartOrder) -> StartReply:
        """Order a start.

        Args:
            order: the run to start.

        Returns:
            The worker's reply.
        """
        await self._check_reachable()
        if self._is_other_incarnation():
            return StartReply(result=StartResult.OTHER_INCARNATION)
        faults = self._worker.faults
        if not faults.lose_starts:
            incarnation = self._worker.incarnation
            reply = self._worker.start(order)
            self._check_unbroken(incarnation)
            return reply
        faults.lose_starts -= 1
        if faults.late_ms is not None:
            await curio.spawn(
                self._start_late, order, faults.late_ms, daemon=True
            )
        return await self._raise_timeout()

    async def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Order a stop.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader, as the fencing token.

        Returns:
            True if the worker accepted the order.
        """
        await self._check_reachable()
        if self._is_other_incarnation():
            return False
        accepted = self._worker.stop(task, run, fence)
        if self._worker.faults.lose_stops:
            self._worker.faults.lose_stops -= 1
            await self._raise_timeout()
        return accepted

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew the lease and read the running and ended runs.

        Args:
            request: end of the lease, and the last end that the leader saw.

        Returns:
            The worker's reply.
        """
        await self._check_reachable()
        if self._is_other_incarnation():
            return RenewalReply(other_incarnation=True)
        incarnation = self._worker.incarnation
        reply = await self._worker.renew(request)
        self._check_unbroken(incarnation)
        await self._check_reachable()
        return reply

    async def close(self) -> None:
        """Do nothing, since there is no connection."""

    async def _start_late(self, order: StartOrder, delay: Millis) -> None:
        await curio.sleep(to_seconds(delay))
        # A worker that is down gets no order, and is another one when it is up.
        if not (self._worker.down or self._is_other_incarnation()):
            self._worker.start(order)

    def _is_other_incarnation(self) -> bool:
        return self._worker.worker_id != self._worker_id

    def _check_unbroken(self, incarnation: int) -> None:
        """Raise if the worker crashed during a call."""
        if self._worker.incarnation != incarnation:
            raise WorkerUnreachable('closed', sent=True, broken=True)

    async def _check_reachable(self) -> None:
        if self._worker.faults.refused or self._worker.down:
            raise WorkerUnreachable('refused', sent=False)
        if self._worker.faults.silent:
            await self._raise_timeout()

    async def _raise_timeout(self) -> StartReply:
        await curio.sleep(to_seconds(self._timeout_ms))
        raise WorkerUnreachable('no answer in time', sent=True)
