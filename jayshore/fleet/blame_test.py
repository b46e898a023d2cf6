"""Tests of which tasks are suspected of a crash, and which are given up."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS, ExposedRun, judge_crash
from jayshore.fleet.model import TaskId

OLD = Millis(5 * SETTLED_MS)


def run(job, age_ms=8, position=0, crashes=0, **fields):
    """Make a run at a crashed worker, by default with confirmed crashes."""
    return ExposedRun(
        task=TaskId(job, 0, 0, position),
        age_ms=Millis(age_ms),
        crashes=crashes,
        **{'confirmed_crashes': crashes, **fields},
    )


def unanswered(job, crashes, confirmed=0):
    """Make a run whose start got no answer."""
    return run(
        job, 0, 0, crashes, confirmed_crashes=confirmed, is_confirmed=False
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


UNANSWERED = (
    (
        'a crash after an unanswered start',
        [run('a', 8, 0, 1, confirmed_crashes=0)],
        '',
    ),
    ('a crash after three', [run('a', 8, 0, 3, confirmed_crashes=0)], ''),
    ('two crashes after one', [run('a', 8, 0, 2, confirmed_crashes=1)], 'a'),
    ('an unanswered start after a crash', [unanswered('a', 1, 1)], ''),
    ('the same after two crashes', [unanswered('a', 2, 2)], 'a'),
    ('the fourth unanswered start', [unanswered('a', 3)], ''),
    ('the fifth unanswered start', [unanswered('a', 4)], 'a'),
)


@pytest.mark.parametrize(
    ('runs', 'given_up'),
    [row[1:] for row in UNANSWERED],
    ids=[row[0] for row in UNANSWERED],
)
def test_verdict_after_starts_without_an_answer(runs, given_up):
    """Guards against a task that is given up after one crash that it saw."""
    verdict = judge_crash(runs, timed=True)
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
