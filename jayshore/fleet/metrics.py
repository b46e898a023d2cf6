"""Metrics of one instance, served as text on its inner address.

No label comes from a caller: queues and outcomes are those of the operator and
of this code.
"""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from jayshore.clock import Millis, to_seconds
from jayshore.store.relay import StoreCallObserver

_WAIT_BUCKETS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)
_STORE_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2)
_TAKEOVER_BUCKETS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 12)


class FleetMetrics(StoreCallObserver):
    """All metrics, in a registry of their own."""

    def __init__(self) -> None:
        """Create the metrics."""
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
        self._takeover = Histogram(
            'jayshore_takeover_seconds',
            'Time from an election until all jobs are known.',
            buckets=_TAKEOVER_BUCKETS_S,
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

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge that is read when the metrics are scraped.

        Args:
            name: name of the metric.
            text: what it shows.
            read: reads the value.
        """
        Gauge(name, text, registry=self._registry).set_function(read)

    def count_call(self, method: str, status: int) -> None:
        """Count a call of a caller.

        Args:
            method: of the call, one that the front knows.
            status: of the answer.
        """
        self._calls.labels(method, str(status)).inc()

    def note_first_start(self, queue: str, waited_ms: Millis) -> None:
        """Note how long a job waited for its first placement.

        Args:
            queue: name of its queue.
            waited_ms: since its acceptance, in ms.
        """
        self._first_start.labels(queue).observe(to_seconds(waited_ms))

    def count_start(self, result: str) -> None:
        """Count a start.

        Args:
            result: answer of the worker.
        """
        self._starts.labels(result).inc()

    def count_end(self, kind: str) -> None:
        """Count an end.

        Args:
            kind: how the run ended.
        """
        self._ends.labels(kind).inc()

    def note_takeover(self, took_ms: Millis) -> None:
        """Note a change of leader.

        Args:
            took_ms: from the election until all jobs were known, in ms.
        """
        self._takeover.observe(to_seconds(took_ms))

    def note_store_call(self, kind: str, outcome: str, took_ms: Millis) -> None:
        """Note a call to the store.

        Args:
            kind: of the call.
            outcome: `ok`, `relayed` or the name of the error.
            took_ms: until its answer, in ms.
        """
        self._store_calls.labels(kind, outcome).inc()
        if kind != 'watch':
            self._store_seconds.labels(kind).observe(to_seconds(took_ms))

    def render(self) -> bytes:
        """Render all metrics.

        Returns:
            Text in the exposition format of Prometheus.
        """
        return generate_latest(self._registry)
