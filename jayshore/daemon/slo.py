"""Counts task starts and requests against the service-level targets."""

import dataclasses
from collections.abc import Callable, Iterable

from jayshore.clock import Clock, Millis
from jayshore.config.model import Target, WorkKind
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.context import JobEvents
from jayshore.jobs.record import JobRecord
from jayshore.outcomes import Ran, RequestOutcome
from jayshore.report.burn import SloObjective
from jayshore.report.samples import SloSnapshot, merge_snapshots
from jayshore.report.slo import SloRecorder


@dataclasses.dataclass(frozen=True, kw_only=True)
class SloReport:
    """The input of a burn report, returned by `GET /v1/slo`.

    Attributes:
        now_ms: time of day, ms since the Unix epoch.
        snapshot: merged samples of this daemon and of all peers that replied.
        objectives: the objectives in the configuration.
    """

    now_ms: Millis
    snapshot: SloSnapshot
    objectives: tuple[SloObjective, ...]


class SloTracker(JobEvents):
    """Counts good and bad starts of one daemon for the configured targets.

    Work of a team and kind without a target is not counted.
    """

    def __init__(
        self, *, wall_clock: Clock, snapshot: Callable[[], Snapshot]
    ) -> None:
        """Start without counts.

        Args:
            wall_clock: time of day, so that the intervals of all daemons match.
            snapshot: returns the newest configuration seen.
        """
        self._wall_clock = wall_clock
        self._current_config = snapshot
        self._recorder = SloRecorder()

    def request_answered(
        self, team: str, outcome: RequestOutcome, took_ms: Millis
    ) -> None:
        """Count a request against the preview target of its team.

        Args:
            team: a configured team.
            outcome: the outcome that the caller was told; only `Ran` can be
                good.
            took_ms: time since the arrival of the request, in ms.
        """
        target = self._target(team, WorkKind.PREVIEW.value)
        if target is not None:
            in_time = took_ms <= target.waiting_ms
            is_good = in_time and isinstance(outcome, Ran)
            self._record(team, WorkKind.PREVIEW.value, is_good=is_good)

    def task_started(self, record: JobRecord, waited_ms: Millis) -> None:
        """Count the start of a task.

        Args:
            record: the job of the task.
            waited_ms: time since the job was accepted, in ms.
        """
        work = record.kind.value
        target = self._target(record.team, work)
        if target is not None:
            is_good = waited_ms <= target.waiting_ms
            self._record(record.team, work, is_good=is_good)

    def task_ended(self, record: JobRecord, how: str) -> None:
        """Do nothing: targets concern waiting times only.

        Args:
            record: the job of the task.
            how: final state of the task, or `retried`.
        """

    def snapshot(self) -> SloSnapshot:
        """Return the samples of this daemon.

        Returns:
            Samples of the last 6 hours.
        """
        return self._recorder.snapshot(now=self._wall_clock.now())

    def report(self, collected: Iterable[SloSnapshot]) -> SloReport:
        """Merge the samples of this daemon and of its peers.

        Args:
            collected: the samples of the peers.

        Returns:
            The input of a burn report.
        """
        objectives = tuple(
            SloObjective(
                team=team.name,
                work=target.work.value,
                objective=target.objective,
            )
            for team in self._current_config().document.teams
            for target in team.targets
        )
        return SloReport(
            now_ms=self._wall_clock.now(),
            snapshot=merge_snapshots([self.snapshot(), *collected]),
            objectives=objectives,
        )

    def _target(self, team: str, work: str) -> Target | None:
        entry = self._current_config().team(team)
        targets = entry.targets if entry else ()
        for target in targets:
            if target.work.value == work:
                return target
        return None

    def _record(self, team: str, work: str, *, is_good: bool) -> None:
        self._recorder.record(
            team=team, work=work, is_good=is_good, now=self._wall_clock.now()
        )


class EventFanout(JobEvents):
    """Forwards job events to several observers."""

    def __init__(self, *, observers: tuple[JobEvents, ...]) -> None:
        """Create a fan-out.

        Args:
            observers: notified in this order.
        """
        self._observers = observers

    def task_started(self, record: JobRecord, waited_ms: Millis) -> None:
        """Forward the start of a task.

        Args:
            record: the job of the task.
            waited_ms: time since the job was accepted, in ms.
        """
        for observer in self._observers:
            observer.task_started(record, waited_ms)

    def task_ended(self, record: JobRecord, how: str) -> None:
        """Forward the end of a task attempt.

        Args:
            record: the job of the task.
            how: final state of the task, or `retried`.
        """
        for observer in self._observers:
            observer.task_ended(record, how)
