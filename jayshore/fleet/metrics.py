"""Metrics of one instance, served as text on its internal address.

Label values never come from a caller, so that their number is limited: queues
are set by the operator, and outcomes by this code.
"""

from collections.abc import Callable, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from jayshore.clock import Millis, to_seconds
from jayshore.fleet.speeds import SpeedRange
from jayshore.http.budgets import ClientBudgets
from jayshore.store.relay import StoreCallObserver

_WAIT_BUCKETS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)
_STORE_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2)
_ROUND_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1)
_RENEWAL_LATE_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2)
_TAKEOVER_BUCKETS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 12)


class FleetMetrics(StoreCallObserver):
    """All metrics of an instance, in a separate registry."""

    def __init__(self) -> None:
        """Register the metrics."""
        registry = CollectorRegistry()
        self._registry = registry
        self._calls = Counter(
            'jayshore_calls',
            'Calls of callers that were answered.',
            ('method', 'status'),
            registry=registry,
        )
        self._first_start = Histogram(
            'jayshore_first_start_seconds',
            'Time from the acceptance of a job to its first placement.',
            ('queue',),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self._starts = Counter(
            'jayshore_starts',
            'Starts of tasks, by the answer of the worker.',
            ('result',),
            registry=registry,
        )
        self._ends = Counter(
            'jayshore_ends',
            'Ends of runs, by how they ended.',
            ('kind',),
            registry=registry,
        )
        self._lost_runs = Counter(
            'jayshore_lost_runs',
            'Runs that were lost with their worker, by cause.',
            ('cause',),
            registry=registry,
        )
        self._crashes = Counter(
            'jayshore_worker_crashes',
            'Crashes of workers, by what is known of the cause.',
            ('cause',),
            registry=registry,
        )
        self._given_up = Counter(
            'jayshore_tasks_given_up',
            'Tasks that were given up after crashes of their workers.',
            registry=registry,
        )
        self._quarantines = Counter(
            'jayshore_worker_quarantines',
            'Quarantines of workers that fail their tasks, begun and ended.',
            ('change',),
            registry=registry,
        )
        self._probes = Counter(
            'jayshore_worker_probes',
            'Tasks that were placed to probe a quarantined worker.',
            registry=registry,
        )
        self._over_limit = Counter(
            'jayshore_groups_over_limit',
            'Groups that a worker listed with more runs than they allow.',
            registry=registry,
        )
        self._slow_runs = Counter(
            'jayshore_slow_runs',
            'Runs far behind their estimate, by what was done with them.',
            ('verdict',),
            registry=registry,
        )
        self._speeds = Gauge(
            'jayshore_worker_speed',
            'Learned speeds of the workers, 1 for that of the estimates.',
            ('of',),
            registry=registry,
        )
        self._client_limits = Counter(
            'jayshore_client_limits',
            'Requests refused and connections closed by limits on clients.',
            ('cause',),
            registry=registry,
        )
        self._takeover = Histogram(
            'jayshore_takeover_seconds',
            'Time from an election until all jobs are known.',
            buckets=_TAKEOVER_BUCKETS_S,
            registry=registry,
        )
        self._round_seconds = Histogram(
            'jayshore_round_seconds',
            'Time that a placement round kept the event loop.',
            buckets=_ROUND_BUCKETS_S,
            registry=registry,
        )
        self._waiting_groups = Gauge(
            'jayshore_waiting_groups',
            'Groups with waiting tasks at the leader, by reason.',
            ('reason',),
            registry=registry,
        )
        self._renewal_late = Histogram(
            'jayshore_renewal_late_seconds',
            'How much later than planned the leadership was renewed.',
            buckets=_RENEWAL_LATE_BUCKETS_S,
            registry=registry,
        )
        self._store_calls = Counter(
            'jayshore_store_calls',
            'Calls to the store, by kind and outcome.',
            ('kind', 'outcome'),
            registry=registry,
        )
        self._store_seconds = Histogram(
            'jayshore_store_seconds',
            'Time of answers of the store, without watches.',
            ('kind',),
            buckets=_STORE_BUCKETS_S,
            registry=registry,
        )
        self._refused_jobs = Counter(
            'jayshore_refused_jobs',
            'Submissions that were refused because of load, by reason.',
            ('reason',),
            registry=registry,
        )
        self.deferred_jobs = Gauge(
            'jayshore_deferred_jobs',
            'Waiting jobs that the leader defers, as capacity is full.',
            registry=registry,
        )
        self.config_version = Gauge(
            'jayshore_config_version',
            'Version of the configuration in force.',
            registry=registry,
        )
        self.leader_epoch = Gauge(
            'jayshore_leader_epoch',
            'Epoch of the leadership, 0 when not leading.',
            registry=registry,
        )
        self.evacuated_domains = Gauge(
            'jayshore_evacuated_domains',
            'Failure domains in which this leader starts nothing.',
            registry=registry,
        )

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge that is read when the metrics are scraped.

        Args:
            name: name of the metric.
            text: help text.
            read: returns the current value.
        """
        Gauge(name, text, registry=self._registry).set_function(read)

    def count_call(self, method: str, status: int) -> None:
        """Count a call of a caller.

        Args:
            method: method of the call, one that the front handles.
            status: status of the response.
        """
        self._calls.labels(method, str(status)).inc()

    def note_first_start(self, queue: str, waited_ms: Millis) -> None:
        """Record how long a job waited for its first placement.

        Args:
            queue: name of its queue.
            waited_ms: time since its acceptance, in ms.
        """
        self._first_start.labels(queue).observe(to_seconds(waited_ms))

    def count_start(self, result: str) -> None:
        """Count a start.

        Args:
            result: result of the start.
        """
        self._starts.labels(result).inc()

    def count_end(self, kind: str) -> None:
        """Count the end of a run.

        Args:
            kind: how the run ended.
        """
        self._ends.labels(kind).inc()

    def count_lost_runs(self, cause: str, count: int) -> None:
        """Count runs that were lost with their worker.

        Args:
            cause: why they were lost.
            count: number of runs.
        """
        self._lost_runs.labels(cause).inc(count)

    def count_crash(self, cause: str) -> None:
        """Count a crash of a worker.

        Args:
            cause: `suspected` when a task may have caused it, `shared` when
                others failed with it, `none` when nothing is suspected.
        """
        self._crashes.labels(cause).inc()

    def count_given_up(self) -> None:
        """Count a task that was given up after crashes of its workers."""
        self._given_up.inc()

    def count_quarantine(self, change: str) -> None:
        """Count a change of the quarantine of a worker.

        Args:
            change: `begun` or `ended`.
        """
        self._quarantines.labels(change).inc()

    def count_probe(self) -> None:
        """Count a task that probes a quarantined worker."""
        self._probes.inc()

    def count_over_limit(self) -> None:
        """Count a group with more runs at a worker than it allows."""
        self._over_limit.inc()

    def count_slow_run(self, verdict: str) -> None:
        """Count a run that is far behind its estimate.

        Args:
            verdict: `moved` when its worker is slow, `kept` when the task is
                long.
        """
        self._slow_runs.labels(verdict).inc()

    def note_speeds(self, speeds: SpeedRange | None) -> None:
        """Set the learned speeds of the workers.

        Args:
            speeds: their range, None when none is known.
        """
        self._speeds.clear()
        if speeds is not None:
            for name, value in speeds._asdict().items():
                self._speeds.labels(name).set(value)

    def count_refused(self, reason: str) -> None:
        """Count a submission that was refused because of load.

        Args:
            reason: reason of the refusal.
        """
        self._refused_jobs.labels(reason).inc()

    def count_client_limit(self, cause: str) -> None:
        """Count a request refused, or a connection closed, by a limit.

        Args:
            cause: which limit, one of a fixed number of names.
        """
        self._client_limits.labels(cause).inc()

    def follow_client_budgets(self, budgets: ClientBudgets) -> None:
        """Export what clients use of the budgets of the process.

        Args:
            budgets: the budgets.
        """
        self.add_gauge(
            'jayshore_client_memory_bytes',
            'Memory that connections, requests and responses use.',
            lambda: budgets.memory.used,
        )
        self.add_gauge(
            'jayshore_client_connections',
            'Connections of clients that are open.',
            lambda: budgets.descriptors.used,
        )

    def note_takeover(self, took_ms: Millis) -> None:
        """Record a takeover by this instance.

        Args:
            took_ms: time from the election until all jobs were loaded, in ms.
        """
        self._takeover.observe(to_seconds(took_ms))

    def note_round(self, took_ms: Millis) -> None:
        """Record how long a placement round kept the event loop.

        Args:
            took_ms: time from its inputs to the records of its placements,
                in ms.
        """
        self._round_seconds.observe(to_seconds(took_ms))

    def update_waiting_groups(self, counts: Mapping[str, int]) -> None:
        """Update the number of waiting groups of the leader.

        Args:
            counts: number of groups by reason; a reason that is missing has
                none.
        """
        self._waiting_groups.clear()
        for reason, count in counts.items():
            self._waiting_groups.labels(reason).set(count)

    def note_renewal(self, late_ms: Millis) -> None:
        """Record a renewal of the leadership.

        Args:
            late_ms: how much later than planned it was sent, in ms.
        """
        self._renewal_late.observe(to_seconds(late_ms))

    def note_store_call(self, kind: str, outcome: str, took_ms: Millis) -> None:
        """Record a call to the store.

        Args:
            kind: kind of the call.
            outcome: `ok`, `relayed` or the name of the error.
            took_ms: duration of the call, in ms.
        """
        self._store_calls.labels(kind, outcome).inc()
        if kind != 'watch':
            self._store_seconds.labels(kind).observe(to_seconds(took_ms))

    def render(self) -> bytes:
        """Render all metrics.

        Returns:
            The metrics in the Prometheus text format.
        """
        return generate_latest(self._registry)
