"""The story of a job, from lines in any order and lines that are none."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from jayshore.report.timeline import build_timeline, parse_log_lines

JOB = '5c0e7a21d94b36f8'


def row(at, message, source='i1', **fields):
    """Write a log line as a collector does."""
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


def test_story_is_in_order_and_has_its_context():
    """Guards against a cause that stands in another instance's log."""
    story = build_timeline(parse_log_lines(ROWS), JOB)
    assert [line.kind for line in story] == [
        'call:answered',
        'job:placed',
        'worker:silent',
        'store:lost',
        'task:ended',
        'job:ended',
    ]
    assert [line.at_ms for line in story] == [0, 200, 400, 600, 1000, 2000]
    assert story[3].source == 'i2'
    assert 'kind=lapsed' in story[4].details


def test_unknown_job_has_no_story():
    """Guards against the story of another job."""
    assert not build_timeline(parse_log_lines(ROWS), 'nobody')


@pytest.mark.parametrize('source', ['', 'i1'])
@hypothesis.given(text=st.text(max_size=60))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_text_is_read(source, text):
    """Guards against a log line that ends the command."""
    list(
        parse_log_lines(
            [text, '{' + text, f'{{"timestamp":1,"job":{text}}}'], source
        )
    )
