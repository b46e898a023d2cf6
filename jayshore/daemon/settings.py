"""Settings of one daemon, read from a JSON file at startup.

Values that all daemons have to agree on are configuration and are kept in the
store. The settings hold what is specific to one process, and its own limits.
"""

import dataclasses
import pathlib

import msgspec

from jayshore.outcomes import JayshoreError


class SettingsError(JayshoreError):
    """The settings file is unreadable or holds an invalid value."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals and timeouts, all in milliseconds.

    Attributes:
        freshness_ms: largest age of the evidence that the configuration is
            current at which work that needs a key is accepted.
        store_poll_ms: interval of configuration reads.
        heartbeat_ms: interval of heartbeats to each peer, a fourth of it
            while the store gives no evidence.
        list_poll_ms: interval of reads of the instance list.
        leadership_ttl_ms: duration of the store lease on the leadership of a
            domain.
        task_lease_ms: how long a worker runs a task without a renewal.
        renew_wait_ms: how long a renewal call waits for a change at a worker
            (long poll). The traffic of idle workers is inversely proportional
            to it. It does not delay the detection of lost workers: a process
            that ends closes the connection, a vanished host fails the
            keepalive probes of the kernel, and a paused worker does not
            answer a start.
        executor_wait_ms: how long a renewal call waits for a change at an
            executor (long poll).
        round_ms: longest pause between two placement rounds.
        reconcile_ms: pause between two scans for job records that the leader
            has missed.
        reconcile_wait_ms: how long such a scan waits at the store for a change
            (long poll). It bounds the delay in finding new records when the
            store goes away without closing its connections.
        grant_ms: interval of changes to the grants while a team is short.
        flush_ms: how long changes to one job record are batched.
        call_timeout_ms: timeout of a call to the store or an upstream.
        store_timeout_ms: timeout of a call to the store.
        unready_ms: how long a daemon that shuts down goes on serving while it
            reports not ready, so that the load balancer first stops sending.
        drain_ms: limit on each step of a graceful shutdown.
        job_retention_ms: how long the record of an ended job is kept.
    """

    freshness_ms: int = 2000
    store_poll_ms: int = 500
    heartbeat_ms: int = 2000
    list_poll_ms: int = 1000
    leadership_ttl_ms: int = 3000
    task_lease_ms: int = 300_000
    renew_wait_ms: int = 60_000
    executor_wait_ms: int = 20_000
    round_ms: int = 50
    reconcile_ms: int = 1000
    reconcile_wait_ms: int = 5000
    grant_ms: int = 100
    flush_ms: int = 20
    call_timeout_ms: int = 2000
    store_timeout_ms: int = 1000
    unready_ms: int = 1000
    drain_ms: int = 15_000
    job_retention_ms: int = 86_400_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on callers, and on what is kept for them.

    Attributes:
        max_body_bytes: largest body of a request or a job.
        max_header_bytes: largest head of an HTTP message.
        max_connections: largest number of concurrent connections of callers.
        header_timeout_ms: time for a caller to send the head of a message.
        body_timeout_ms: time for a caller to send a body.
        idle_timeout_ms: how long an idle connection is kept open.
        write_timeout_ms: time for a caller to read a response.
        max_tasks: largest number of tasks in a job.
        max_wait_ms: longest wait for the end of a job in one call.
        max_request_ms: longest timeout of a request.
        intent_width: number of workers named in a job's recorded intent.
        memory_mb: memory of this process, in millions of bytes, None for no
            budget.
        max_fds: file descriptors of this process, None for no budget.
    """

    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    max_connections: int = 1024
    header_timeout_ms: int = 5000
    body_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    write_timeout_ms: int = 10_000
    max_tasks: int = 1000
    max_wait_ms: int = 30_000
    max_request_ms: int = 120_000
    intent_width: int = 8
    memory_mb: int | None = None
    max_fds: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """The settings file of one daemon.

    Attributes:
        name: the daemon's name in the roster of the configuration.
        domain: its failure domain.
        listen: `host:port` for callers, operators and metrics.
        peer_listen: `host:port` for the other daemons.
        store: `host:port` of the platform's store.
        instance_list: `host:port` of the platform's instance list.
        operator_key_sha256: SHA-256, in hex, of the key that may change the
            configuration.
        log_file: path of the log file, empty for standard error.
        timing: intervals and timeouts.
        limits: limits on callers.
    """

    name: str
    domain: str
    listen: str
    peer_listen: str
    store: str
    instance_list: str
    operator_key_sha256: str
    log_file: str = ''
    timing: Timing = dataclasses.field(default_factory=Timing)
    limits: Limits = dataclasses.field(default_factory=Limits)


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: a JSON file.

    Returns:
        The settings, with defaults filled in.

    Raises:
        SettingsError: the file is unreadable, has an unknown or invalid field,
            or a value of `timing` or `limits` is not positive.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=Settings)
        _reject_unknown_fields(path.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f'{path}: {error}') from error
    for group in (settings.timing, settings.limits):
        for field in dataclasses.fields(group):
            chosen = getattr(group, field.name)
            if chosen is not None and chosen <= 0:
                raise SettingsError(f'{path}: {field.name} must be positive')
    return settings


def _reject_unknown_fields(text: bytes) -> None:
    """Reject fields that msgspec would ignore in a dataclass.

    Args:
        text: the JSON document.

    Raises:
        ValidationError: the settings have no such field.
    """
    document = msgspec.json.decode(text)
    for model, fields, path in (
        (Settings, document, '$'),
        (Timing, document.get('timing', {}), '$.timing'),
        (Limits, document.get('limits', {}), '$.limits'),
    ):
        known = {field.name for field in dataclasses.fields(model)}
        for name in fields:
            if name not in known:
                raise msgspec.ValidationError(f'unknown field {path}.{name}')
