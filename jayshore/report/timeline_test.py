"""Tests of the timeline of a job, from unordered and malformed log lines."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from jayshore.report.timeline import build_timeline, parse_log_lines

JOB = '5c0e7a21d94b36f8'


def row(at, message, source='i1', **fields):
    """Return a log line with the prefix that a log collector adds."""
    text = json.dumps({'timestamp': at, 'message_type': message, **fields})
    return f'  {at} {source} {text}\n'


ROWS = (
    row(3.0, 'job:ended', job=JOB, state='completed'),
    row(1.0, 'call:answered', method='POST', path=f'/p/{JOB}', status=200),
    row(1.2, 'job:placed', job=JOB, tasks=[[0, 0, 0, 1, 'w1']]),
    row(1.4, 'worker:silent', worker='w1'),
    row(1.5, 'worker:silent', worker='w2'),
    row(1.6, 'store:lost', 'i2', error='down'),
    row(2.0, 'task:ended', task=f'{JOB}.0.0.0', kind='lapsed'),
    row(2.1, 'job:placed', job='another', tasks=[]),
    row(9.0, 'store:lost', error='after the end'),
    'not a log line\n',
    '{"timestamp": "noon"}\n',
)


def test_timeline_is_ordered_and_has_context():
    """Guards against missing a cause that only another instance logged."""
    timeline = build_timeline(parse_log_lines(ROWS), JOB)
    assert [line.kind for line in timeline] == [
        'call:answered',
        'job:placed',
        'worker:silent',
        'store:lost',
        'task:ended',
        'job:ended',
    ]
    assert [line.at_ms for line in timeline] == [0, 200, 400, 600, 1000, 2000]
    assert timeline[3].source == 'i2'
    assert 'kind=lapsed' in timeline[4].details


def test_unknown_job_has_no_timeline():
    """Guards against a timeline that contains lines of another job."""
    assert not build_timeline(parse_log_lines(ROWS), 'nobody')


@pytest.mark.parametrize('source', ['', 'i1'])
@hypothesis.given(text=st.text(max_size=60))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_text_is_read(source, text):
    """Guards against a malformed log line that crashes the command."""
    list(
        parse_log_lines(
            [text, '{' + text, f'{{"timestamp":1,"job":{text}}}'], source
        )
    )


WAITED = (
    row(1.0, 'call:answered', method='POST', path=f'/p/{JOB}', status=200),
    row(1.1, 'job:placed', job='a', queue='checks'),
    row(1.2, 'overload:begun', service='s'),
    row(1.3, 'job:deferred', job=JOB, reason='costlier', jobs_before=2),
    row(1.4, 'job:placed', job='a', queue='checks'),
    row(1.5, 'job:placed', job='b', queue='audits'),
    row(2.0, 'job:placed', job=JOB, queue='stacking'),
    row(2.1, 'job:placed', job='c', queue='audits'),
    row(3.0, 'job:ended', job=JOB),
)


def test_timeline_tells_what_went_before():
    """Guards against a wait whose cause the timeline does not show."""
    timeline = build_timeline(parse_log_lines(WAITED), JOB)
    assert [(line.at_ms, line.kind) for line in timeline] == [
        (0, 'call:answered'),
        (200, 'overload:begun'),
        (300, 'job:deferred'),
        (1000, 'jobs:placed_before'),
        (1000, 'job:placed'),
        (2000, 'job:ended'),
    ]
    assert timeline[3].details == 'audits=1 checks=1'


def test_timeline_tells_why_a_job_was_refused():
    """Guards against a refusal that does not name its reason."""
    rows = (
        row(1.0, 'job:refused', job=JOB, reason='overloaded', wait_ms=9000),
        row(1.0, 'call:answered', path=f'/p/{JOB}', status=429),
    )
    timeline = build_timeline(parse_log_lines(rows), JOB)
    assert timeline[0].meaning == 'the job was refused because of load'
    assert 'reason=overloaded wait_ms=9000' in timeline[0].details
