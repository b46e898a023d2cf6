"""Running requests and history of the executor stand-in."""

import dataclasses

from jayshore.clock import Clock, Millis

# Without a history, results are dropped only long after every caller has
# given up: a query must not answer `never` for a request that ran.
_MAX_FINISHED = 500_000


@dataclasses.dataclass(kw_only=True, slots=True)
class RunRecord:
    """One start of a request as it really happened, for checks.

    Attributes:
        request_id: id chosen by the leader.
        team: team that sent the request.
        lease_id: the lease that the start carried.
        boot_id: the boot in which it ran.
        leaving: whether the executor was leaving when it started.
        start_ms: when it started, in ms.
        end_ms: when it ended, in ms; None while it runs.
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
        """Create an empty table.

        Args:
            clock: clock of the records.
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
            request_id: id chosen by the leader.
            team: team that sent the request.
            lease_id: the lease that the start carried.
            boot_id: the boot in which it runs.
            leaving: whether the executor is leaving.

        Returns:
            The record, to be passed to `finish`.
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
            False if a reboot has already ended the run.
        """
        if self._running.pop(id(record), None) is None:
            return False
        record.end_ms = self._clock.now()
        self._finished[record.request_id] = None
        if len(self._finished) > _MAX_FINISHED and not self._keep_history:
            del self._finished[next(iter(self._finished))]
        return True

    def find_state(self, request_id: str) -> str:
        """Return the state of a request in the current boot.

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
            The records of the running requests.
        """
        return list(self._running.values())

    def records(self) -> list[RunRecord]:
        """List the recorded starts in order.

        Returns:
            One record for each start in any boot; none without a history.
        """
        return self._history

    def forget_all(self) -> None:
        """End all runs and drop the results, as a reboot does."""
        for record in tuple(self._running.values()):
            self.finish(record)
        self._finished.clear()
