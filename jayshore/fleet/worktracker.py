"""Tracks the waiting work of all jobs between evaluations.

A job that has missed all use is set aside, since only its turn to be finished
is left to decide. What is evaluated is then what callers still wait for, which
does not grow with the backlog of a long overload.
"""

import collections
import itertools
from collections.abc import Mapping, Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.admission import has_other_times
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.model import Queue
from jayshore.fleet.queueload import OfferedRates, QueueLoad
from jayshore.fleet.ranking import has_objective
from jayshore.fleet.standing import Standing
from jayshore.fleet.waitingwork import Capacity, JobWork, measure_job

_MAX_MEASURED: Final = 250
"""Jobs that one evaluation measures for the first time.

Each takes some 30 microseconds, and 1,000 a second are far more than arrive.
"""

_TURNS: Final = 4
"""Evaluations over which started and missed jobs are looked at again."""

_NEW_MS: Final = Millis(2000)
"""Age up to which a job counts as arriving, in ms; older ones are inherited."""

_MAX_OLDEST: Final = 50


class WorkTracker:
    """Waiting work of the jobs of all services."""

    def __init__(
        self, *, loads: dict[str, QueueLoad], rates: OfferedRates
    ) -> None:
        """Create a tracker without jobs.

        Args:
            loads: takes in what arrives, by queue.
            rates: counts the arriving jobs of each workspace.
        """
        self._loads = loads
        self._rates = rates
        self._queues: Mapping[str, Queue] = {}
        self._capacities: Mapping[str, Capacity] = {}
        self._known: set[str] = set()
        self._unmeasured: collections.deque[JobEntry] = collections.deque()
        self._live: list[JobWork] = []
        self._missed: dict[str, list[JobWork]] = {}
        self._done: collections.Counter[str] = collections.Counter()
        self._turn = 0

    @property
    def rechecked(self) -> bool:
        """Whether the last update has looked at the missed jobs again."""
        return not self._turn

    def reset(self) -> None:
        """Forget all jobs, so that they are measured anew."""
        self._known.clear()
        self._unmeasured.clear()
        self._live.clear()
        self._missed.clear()
        self._turn = 0

    def update(
        self,
        active: Sequence[JobEntry],
        *,
        queues: Mapping[str, Queue],
        capacities: Mapping[str, Capacity],
        now: Millis,
    ) -> None:
        """Measure new and started jobs, and forget ended ones.

        Args:
            active: jobs that have not ended, in the order of their arrival.
            queues: queue by name.
            capacities: capacity of the usable workers by service.
            now: time on the leader's clock, in ms.
        """
        self._queues = queues
        self._capacities = capacities
        self._turn = (self._turn + 1) % _TURNS
        self._find_new(active)
        self._refresh_live(now)
        if self.rechecked:
            self._known.intersection_update(
                [entry.job.job_id for entry in active]
            )
            self._recheck_missed()
        for _ in range(min(_MAX_MEASURED, len(self._unmeasured))):
            self._measure(self._unmeasured.popleft(), now)

    def live(self, service: str) -> list[JobWork]:
        """List the jobs that may still be of use.

        Args:
            service: name of the service.

        Returns:
            The jobs with waiting work.
        """
        return [
            work
            for work in self._live
            if work.service == service and work.waiting.work
        ]

    def missed(self, service: str) -> list[JobWork]:
        """List the jobs that are of no use any more.

        Args:
            service: name of the service.

        Returns:
            The jobs, in the order in which they have missed their use.
        """
        return self._missed.get(service, [])

    def oldest_missed(self, service: str, now: Millis) -> list[JobWork]:
        """List the first missed jobs that are not being finished yet.

        Args:
            service: name of the service.
            now: time on the leader's clock, in ms.

        Returns:
            At most 50 jobs that have not started, and all that have started
            and wait again.
        """
        waiting = (
            work
            for work in self.missed(service)
            if work.entry.standing is not Standing.PROMOTED and not work.started
        )
        started = [
            work
            for work in self.live(service)
            if work.waiting.useful_until < now
            and work.entry.standing is not Standing.PROMOTED
        ]
        return started + list(itertools.islice(waiting, _MAX_OLDEST))

    def take_done(self, service: str) -> float:
        """Return the work that was done since the last call.

        Args:
            service: name of the service.

        Returns:
            Estimated work of tasks that have ended, in core-milliseconds.
        """
        return self._done.pop(service, 0)

    def _find_new(self, active: Sequence[JobEntry]) -> None:
        """Find the jobs behind the last known one."""
        new = list(
            itertools.takewhile(
                lambda entry: entry.job.job_id not in self._known,
                reversed(active),
            )
        )
        self._known.update(entry.job.job_id for entry in new)
        self._unmeasured.extend(reversed(new))

    def _refresh_live(self, now: Millis) -> None:
        former = self._live
        self._live = []
        for index, work in enumerate(former):
            if work.entry.ended:
                self._count_ended(work)
                continue
            if work.started and (
                work.untouched or index % _TURNS == self._turn
            ):
                self._refresh(work)
            if work.waiting.useful_until < now and not work.started:
                self._missed.setdefault(work.service, []).append(work)
            else:
                self._live.append(work)

    def _recheck_missed(self) -> None:
        """Return started jobs to the others, and forget ended ones."""
        for service, works in self._missed.items():
            self._live.extend(work for work in works if work.started)
            self._missed[service] = [
                work
                for work in works
                if not work.started and not work.entry.ended
            ]

    def _measure(self, entry: JobEntry, now: Millis) -> None:
        queue = self._queues.get(entry.job.queue.name, entry.job.queue)
        capacity = self._capacities.get(queue.service)
        if (
            capacity is None
            or not has_objective(queue)
            or has_other_times(entry.job)
        ):
            entry.change_standing(Standing.USUAL)
            return
        load = self._loads.setdefault(queue.name, QueueLoad())
        work = measure_job(entry, queue, capacity, load)
        if now - entry.accepted_at <= _NEW_MS:
            self._rates.add(entry.job.workspace)
            load.arrived += 0 if entry.over_rate else work.whole
        if work.started:
            work.refresh(queue, capacity)
        self._live.append(work)

    def _refresh(self, work: JobWork) -> None:
        capacity = self._capacities.get(work.service)
        if capacity is None:
            return
        accepted = work.entry.job.queue
        done = work.done
        work.refresh(self._queues.get(accepted.name, accepted), capacity)
        self._done[work.service] += max(0, round(work.done - done))

    def _count_ended(self, work: JobWork) -> None:
        """Count what an ended job had left as done."""
        if work.started:
            self._done[work.service] += round(work.whole - work.done)
