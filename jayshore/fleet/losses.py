"""Handles lost workers: what was running there, and what is to blame."""

from collections.abc import Iterator, Mapping

import eliot

from jayshore.clock import Clock
from jayshore.fleet.crashes import CrashCounter, LostRuns, collect_lost_runs
from jayshore.fleet.inherited import InheritedIncarnations, PlacedAt
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import Incarnation, format_task_id
from jayshore.fleet.orders import OrderSender
from jayshore.fleet.outages import LossCause, Outage, age_in_outage
from jayshore.fleet.phases import Phase
from jayshore.fleet.runs import RunTracker
from jayshore.fleet.sessions import WorkerSession

_MAX_LOGGED_RUNS = 20


class LossTracker:
    """Returns the runs of lost workers to waiting, or gives their tasks up."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        order_sender: OrderSender,
        run_tracker: RunTracker,
        crash_counter: CrashCounter,
        metrics: FleetMetrics,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Create a tracker.

        Args:
            clock: local clock.
            ledger: resources in use.
            order_sender: sends orders to workers.
            run_tracker: tracks the runs.
            crash_counter: counts crashes against tasks.
            metrics: metrics of this instance.
            sessions: sessions of the workers by id; kept up to date by the
                owner.
        """
        self._clock = clock
        self._ledger = ledger
        self._order_sender = order_sender
        self._run_tracker = run_tracker
        self._crash_counter = crash_counter
        self._metrics = metrics
        self._sessions = sessions
        self._expired: dict[str, tuple[Incarnation, LostRuns]] = {}
        self._inherited = InheritedIncarnations()
        self._created_at = clock.now()

    def inherit(self, task: TaskEntry) -> None:
        """Take over a run that a former leader placed.

        Args:
            task: the task, in `Phase.UNKNOWN`.
        """
        self._inherited.add(PlacedAt(task.worker, task.incarnation))

    async def handle_restart(
        self, session: WorkerSession, outage: Outage
    ) -> None:
        """Handle the loss of all runs of an earlier incarnation of a worker.

        Args:
            session: session of the worker; a closed one when the other
                incarnation has an id of its own.
            outage: when the earlier incarnation stopped replying.
        """
        worker_id = session.entry.worker_id
        self._inherited.discard(worker_id, session.entry.address)
        lost = self._take_expired(worker_id, session.entry.address)
        if lost is None:
            lost = self._collect(session, outage)
        given_up = self._crash_counter.count(lost, self._silent())
        tasks = self._ledger.tasks_at(worker_id)
        self._log_loss(tasks, LossCause.RESTARTED, outage)
        for task in tasks:
            if session.closed:
                await self._run_tracker.mark_lost(task)
            elif task.phase is Phase.STARTING and task.ordered_at is not None:
                # The order may still arrive at the new incarnation.
                await self._order_sender.stop(task)
        if not session.closed:
            await self._order_sender.stop_unanswered(session)
        await self._give_up(given_up)

    async def handle_reply(self, session: WorkerSession, born_ms: int) -> None:
        """Handle a reply of a worker, which ends its silence.

        Only a reply shows that an earlier incarnation at the same address is
        over. A registration may be of another program.

        Args:
            session: session of the worker.
            born_ms: start of the incarnation that replied, 0 when unknown.
        """
        address = session.entry.address
        worker_id = session.entry.worker_id
        replied = Incarnation(address, born_ms)
        former, lost = self._expired.pop(address, (replied, None))
        if lost is not None and former.precedes(replied):
            await self._give_up(self._crash_counter.count(lost, self._silent()))
        for placed_at in self._inherited.take_replaced(worker_id, replied):
            await self._handle_inherited_crash(placed_at, worker_id)

    async def handle_expiry(self, session: WorkerSession) -> None:
        """Handle the loss of all runs at a worker whose lease has expired.

        Args:
            session: session of the worker.
        """
        if session.outage is not None:
            lost = self._collect(session, session.outage)
            if lost.ages:
                incarnation = session.entry.incarnation
                self._expired[incarnation.address] = (incarnation, lost)
        await self._mark_lost(
            self._ledger.tasks_at(session.entry.worker_id),
            LossCause.LEASE_EXPIRED,
            session.outage,
        )

    async def handle_unlisted(self, worker_id: str) -> None:
        """Handle the loss of all runs at a worker that is not registered.

        Args:
            worker_id: the worker, which has no session.
        """
        await self._mark_lost(
            self._ledger.tasks_at(worker_id), LossCause.NOT_LISTED, None
        )

    async def _handle_inherited_crash(
        self, placed_at: PlacedAt, worker_id: str
    ) -> None:
        """Handle a crash before or during the takeover of this leader.

        Args:
            placed_at: the incarnation that is over.
            worker_id: id of a later one, at which the reconciliation of its
                runs finds what is lost.
        """
        outage = Outage(alive_at=self._created_at, noticed_at=self._clock.now())
        tasks = tuple(
            task
            for task in self._ledger.tasks_at(placed_at.worker_id)
            if task.incarnation == placed_at.incarnation
        )
        lost = collect_lost_runs(
            placed_at.worker_id,
            [task for task in tasks if task.phase is Phase.UNKNOWN],
            outage,
            draining=False,
        )
        given_up = self._crash_counter.count(lost, self._silent())
        if placed_at.worker_id != worker_id:
            await self._mark_lost(tasks, LossCause.RESTARTED, outage)
        await self._give_up(given_up)

    def _take_expired(self, worker_id: str, address: str) -> LostRuns | None:
        """Remove the runs that were lost when a worker's lease expired."""
        _, lost = self._expired.get(address, (None, None))
        if lost is None or lost.worker_id != worker_id:
            return None
        self._expired.pop(address)
        return lost

    async def _mark_lost(
        self,
        tasks: tuple[TaskEntry, ...],
        cause: LossCause,
        outage: Outage | None,
    ) -> None:
        self._log_loss(tasks, cause, outage)
        for task in tasks:
            await self._run_tracker.mark_lost(task)

    async def _give_up(self, tasks: list[TaskEntry]) -> None:
        """Fail the jobs of tasks that crash their workers."""
        for task in tasks:
            entry = task.group.job
            if entry.ended or task.phase is Phase.DONE:
                continue
            self._metrics.count_given_up()
            eliot.log_message(
                'task:given_up',
                task=format_task_id(task.task_id),
                run=task.run,
                crashes=task.crashes,
            )
            await self._run_tracker.fail(entry)

    def _collect(self, session: WorkerSession, outage: Outage) -> LostRuns:
        worker_id = session.entry.worker_id
        return collect_lost_runs(
            worker_id,
            self._ledger.tasks_at(worker_id),
            outage,
            draining=session.entry.draining,
        )

    def _silent(self) -> Iterator[LostRuns]:
        """Iterate over the runs at the workers that do not reply now."""
        for session in self._sessions.values():
            if session.outage is not None:
                yield self._collect(session, session.outage)

    def _log_loss(
        self,
        tasks: tuple[TaskEntry, ...],
        cause: LossCause,
        outage: Outage | None,
    ) -> None:
        """Log and count the runs that are lost with a worker."""
        if not tasks:
            return
        self._metrics.count_lost_runs(cause, len(tasks))
        eliot.log_message(
            'worker:runs_lost',
            worker=tasks[0].worker,
            cause=cause,
            silent_ms=outage and self._clock.now() - outage.noticed_at,
            count=len(tasks),
            runs=[
                (
                    format_task_id(task.task_id),
                    task.run,
                    task.phase.value,
                    outage and age_in_outage(task, outage),
                )
                for task in tasks[:_MAX_LOGGED_RUNS]
            ],
        )
