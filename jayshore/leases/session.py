"""Keeps the lease of one worker open and passes its reports to an observer."""

import abc
import random
from collections.abc import Callable

import curio
import eliot

from jayshore.clock import Millis, to_seconds
from jayshore.leases.worker import (
    AttemptId,
    EpochSuperseded,
    HttpWorkerClient,
    LeaseRenewal,
    LeaseSuperseded,
    OpenedWorkerLease,
    TaskStartOrder,
    TaskStartResult,
    UpstreamError,
    UpstreamUnreachable,
)
from jayshore.retry import PLATFORM_BACKOFF


class WorkerObserver(abc.ABC):
    """Receives the lease changes and task reports of a leader's workers."""

    @abc.abstractmethod
    async def lease_opened(
        self, worker_id: str, opened: OpenedWorkerLease
    ) -> None:
        """Reconcile the inventory with the tasks expected on the worker.

        A start under an earlier lease that is not in the inventory did not
        run and never will.

        Args:
            worker_id: id of the worker.
            opened: the new lease and the inventory.
        """

    @abc.abstractmethod
    async def tasks_reported(
        self, worker_id: str, renewed: LeaseRenewal
    ) -> None:
        """Record ended tasks and resource usage.

        Args:
            worker_id: id of the worker.
            renewed: the worker's answer to a renewal.
        """

    @abc.abstractmethod
    async def worker_lost(self, worker_id: str) -> None:
        """Give the worker no new work until its lease is opened again.

        Args:
            worker_id: id of the worker.
        """

    @abc.abstractmethod
    async def epoch_superseded(self) -> None:
        """Step down: a leader with a higher epoch was elected."""


class WorkerSession:
    """The lease of one worker under one epoch."""

    def __init__(
        self,
        *,
        worker_id: str,
        client: HttpWorkerClient,
        epoch: int,
        observer: WorkerObserver,
        renew_wait_ms: Millis,
        checkpoint_ms: Callable[[], Millis],
        rng: random.Random,
    ) -> None:
        """Create a session without a lease; `run` opens it.

        Args:
            worker_id: id of the worker on the platform's list.
            client: client for the calls to the worker.
            epoch: epoch of this leader.
            observer: receives lease changes and reports.
            renew_wait_ms: how long the worker may hold a renewal back until
                there is a change to report, in ms.
            checkpoint_ms: returns the current setting of how long a task may
                take to checkpoint before it is stopped, in ms.
            rng: random numbers for the backoff.
        """
        self._worker_id = worker_id
        self._client = client
        self._epoch = epoch
        self._observer = observer
        self._renew_wait_ms = renew_wait_ms
        self._checkpoint_ms = checkpoint_ms
        self._checkpointing: set[str] = set()
        self._rng = rng
        self._lease_invalidated = curio.Event()
        self._lease_id = 0
        self._pending_acks: list[AttemptId] = []
        self._was_opened = False
        self._is_ended = False

    @property
    def is_open(self) -> bool:
        """Whether there is a lease under which tasks can be started."""
        return self._lease_id > 0

    @property
    def renewed_at(self) -> Millis:
        """Latest time at which a call may have renewed the task leases."""
        return self._client.renewed_at

    @property
    def was_opened(self) -> bool:
        """Whether this session has ever opened the worker's lease."""
        return self._was_opened

    def end(self) -> None:
        """End the session of a worker that is gone."""
        self._is_ended = True
        self._lease_id = 0

    async def run(self) -> None:
        """Keep the lease open until the session or the epoch has ended."""
        failures = 0
        while not self._is_ended:
            try:
                await self._maintain_lease()
            except EpochSuperseded:
                await self._observer.epoch_superseded()
                return
            except LeaseSuperseded:
                failures = 0
            except UpstreamError as error:
                failures += 1
                await self._report_lost(error)
                pause = PLATFORM_BACKOFF.delay(attempt=failures, rng=self._rng)
                await curio.sleep(to_seconds(pause))

    async def start(self, order: TaskStartOrder) -> TaskStartResult:
        """Start a task under the newest lease.

        After a start that the worker did not confirm, it gets no new work until
        its lease is opened again. The inventory of the new lease, which goes to
        the observer, shows the outcome of an uncertain start.

        Args:
            order: the task attempt to run.

        Returns:
            Whether it was started; `UNCERTAIN` when only the inventory of the
            next lease can tell.
        """
        lease_id = self._lease_id
        if not lease_id:
            return TaskStartResult.NOT_STARTED
        self._checkpointing.discard(order.task_id)
        result = await self._client.start(lease_id, order)
        if result is not TaskStartResult.STARTED:
            await self._invalidate_lease(lease_id)
        return result

    async def stop(self, task_id: str, *, checkpoint: bool) -> bool:
        """Ask the worker to stop a task.

        A stop names a task and not an attempt, so it is not sent when the task
        was started again while its former attempt made a checkpoint.

        Args:
            task_id: id of the task.
            checkpoint: whether to checkpoint it first.

        Returns:
            False when the worker did not answer the stop; True otherwise, also
            where no stop was sent. Only the inventory shows that a task ended.
        """
        if checkpoint and not await self._checkpoint(task_id):
            return True
        try:
            await self._client.stop(self._lease_id, task_id)
        except UpstreamUnreachable as error:
            eliot.log_message(
                'worker:stop_failed',
                worker=self._worker_id,
                task=task_id,
                error=str(error),
            )
            return False
        return True

    def acknowledge(self, attempt_id: AttemptId) -> None:
        """Acknowledge an ended task with the next renewal.

        Args:
            attempt_id: the attempt whose result is recorded in the store.
        """
        self._pending_acks.append(attempt_id)

    async def _checkpoint(self, task_id: str) -> bool:
        """Checkpoint a task; return whether it may be stopped afterwards.

        It may not while an earlier checkpoint of it is under way, nor when the
        task was started again meanwhile.
        """
        if task_id in self._checkpointing:
            return False
        self._checkpointing.add(task_id)
        try:
            is_done = await self._client.checkpoint(
                self._lease_id, task_id, limit_ms=self._checkpoint_ms()
            )
        finally:
            is_same_attempt = task_id in self._checkpointing
            self._checkpointing.discard(task_id)
        if not is_done:
            eliot.log_message(
                'worker:no_checkpoint', worker=self._worker_id, task=task_id
            )
        return is_same_attempt

    async def _maintain_lease(self) -> None:
        if not self._lease_id:
            await self._open_lease()
        while self._lease_id:
            await self._renew_lease()

    async def _open_lease(self) -> None:
        opened = await self._client.open(self._epoch)
        if self._is_ended:
            return
        self._lease_invalidated.clear()
        self._lease_id = opened.lease_id
        self._was_opened = True
        await self._observer.lease_opened(self._worker_id, opened)

    async def _invalidate_lease(self, lease_id: int) -> None:
        """Have the lease opened again, unless a newer one is already open.

        A newer lease was opened after the start was sent, so its inventory
        shows the start.
        """
        if lease_id == self._lease_id:
            self._lease_id = 0
            await self._observer.worker_lost(self._worker_id)
            await self._lease_invalidated.set()

    async def _renew_lease(self) -> None:
        lease_id = self._lease_id
        acks = self._pending_acks.copy()
        # A renewal that carries acknowledgements does not wait for changes.
        wait_ms = Millis(0) if acks else self._renew_wait_ms
        try:
            renewed = await self._renew_unless_invalidated(
                lease_id, acks, wait_ms
            )
        except LeaseSuperseded:
            if lease_id == self._lease_id:
                self._lease_id = 0
            raise
        if renewed is None:
            return
        del self._pending_acks[: len(acks)]
        if lease_id == self._lease_id:
            await self._observer.tasks_reported(self._worker_id, renewed)

    async def _renew_unless_invalidated(
        self, lease_id: int, acks: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal | None:
        """Renew the lease, or give up as soon as it is invalidated.

        A renewal may wait longer than a start may stay uncertain.

        Returns:
            The answer, or None when a new lease has to be opened.
        """
        race = curio.TaskGroup(wait=any)
        async with race:
            renewal = await race.spawn(
                self._attempt_renewal, lease_id, acks, wait_ms
            )
            await race.spawn(self._lease_invalidated.wait)
        if race.completed is not renewal:
            return None
        renewed: LeaseRenewal | UpstreamError = renewal.result
        if isinstance(renewed, UpstreamError):
            raise renewed
        return renewed

    async def _attempt_renewal(
        self, lease_id: int, acks: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal | UpstreamError:
        """Return errors as values, since curio logs those that end a task."""
        try:
            return await self._client.renew(lease_id, acks, wait_ms)
        except UpstreamError as error:
            return error

    async def _report_lost(self, error: UpstreamError) -> None:
        if self._lease_id:
            eliot.log_message(
                'worker:lost', worker=self._worker_id, error=str(error)
            )
        self._lease_id = 0
        await self._observer.worker_lost(self._worker_id)
