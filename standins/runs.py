"""Requests that the executor stand-in ran."""

import dataclasses

from jayshore.clock import Clock, Millis

# Without a history, results are forgotten only long after every caller has
# given up; a query must not answer `never` for a request that ran.
_MAX_FINISHED = 500_000


@dataclasses.dataclass(kw_only=True, slots=True)
class RunRecord:
    """What really happened to one start of a request, for a checker.

    Attributes:
        request_id: id that the leader chose.
        team: whose request it is.
        lease_id: the lease that the start carried.
        boot_id: the boot in which it ran.
        leaving: whether the executor was leaving when it started.
        start_ms: when it started.
        end_ms: when it ended, None while it runs.
    """

    request_id: str
    team: str
    lease_id: int
    boot_id: str
    leaving: bool
    start_ms: Millis
    end_ms: Millis | None = None


class RunTable:
    """Runs of the current boot and records of all boots."""

    def __init__(self, *, clock: Clock, keep_history: bool) -> None:
        """Start without runs.

        Args:
            clock: time of the records.
            keep_history: whether records of finished runs are kept.
        """
        self._clock = clock
        self._keep_history = keep_history
        self._history: list[RunRecord] = []
        self._running: dict[int, RunRecord] = {}
        # Ids in the order of their ends.
        self._finished: dict[str, None] = {}

    def start(
        self,
        *,
        request_id: str,
        team: str,
        lease_id: int,
        boot_id: str,
        leaving: bool,
    ) -> RunRecord:
        """Record a start.

        Args:
            request_id: id that the leader chose.
            team: whose request it is.
            lease_id: the lease that the start carried.
            boot_id: the boot in which it runs.
            leaving: whether the executor is leaving.

        Returns:
            The record, to be finished.
        """
        record = RunRecord(
            request_id=request_id,
            team=team,
            lease_id=lease_id,
            boot_id=boot_id,
            leaving=leaving,
            start_ms=self._clock.now(),
        )
        self._running[id(record)] = record
        if self._keep_history:
            self._history.append(record)
        return record

    def finish(self, record: RunRecord) -> bool:
        """Record the end of a run.

        Args:
            record: as returned by `start`.

        Returns:
            False when a reboot has ended the run before.
        """
        if self._running.pop(id(record), None) is None:
            return False
        record.end_ms = self._clock.now()
        self._finished[record.request_id] = None
        if len(self._finished) > _MAX_FINISHED and not self._keep_history:
            del self._finished[next(iter(self._finished))]
        return True

    def find_state(self, request_id: str) -> str:
        """Tell what happened to a request in this boot.

        Args:
            request_id: the request.

        Returns:
            `never`, `running` or `finished`.
        """
        if any(run.request_id == request_id for run in self._running.values()):
            return 'running'
        return 'finished' if request_id in self._finished else 'never'

    def running(self) -> list[RunRecord]:
        """List the running requests.

        Returns:
            Their records.
        """
        return list(self._running.values())

    def records(self) -> list[RunRecord]:
        """List what really happened, in the order of starts.

        Returns:
            One record for each start of any boot.
        """
        return self._history

    def forget_all(self) -> None:
        """End all runs and forget the results, as a reboot does."""
        for record in tuple(self._running.values()):
            self.finish(record)
        self._finished.clear()
