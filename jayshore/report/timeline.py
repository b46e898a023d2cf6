"""Builds the timeline of one job from the log lines of all instances.

A log line concerns a job when its `job`, `task` or `path` field names the job.
Lines between the first and the last of these that concern leadership, the
store, the configuration or the workers involved are included, because they
often show the cause.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

_CONTEXT_KINDS: Final = frozenset(
    (
        'leadership:elected',
        'leadership:deposed',
        'leadership:ended',
        'leadership:handed_over',
        'leader:ready',
        'leader:fenced',
        'store:lost',
        'store:regained',
        'journal:write_failed',
        'config:in_force',
        'config:invalid',
        'evacuation:begun',
        'evacuation:ended',
        'instance:started',
        'instance:draining',
        'overload:begun',
        'overload:ended',
    )
)
_WORKER_KINDS: Final = frozenset(
    (
        'worker:silent',
        'worker:other_life',
        'worker:runs_lost',
        'worker:crashed',
        'worker:fenced',
        'worker:invalid',
        'worker:quarantined',
        'worker:quarantine_ended',
        'worker:over_limit',
        'worker:old_reply',
        'worker:speed',
    )
)
_HIDDEN_FIELDS: Final = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'job')
)
_MS_PER_S: Final = 1000
_PLACED: Final = 'job:placed'

_MEANINGS: Final = (
    ('call:answered', 'a caller was answered'),
    ('job:not_stored', 'the store did not accept the job'),
    ('job:placed', 'tasks were placed'),
    ('job:cancelled', 'a cancellation was stored'),
    ('job:ended', 'the job ended'),
    ('job:refused', 'the job was refused because of load'),
    ('job:deferred', 'the job waits for jobs that cost callers more'),
    ('job:promoted', 'the job is late beyond use and goes first now'),
    ('overload:begun', 'the workers are full, and jobs are deferred'),
    ('overload:ended', 'no job is deferred any more'),
    ('jobs:placed_before', 'other jobs were placed while it waited'),
    ('job:leader_silent', 'no leader answered for its state'),
    ('group:waiting', 'tasks wait'),
    ('advice:failed', 'no placement advice came'),
    ('task:not_started', 'a start was refused'),
    ('task:ended', 'a run ended without success'),
    ('task:slow', 'a run was stopped for its pace'),
    ('task:long', 'a run is far behind its estimate and runs on'),
    ('order:stop_unwanted', 'an unwanted run was stopped'),
    ('order:stop_refused', 'a stop was refused'),
    ('worker:silent', 'a worker of the job gave no answer'),
    ('worker:crashed', 'a worker has crashed'),
    ('worker:quarantined', 'a worker failed its tasks and gets probes only'),
    ('worker:quarantine_ended', 'a worker gets all tasks again'),
    ('worker:old_reply', 'a reply of a former life of a worker was ignored'),
    ('worker:over_limit', 'a worker lists more tasks of a group than allowed'),
    ('worker:speed', 'a worker is much slower than the others, or no longer'),
    ('task:given_up', 'a task was given up after crashes of its workers'),
    ('task:cleared', 'a task is no longer suspected of crashes'),
    ('worker:runs_lost', 'a worker was lost with its runs'),
    ('worker:other_life', 'another incarnation of a worker answered'),
    ('store:lost', 'the store did not answer an instance'),
    ('store:regained', 'the store answered an instance again'),
    ('leadership:elected', 'a leader was elected'),
    ('leadership:ended', 'the leadership of an ended process was ended'),
    ('leadership:handed_over', 'a leader handed over to a better instance'),
    ('leader:ready', 'the leader knows all jobs'),
    ('evacuation:begun', 'nothing more starts in a failure domain'),
    ('evacuation:ended', 'a failure domain is used again'),
    ('config:in_force', 'a version of the configuration came into force'),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEntry:
    """One log line of a timeline.

    Attributes:
        at_ms: time since the first line that names the job, in ms.
        source: file or process that wrote it, empty when unknown.
        kind: type of the log line.
        meaning: description of this type, or the type when there is none.
        details: its other fields, as `name=value`.
    """

    at_ms: int
    source: str
    kind: str
    meaning: str
    details: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A decoded log line.

    Attributes:
        at: time of writing, in s since the Unix epoch.
        source: file or process that wrote it, empty when unknown.
        fields: all fields of the line.
    """

    at: float
    source: str
    fields: dict[str, Any]

    @property
    def kind(self) -> str:
        """Type of the line, empty when it has none."""
        return str(self.fields.get('message_type', ''))


def parse_log_lines(rows: Iterable[str], source: str = '') -> Iterator[LogLine]:
    """Decode log lines and skip all other lines.

    Args:
        rows: lines of text; the last word before the first brace names the
            process, as in logs that were collected from several processes.
        source: source of the lines that name no process.

    Yields:
        The lines that are JSON objects with a time.
    """
    for row in rows:
        prefix, brace, rest = row.partition('{')
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        at = fields.get('timestamp')
        if isinstance(at, int | float):
            words = prefix.split()
            yield LogLine(
                at=at, source=words[-1] if words else source, fields=fields
            )


def build_timeline(
    lines: Iterable[LogLine], job_id: str
) -> list[TimelineEntry]:
    """Select and order the lines that explain what happened to a job.

    Args:
        lines: log lines of all instances, in any order.
        job_id: id of the job.

    Returns:
        The timeline by time, empty when no line names the job.
    """
    ordered = sorted(lines, key=_line_time)
    own = [line for line in ordered if _mentions_job(line, job_id)]
    if not own:
        return []
    workers = {name for line in own for name in _worker_ids(line)}
    first, last = own[0].at, own[-1].at
    chosen = [
        line
        for line in ordered
        if _mentions_job(line, job_id)
        or (first <= line.at <= last and _is_context(line, workers))
    ]
    before = _sum_placed_before(ordered, own)
    if before is not None:
        chosen.insert(chosen.index(_end_of_wait(own)), before)
    return [_make_entry(line, first) for line in chosen]


def _end_of_wait(own: list[LogLine]) -> LogLine:
    """Return the first placement of a job, or the last line on it."""
    placed = (line for line in own if line.kind == _PLACED)
    return next(placed, own[-1])


def _sum_placed_before(
    ordered: Iterable[LogLine], own: list[LogLine]
) -> LogLine | None:
    """Count by queue the other jobs that were placed while a job waited."""
    since, end = own[0], _end_of_wait(own)
    jobs: dict[str, set[str]] = {}
    for line in ordered:
        if line.kind == _PLACED and since.at <= line.at < end.at:
            queue = str(line.fields.get('queue', ''))
            jobs.setdefault(queue, set()).add(str(line.fields.get('job')))
    if not jobs:
        return None
    counts = {queue: len(names) for queue, names in sorted(jobs.items())}
    return LogLine(
        at=end.at,
        source='',
        fields={'message_type': 'jobs:placed_before', **counts},
    )


def _line_time(line: LogLine) -> float:
    return line.at


def _mentions_job(line: LogLine, job_id: str) -> bool:
    fields = line.fields
    return (
        fields.get('job') == job_id
        or str(fields.get('task', '')).startswith(f'{job_id}.')
        or str(fields.get('path', '')).endswith(f'/{job_id}')
    )


def _worker_ids(line: LogLine) -> Iterator[str]:
    worker = line.fields.get('worker')
    if isinstance(worker, str):
        yield worker
    rows = line.fields.get('tasks')
    for row in rows if isinstance(rows, list) else ():
        if isinstance(row, list) and row:
            yield str(row[-1])


def _is_context(line: LogLine, workers: set[str]) -> bool:
    if line.kind in _WORKER_KINDS:
        return line.fields.get('worker') in workers
    return line.kind in _CONTEXT_KINDS


def _make_entry(line: LogLine, first: float) -> TimelineEntry:
    meanings = dict(_MEANINGS)
    return TimelineEntry(
        at_ms=round((line.at - first) * _MS_PER_S),
        source=line.source,
        kind=line.kind,
        meaning=meanings.get(line.kind, line.kind),
        details=' '.join(
            f'{name}={_format_value(field)}'
            for name, field in line.fields.items()
            if name not in _HIDDEN_FIELDS and field is not None
        ),
    )


def _format_value(field: object) -> str:
    if isinstance(field, str):
        return field
    return msgspec.json.encode(field).decode()
