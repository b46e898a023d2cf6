"""Reads what processes of a cluster have used so far."""

import dataclasses
import pathlib
import time
from collections import Counter
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from bench.processes import read_cpu_s
from demo.cluster import Cluster
from demo.processes import Process

_BYTES = 'jayshore_traffic_bytes_total'
_KB_PER_MB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """Totals since the start of the processes.

    Attributes:
        at: monotonic time, in s.
        cpu_s: processor time by daemon, in s.
        memory_mb: resident memory by daemon.
        octets: bytes by daemon and flow, both directions.
        store_calls: calls by daemon and kind, as the store counted them.
    """

    at: float
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    octets: dict[str, Counter[str]]
    store_calls: dict[str, Counter[str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """What one daemon used within a measurement.

    Attributes:
        is_leader: whether it leads its domain.
        cpu_percent: of one core.
        memory_mb: resident memory at the end.
        bytes_per_s: by flow, both directions.
        store_per_s: store calls by kind.
    """

    is_leader: bool
    cpu_percent: float
    memory_mb: float
    bytes_per_s: dict[str, float]
    store_per_s: dict[str, float]

    def figures(self) -> dict[str, float]:
        """List all figures under one name each."""
        flows = {
            f'{flow}_bytes': rate for flow, rate in self.bytes_per_s.items()
        }
        calls = {f'store_{kind}': n for kind, n in self.store_per_s.items()}
        return {
            'cpu_percent': self.cpu_percent,
            'memory_mb': self.memory_mb,
            **flows,
            **calls,
        }


def watch(cluster: Cluster, seconds: float) -> dict[str, Usage]:
    """Measure the daemons of a cluster for a while.

    Args:
        cluster: a running cluster.
        seconds: length of the measurement.

    Returns:
        Usage by daemon.
    """
    before = read_usage(cluster, scrape_first=True)
    time.sleep(seconds)
    return compare(before, read_usage(cluster, scrape_first=False), cluster)


def read_usage(cluster: Cluster, *, scrape_first: bool) -> Reading:
    """Read all totals.

    Args:
        cluster: a running cluster.
        scrape_first: whether the metrics are read before the processor time;
            set at the beginning of a measurement, so that the processor time
            of the scrapes lies outside.

    Returns:
        The totals.
    """
    octets: dict[str, Counter[str]] = {}
    if scrape_first:
        octets = _scrape_all(cluster)
    at = time.monotonic()
    cpu = {
        name: read_cpu_s(one.popen.pid) for name, one in cluster.daemons.items()
    }
    memory = {name: _memory_mb(one) for name, one in cluster.daemons.items()}
    calls = cluster.store.call('GET', '/admin/calls').content['by_sender']
    if not scrape_first:
        octets = _scrape_all(cluster)
    return Reading(
        at=at,
        cpu_s=cpu,
        memory_mb=memory,
        octets=octets,
        store_calls={
            name: Counter(calls.get(name, {})) for name in cluster.daemons
        },
    )


def compare(
    before: Reading, after: Reading, cluster: Cluster
) -> dict[str, Usage]:
    """Compute rates between two readings.

    Args:
        before: at the beginning.
        after: at the end.
        cluster: tells who leads.

    Returns:
        Usage by daemon.
    """
    took = after.at - before.at
    leaders = set(cluster.leaders().values())
    found = {}
    for name in cluster.daemons:
        cpu = after.cpu_s[name] - before.cpu_s[name]
        found[name] = Usage(
            is_leader=name in leaders,
            cpu_percent=100 * cpu / took,
            memory_mb=after.memory_mb[name],
            bytes_per_s=_rates(before.octets, after.octets, name, took),
            store_per_s=_rates(
                before.store_calls, after.store_calls, name, took
            ),
        )
    return found


def _rates(
    before: dict[str, Counter[str]],
    after: dict[str, Counter[str]],
    name: str,
    took: float,
) -> dict[str, float]:
    return {
        kind: (count - before[name][kind]) / took
        for kind, count in after[name].items()
    }


def _scrape_all(cluster: Cluster) -> dict[str, Counter[str]]:
    return {name: _scrape(one) for name, one in cluster.daemons.items()}


def _scrape(daemon: Process) -> Counter[str]:
    text = daemon.call('GET', '/metrics').body.decode()
    octets: Counter[str] = Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == _BYTES:
                octets[sample.labels['flow']] += int(sample.value)
    return octets


def _memory_mb(process: Process) -> float:
    path = pathlib.Path(f'/proc/{process.popen.pid}/status')
    fields: dict[str, Any] = dict(
        line.split(':', 1) for line in path.read_text().splitlines()
    )
    return int(fields['VmRSS'].split()[0]) / _KB_PER_MB
