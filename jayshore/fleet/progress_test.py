"""Tests of detecting stalled and slow runs."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId
from jayshore.fleet.progress import Pace, ProgressSample, ProgressTracker

TASK = TaskId('j', 0, 0, 0)
ESTIMATE = Millis(2000)


def run_samples(percents, step_ms=500, *, gang=False, runs=None, moves=0):
    """Report a run every `step_ms` and return the last finding."""
    tracker = ProgressTracker()
    found = []
    for number, percent in enumerate(percents):
        run = runs[number] if runs else 1
        sample = ProgressSample(
            task=TASK,
            run=run,
            percent=percent,
            estimate_ms=ESTIMATE,
            gang=gang,
            moves=moves,
        )
        found = tracker.update([sample], Millis(number * step_ms))
    return found


CASES = (
    ('as expected', (0, 25, 50, 75), {}, []),
    ('twice as long', (0, 12, 25, 37, 50), {}, []),
    ('six times as long', (0, 4, 8, 12, 16), {}, [(TASK, Pace.SLOW)]),
    ('slow and nearly done', (80, 84, 88, 92, 96), {}, []),
    ('stands still', (30, 30, 30, 30), {}, [(TASK, Pace.STALLED)]),
    ('stood still', (30, 30, 30, 60), {}, []),
    ('a slow gang', (0, 4, 8, 12, 16), {'gang': True}, []),
    ('a gang waits', (0, 0, 0, 0), {'gang': True}, []),
    ('a gang stands still', (9, 9, 9, 9, 9, 9), {'gang': True},
     [(TASK, Pace.STALLED)]),
    ('a member of a gang is done', (60, 100, 100, 100, 100, 100, 100),
     {'gang': True}, []),
    ('done and does not end', (60, 100, 100, 100, 100), {},
     [(TASK, Pace.STALLED)]),
    ('slow everywhere', (0, 4, 8, 12, 16), {'moves': 1}, []),
    ('stands still elsewhere', (30, 30, 30, 30), {'moves': 1},
     [(TASK, Pace.STALLED)]),
    ('stands still everywhere', (30, 30, 30, 30), {'moves': 3}, []),
    ('a worker is silent for a while', (30, 30), {'step_ms': 1501}, []),
    ('a worker is often silent', (30, 30, 30, 30), {'step_ms': 1501}, []),
    ('another run', (30, 30, 30, 0), {'runs': (1, 1, 1, 2)}, []),
)  # fmt: skip


@pytest.mark.parametrize(
    ('percents', 'fields', 'found'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_pace_of_a_run(percents, fields, found):
    """Guards against runs left on a hanging worker, and needless moves."""
    assert run_samples(percents, **fields) == found
