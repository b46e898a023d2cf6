"""Tests of which tasks are suspected of a crash, and which are given up."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS, ExposedRun, judge_crash
from jayshore.fleet.model import TaskId

OLD = Millis(5 * SETTLED_MS)


def run(job, age_ms=8, position=0, **fields):
    """Make a run at a crashed worker."""
    return ExposedRun(
        task=TaskId(job, 0, 0, position), age_ms=Millis(age_ms), **fields
    )


VERDICTS = (
    ('a first crash', [run('a')], 'a', ''),
    ('only the new runs', [run('a'), run('b', OLD)], 'a', ''),
    ('several new runs', [run('a'), run('b')], 'ab', ''),
    ('nobody', [run('a', OLD), run('b', OLD)], '', ''),
    ('apart, the second crash', [run('a', crashes=1)], 'a', 'a'),
    (
        'beside older runs, the second crash',
        [run('a', crashes=1), run('b', OLD, crashes=1)],
        'a',
        'a',
    ),
    (
        'not apart, the second crash',
        [run('a', crashes=1), run('b')],
        'ab',
        '',
    ),
    ('not apart, the fourth crash', [run('a', crashes=3), run('b')], 'ab', 'a'),
    (
        'tasks of one job',
        [run('a', crashes=1), run('a', position=1)],
        'a',
        'a',
    ),
    (
        'the third crash at any age',
        [run('a', OLD, exposures=2), run('b', OLD)],
        'a',
        '',
    ),
    (
        'at the age of the last crash',
        [run('a', OLD, crashes=1, doubt_ms=Millis(2 * OLD))],
        'a',
        'a',
    ),
    (
        'as old as at one crash before',
        [run('a', OLD, lost_age_ms=OLD)],
        '',
        '',
    ),
)


@pytest.mark.parametrize(
    ('runs', 'suspects', 'given_up'),
    [row[1:] for row in VERDICTS],
    ids=[row[0] for row in VERDICTS],
)
def test_verdict_on_a_crash(runs, suspects, given_up):
    """Guards against tasks that are blamed for others, or never blamed."""
    verdict = judge_crash(runs, timed=True)
    assert {task.job_id for task in verdict.suspects} == set(suspects)
    assert {task.job_id for task in verdict.given_up} == set(given_up)


UNTIMED = (
    ('the second crash', [run('a', 0, crashes=1)], ''),
    ('the third crash', [run('a', 0, crashes=2)], 'a'),
    ('the third crash, not apart', [run('a', 0, crashes=2), run('b', 0)], ''),
)


@pytest.mark.parametrize(
    ('runs', 'given_up'),
    [row[1:] for row in UNTIMED],
    ids=[row[0] for row in UNTIMED],
)
def test_verdict_when_a_worker_was_silent(runs, given_up):
    """Guards against a task that is blamed for a worker that was down before.

    Its start was sent to a silent worker, and never answered.
    """
    verdict = judge_crash(runs, timed=False)
    assert {task.job_id for task in verdict.given_up} == set(given_up)


SAME_AGES = (
    ('the first crash', {}, False),
    ('as old as before', {'lost_age_ms': OLD}, True),
    ('a little older', {'lost_age_ms': Millis(OLD - 200)}, True),
    ('much older', {'lost_age_ms': Millis(OLD - 300)}, False),
    ('much younger', {'lost_age_ms': Millis(OLD + 300)}, False),
    (
        'perhaps as old',
        {'lost_age_ms': Millis(OLD + 300), 'spread_ms': Millis(100)},
        True,
    ),
)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [row[1:] for row in SAME_AGES],
    ids=[row[0] for row in SAME_AGES],
)
def test_runs_that_are_lost_at_the_same_age(fields, expected):
    """Guards against ages that are matched wrongly."""
    found = run('a', OLD, **fields)
    assert found.recurs is expected
    assert found.explains_crash is expected
    verdict = judge_crash([found], timed=True, shared=True)
    assert verdict.recurrent == ({found.task} if expected else frozenset())


SHARED = (
    ('a new run', [run('a')], '', ''),
    ('a suspect at another age', [run('a', crashes=1, recurrent=True)], '', ''),
    ('as old as before', [run('a', OLD, lost_age_ms=OLD)], '', ''),
    (
        'as old as twice before',
        [run('a', OLD, lost_age_ms=OLD, recurrent=True), run('b')],
        'a',
        '',
    ),
    (
        'as old as three times before',
        [run('a', OLD, lost_age_ms=OLD, recurrent=True, crashes=1), run('b')],
        'a',
        'a',
    ),
)


@pytest.mark.parametrize(
    ('runs', 'suspects', 'given_up'),
    [row[1:] for row in SHARED],
    ids=[row[0] for row in SHARED],
)
def test_verdict_when_other_workers_crash_too(runs, suspects, given_up):
    """Guards against a common cause that is put down to tasks, or hides one."""
    verdict = judge_crash(runs, timed=True, shared=True)
    assert {task.job_id for task in verdict.suspects} == set(suspects)
    assert {task.job_id for task in verdict.given_up} == set(given_up)
