"""Prometheus metrics of one daemon."""

from collections.abc import Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.registry import Collector

from jayshore.clock import Millis, to_seconds
from jayshore.jobs.context import JobEvents
from jayshore.jobs.record import JobRecord
from jayshore.outcomes import NotRun, Ran, RequestOutcome, Unknown
from jayshore.traffic import Traffic

_WAIT_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.6, 3, 10, 30, 120, 600)
_REQUEST_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 5, 30)


class _TrafficCollector(Collector):
    """Exports the traffic counters of all flows at each scrape."""

    def __init__(self) -> None:
        self.flows: dict[str, Traffic] = {}

    def collect(self) -> Iterator[CounterMetricFamily]:
        octets = CounterMetricFamily(
            'jayshore_traffic_bytes',
            'Bytes over the sockets of each flow.',
            labels=('flow', 'direction'),
        )
        messages = CounterMetricFamily(
            'jayshore_traffic_messages',
            'Calls sent, or answered by a listener.',
            labels=('flow',),
        )
        for flow, traffic in self.flows.items():
            octets.add_metric((flow, 'sent'), traffic.sent)
            octets.add_metric((flow, 'received'), traffic.received)
            messages.add_metric((flow,), traffic.messages)
        yield octets
        yield messages


class Metrics(JobEvents):
    """All metrics of a daemon, in a registry separate from the default."""

    def __init__(self) -> None:
        """Register all metrics."""
        registry = CollectorRegistry()
        self._registry = registry
        self._traffic = _TrafficCollector()
        registry.register(self._traffic)
        self._requests = Counter(
            'jayshore_requests',
            'Requests answered, by outcome.',
            ('service', 'outcome', 'reason'),
            registry=registry,
        )
        self._request_seconds = Histogram(
            'jayshore_request_seconds',
            'Time from the arrival of a request to its answer.',
            ('service',),
            buckets=_REQUEST_BUCKETS_S,
            registry=registry,
        )
        self._submissions = Counter(
            'jayshore_submissions',
            'Jobs submitted, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._task_wait_seconds = Histogram(
            'jayshore_task_wait_seconds',
            'Time from the acceptance of a job to the start of a task.',
            ('kind',),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self._tasks_ended = Counter(
            'jayshore_tasks_ended',
            'Attempts of tasks that ended, by what follows.',
            ('kind', 'how'),
            registry=registry,
        )
        self._client_limits = Counter(
            'jayshore_client_limits',
            'Requests refused and connections closed by limits on clients.',
            ('cause',),
            registry=registry,
        )
        self.leader_epoch = Gauge(
            'jayshore_leader_epoch',
            'Epoch of the leadership, 0 when not leading.',
            registry=registry,
        )
        self.config_version = Gauge(
            'jayshore_config_version',
            'Version of the configuration held.',
            registry=registry,
        )
        self.evidence_age_seconds = Gauge(
            'jayshore_evidence_age_seconds',
            'Age of the evidence that the version is the newest; -1 for none.',
            registry=registry,
        )
        self.store_reachable = Gauge(
            'jayshore_store_reachable',
            'Whether the last read of the store was answered.',
            registry=registry,
        )
        self.workers_open = Gauge(
            'jayshore_workers_open',
            'Workers whose lease was opened by this leader.',
            registry=registry,
        )

    def traffic(self, flow: str) -> Traffic:
        """Return the traffic counters of a flow, created on first use.

        Args:
            flow: name of the flow, a label value.

        Returns:
            Counters that the connections of the flow update.
        """
        return self._traffic.flows.setdefault(flow, Traffic())

    def request_answered(
        self, service: str, outcome: RequestOutcome, took_ms: Millis
    ) -> None:
        """Count a request and observe its duration.

        Args:
            service: a configured service.
            outcome: the outcome that the caller was told.
            took_ms: time since the arrival of the request, in ms.
        """
        match outcome:
            case Ran():
                tag, reason = 'ran', ''
            case NotRun():
                tag, reason = 'not_run', outcome.reason.value
            case Unknown():
                tag, reason = 'unknown', outcome.reason.value
        self._requests.labels(service, tag, reason).inc()
        self._request_seconds.labels(service).observe(to_seconds(took_ms))

    def client_limited(self, cause: str) -> None:
        """Count a request refused, or a connection closed, by a limit.

        Args:
            cause: which limit, one of a fixed number of names.
        """
        self._client_limits.labels(cause).inc()

    def job_submitted(self, outcome: str) -> None:
        """Count a submission.

        Args:
            outcome: `accepted`, or the reason of the refusal.
        """
        self._submissions.labels(outcome).inc()

    def task_started(self, record: JobRecord, waited_ms: Millis) -> None:
        """Observe the waiting time of a task that started.

        Args:
            record: the job of the task.
            waited_ms: time since the job was accepted, in ms; a negative time
                counts as 0.
        """
        waited = max(Millis(0), waited_ms)
        kind = record.kind.value
        self._task_wait_seconds.labels(kind).observe(to_seconds(waited))

    def task_ended(self, record: JobRecord, how: str) -> None:
        """Count the end of a task attempt.

        Args:
            record: the job of the task.
            how: final state of the task, or `retried`.
        """
        self._tasks_ended.labels(record.kind.value, how).inc()

    def render(self) -> bytes:
        """Render all metrics.

        Returns:
            The metrics in the Prometheus text exposition format.
        """
        return generate_latest(self._registry)
