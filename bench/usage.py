"""Measures processor time, memory, traffic and store calls of daemons."""

import dataclasses
import pathlib
import time
from collections import Counter
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from bench.processes import read_cpu_s
from demo.cluster import Cluster
from demo.processes import Process

_TRAFFIC_METRIC = 'jayshore_traffic_bytes_total'
_KB_PER_MB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageTotals:
    """Totals since the start of the processes.

    Attributes:
        at_s: monotonic time of the reading, in s.
        cpu_s: processor time by daemon, in s.
        memory_mb: resident memory by daemon.
        traffic_bytes: bytes by daemon and flow, both directions together.
        store_calls: calls by daemon and kind, as counted by the store.
    """

    at_s: float
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    traffic_bytes: dict[str, Counter[str]]
    store_calls: dict[str, Counter[str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Resource use of one daemon during a measurement.

    Attributes:
        is_leader: whether it leads its domain at the end.
        cpu_percent: processor time in percent of one core.
        memory_mb: resident memory at the end.
        bytes_per_s: bytes per second by flow, both directions together.
        store_per_s: store calls per second by kind.
    """

    is_leader: bool
    cpu_percent: float
    memory_mb: float
    bytes_per_s: dict[str, float]
    store_per_s: dict[str, float]

    def figures(self) -> dict[str, float]:
        """Return all figures in one mapping by name."""
        flows = {
            f'{flow}_bytes': rate for flow, rate in self.bytes_per_s.items()
        }
        calls = {
            f'store_{kind}': rate_per_s
            for kind, rate_per_s in self.store_per_s.items()
        }
        return {
            'cpu_percent': self.cpu_percent,
            'memory_mb': self.memory_mb,
            **flows,
            **calls,
        }


def measure_usage(cluster: Cluster, seconds: float) -> dict[str, Usage]:
    """Measure the daemons of a cluster over a period.

    Args:
        cluster: a running cluster.
        seconds: length of the measurement.

    Returns:
        Usage by daemon.
    """
    before = read_totals(cluster, scrape_first=True)
    time.sleep(seconds)
    return usage_between(
        before, read_totals(cluster, scrape_first=False), cluster
    )


def read_totals(cluster: Cluster, *, scrape_first: bool) -> UsageTotals:
    """Read all totals.

    Args:
        cluster: a running cluster.
        scrape_first: whether to read the metrics before the processor time;
            True at the start and False at the end of a measurement, so that
            the processor time of the scrapes is not counted.

    Returns:
        The totals.
    """
    traffic_bytes: dict[str, Counter[str]] = {}
    if scrape_first:
        traffic_bytes = _scrape_all(cluster)
    at_s = time.monotonic()
    cpu = {
        name: read_cpu_s(daemon.popen.pid)
        for name, daemon in cluster.daemons.items()
    }
    memory = {
        name: _memory_mb(daemon) for name, daemon in cluster.daemons.items()
    }
    calls = cluster.store.call('GET', '/admin/calls').content['by_sender']
    if not scrape_first:
        traffic_bytes = _scrape_all(cluster)
    return UsageTotals(
        at_s=at_s,
        cpu_s=cpu,
        memory_mb=memory,
        traffic_bytes=traffic_bytes,
        store_calls={
            name: Counter(calls.get(name, {})) for name in cluster.daemons
        },
    )


def usage_between(
    before: UsageTotals, after: UsageTotals, cluster: Cluster
) -> dict[str, Usage]:
    """Compute the usage between two readings.

    Args:
        before: reading at the start.
        after: reading at the end.
        cluster: the cluster, which is asked for its leaders.

    Returns:
        Usage by daemon.
    """
    elapsed_s = after.at_s - before.at_s
    leaders = set(cluster.leaders().values())
    usage = {}
    for name in cluster.daemons:
        cpu = after.cpu_s[name] - before.cpu_s[name]
        usage[name] = Usage(
            is_leader=name in leaders,
            cpu_percent=100 * cpu / elapsed_s,
            memory_mb=after.memory_mb[name],
            bytes_per_s=_rates(
                before.traffic_bytes, after.traffic_bytes, name, elapsed_s
            ),
            store_per_s=_rates(
                before.store_calls, after.store_calls, name, elapsed_s
            ),
        )
    return usage


def _rates(
    before: dict[str, Counter[str]],
    after: dict[str, Counter[str]],
    name: str,
    elapsed_s: float,
) -> dict[str, float]:
    return {
        kind: (count - before[name][kind]) / elapsed_s
        for kind, count in after[name].items()
    }


def _scrape_all(cluster: Cluster) -> dict[str, Counter[str]]:
    return {name: _scrape(daemon) for name, daemon in cluster.daemons.items()}


def _scrape(daemon: Process) -> Counter[str]:
    text = daemon.call('GET', '/metrics').body.decode()
    traffic_bytes: Counter[str] = Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == _TRAFFIC_METRIC:
                traffic_bytes[sample.labels['flow']] += int(sample.value)
    return traffic_bytes


def _memory_mb(process: Process) -> float:
    path = pathlib.Path(f'/proc/{process.popen.pid}/status')
    fields: dict[str, Any] = dict(
        line.split(':', 1) for line in path.read_text().splitlines()
    )
    return int(fields['VmRSS'].split()[0]) / _KB_PER_MB
