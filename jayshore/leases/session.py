"""One task per worker that keeps its lease open and passes its news on."""

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
    """What a leader does with the news of its workers."""

    @abc.abstractmethod
    async def lease_opened(
        self, worker_id: str, opened: OpenedWorkerLease
    ) -> None:
        """Compare the inventory with what was expected.

        A start under an earlier lease that is not in the inventory did not
        run and never will.

        Args:
            worker_id: the worker.
            opened: the new lease.
        """

    @abc.abstractmethod
    async def tasks_reported(
        self, worker_id: str, renewed: LeaseRenewal
    ) -> None:
        """Take note of ended tasks and of usage.

        Args:
            worker_id: the worker.
            renewed: the worker's answer.
        """

    @abc.abstractmethod
    async def worker_lost(self, worker_id: str) -> None:
        """Give the worker no new work until its lease is opened again.

        Args:
            worker_id: the worker.
        """

    @abc.abstractmethod
    async def epoch_superseded(self) -> None:
        """Stop to lead: a leader with a higher epoch was elected."""


class WorkerSession:
    """The lease of one worker under one epoch."""

    def __init__(
        self,
        *,
        worker_id: str,
        link: HttpWorkerClient,
        epoch: int,
        observer: WorkerObserver,
        renew_wait_ms: Millis,
        checkpoint_ms: Callable[[], Millis],
        source: random.Random,
    ) -> None:
        """Prepare the session.

        Args:
            worker_id: id of the worker on the platform's list.
            link: calls to the worker.
            epoch: of this leader.
            observer: gets the news.
            renew_wait_ms: longest wait of a renewal, in ms.
            checkpoint_ms: the present setting of how long a task may take to
                checkpoint before it is stopped, in ms.
            source: random numbers for the backoff.
        """
        self._worker_id = worker_id
        self._link = link
        self._epoch = epoch
        self._observer = observer
        self._renew_wait_ms = renew_wait_ms
        self._checkpoint_ms = checkpoint_ms
        self._checkpointing: set[str] = set()
        self._source = source
        self._doubted = curio.Event()
        self._lease_id = 0
        self._acknowledged: list[AttemptId] = []
        self._was_opened = False
        self._is_ended = False

    @property
    def is_open(self) -> bool:
        """Whether the worker can be told to start tasks."""
        return self._lease_id > 0

    @property
    def renewed_at(self) -> Millis:
        """When the last call that may have renewed the tasks was sent."""
        return self._link.renewed_at

    @property
    def was_opened(self) -> bool:
        """Whether this leader has ever opened the worker's lease."""
        return self._was_opened

    def end(self) -> None:
        """End the session, as the worker is gone."""
        self._is_ended = True
        self._lease_id = 0

    async def run(self) -> None:
        """Keep the lease until it ends or the epoch is superseded."""
        failures = 0
        while not self._is_ended:
            try:
                await self._keep()
            except EpochSuperseded:
                await self._observer.epoch_superseded()
                return
            except LeaseSuperseded:
                failures = 0
            except UpstreamError as error:
                failures += 1
                await self._note_lost(error)
                pause = PLATFORM_BACKOFF.delay(
                    attempt=failures, rng=self._source
                )
                await curio.sleep(to_seconds(pause))

    async def start(self, order: TaskStartOrder) -> TaskStartResult:
        """Start a task under the newest lease.

        Whenever the worker did not confirm a start, it gets no new work until
        its lease is opened again. The inventory of that lease, which goes to
        the observer, settles an uncertain start.

        Args:
            order: what to run.

        Returns:
            Whether it was started; `UNCERTAIN` when the next opened lease
            tells.
        """
        lease_id = self._lease_id
        if not lease_id:
            return TaskStartResult.NOT_STARTED
        self._checkpointing.discard(order.task_id)
        result = await self._link.start(lease_id, order)
        if result is not TaskStartResult.STARTED:
            await self._doubt(lease_id)
        return result

    async def stop(self, task_id: str, *, checkpoint: bool) -> bool:
        """Ask the worker to stop a task.

        Stops name a task and not an attempt, so a task that is started again
        while its former attempt makes a checkpoint is not stopped.

        Args:
            task_id: the task.
            checkpoint: whether to checkpoint it first.

        Returns:
            Whether the worker answered; only its inventory shows the end.
        """
        if checkpoint and not await self._checkpoint(task_id):
            return True
        try:
            await self._link.stop(self._lease_id, task_id)
        except UpstreamUnreachable as error:
            eliot.log_message(
                'worker:stop_failed',
                worker=self._worker_id,
                task=task_id,
                error=str(error),
            )
            return False
        return True

    def acknowledge(self, name: AttemptId) -> None:
        """Let the worker forget an ended task with the next renewal.

        Args:
            name: the attempt, whose result is recorded in the store.
        """
        self._acknowledged.append(name)

    async def _checkpoint(self, task_id: str) -> bool:
        """Checkpoint a task; return whether it may be stopped then."""
        if task_id in self._checkpointing:
            return False
        self._checkpointing.add(task_id)
        try:
            is_done = await self._link.checkpoint(
                self._lease_id, task_id, limit_ms=self._checkpoint_ms()
            )
        finally:
            is_same = task_id in self._checkpointing
            self._checkpointing.discard(task_id)
        if not is_done:
            eliot.log_message(
                'worker:no_checkpoint', worker=self._worker_id, task=task_id
            )
        return is_same

    async def _keep(self) -> None:
        if not self._lease_id:
            await self._open()
        while self._lease_id:
            await self._renew()

    async def _open(self) -> None:
        opened = await self._link.open(self._epoch)
        if self._is_ended:
            return
        self._doubted.clear()
        self._lease_id = opened.lease_id
        self._was_opened = True
        await self._observer.lease_opened(self._worker_id, opened)

    async def _doubt(self, lease_id: int) -> None:
        """Have the lease opened again, unless a newer one was opened.

        The newer one was then opened after the start was sent, so that its
        inventory shows the start.
        """
        if lease_id == self._lease_id:
            self._lease_id = 0
            await self._observer.worker_lost(self._worker_id)
            await self._doubted.set()

    async def _renew(self) -> None:
        lease_id = self._lease_id
        sent = self._acknowledged.copy()
        # Acknowledgements go out at once; only a renewal without one waits.
        wait_ms = Millis(0) if sent else self._renew_wait_ms
        try:
            renewed = await self._wait_for_news(lease_id, sent, wait_ms)
        except LeaseSuperseded:
            if lease_id == self._lease_id:
                self._lease_id = 0
            raise
        if renewed is None:
            return
        del self._acknowledged[: len(sent)]
        if lease_id == self._lease_id:
            await self._observer.tasks_reported(self._worker_id, renewed)

    async def _wait_for_news(
        self, lease_id: int, sent: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal | None:
        """Renew, unless the lease is doubted meanwhile.

        A renewal waits longer than an uncertain start may stay unsettled.

        Returns:
            The answer, or None when a new lease has to be opened.
        """
        first = curio.TaskGroup(wait=any)
        async with first:
            renewal = await first.spawn(
                self._try_renewal, lease_id, sent, wait_ms
            )
            await first.spawn(self._doubted.wait)
        if first.completed is not renewal:
            return None
        renewed: LeaseRenewal | UpstreamError = renewal.result
        if isinstance(renewed, UpstreamError):
            raise renewed
        return renewed

    async def _try_renewal(
        self, lease_id: int, sent: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal | UpstreamError:
        """Return the error, since curio logs those that end a task."""
        try:
            return await self._link.renew(lease_id, sent, wait_ms)
        except UpstreamError as error:
            return error

    async def _note_lost(self, error: UpstreamError) -> None:
        if self._lease_id:
            eliot.log_message(
                'worker:lost', worker=self._worker_id, error=str(error)
            )
        self._lease_id = 0
        await self._observer.worker_lost(self._worker_id)
