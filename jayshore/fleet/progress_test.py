"""Tests of detecting stalled and slow runs."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId
from jayshore.fleet.progress import Pace, ProgressSample, ProgressTracker
from jayshore.fleet.speeds import Verdict

TASK = TaskId('j', 0, 0, 0)
ESTIMATE = Millis(2000)


def run_samples(
    percents, step_ms=500, *, gang=False, runs=None, moves=0, slow=True
):
    """Report a run every `step_ms` and return the last finding.

    By default the worker is slow, so that nothing else keeps a run there.
    """
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
        tracker.update([sample], Millis(number * step_ms))
        found = tracker.judge(Millis(number * step_ms), Verdict(slow))
    return found


LONG = (0, 4, 8, 12, 16)


CASES = (
    ('as expected', (0, 25, 50, 75), {}, []),
    ('twice as long', (0, 12, 25, 37, 50), {}, []),
    ('six times as long', (0, 4, 8, 12, 16), {}, [(TASK, Pace.SLOW)]),
    ('three times as long', (0, 8, 16, 24, 32), {}, [(TASK, Pace.SLOW)]),
    ('three times as long, sound worker', (0, 8, 16, 24, 32), {'slow': False},
     []),
    ('a long task on a sound worker', LONG[:4], {'slow': False},
     [(TASK, Pace.LONG)]),
    ('a long task is reported once', LONG, {'slow': False}, []),
    ('stands still on a sound worker', (30, 30, 30, 30), {'slow': False},
     [(TASK, Pace.STALLED)]),
    ('turned slow', (0, 25, 50, 53, 56), {}, [(TASK, Pace.SLOW)]),
    ('turned slow and nearly done', (0, 45, 90, 92, 94), {}, []),
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


def test_progress_is_measured_in_steps():
    """Guards against reports in quick succession that show no progress.

    Progress is in whole percent, so a run seems to stand still between them.
    """
    tracker = ProgressTracker()
    advances = []
    for number in range(41):
        sample = ProgressSample(
            task=TASK,
            run=1,
            percent=number * 25 // 20,
            estimate_ms=ESTIMATE,
            gang=False,
        )
        advances += tracker.update([sample], Millis(number * 25))
    assert [advance.took_ms for advance in advances] == [500, 500]
    assert [advance.pace for advance in advances] == [1.0, 1.0]


ENDS = (
    ('as estimated', 1, 2000, 1.0),
    ('slower', 1, 2250, 0.8),
    ('another run', 2, 2000, None),
    ('its end may be reported late', 1, 2501, None),
)


@pytest.mark.parametrize(
    ('run', 'now', 'pace'),
    [row[1:] for row in ENDS],
    ids=[row[0] for row in ENDS],
)
def test_pace_of_an_ended_run(run, now, pace):
    """Guards against speeds that are learned from a wrong duration."""
    tracker = ProgressTracker()
    half = ProgressSample(
        task=TASK, run=1, percent=50, estimate_ms=ESTIMATE, gang=False
    )
    tracker.update([half], Millis(1000))
    ended = tracker.end(TASK, run, Millis(now))
    assert (ended and ended.whole.pace) == pace
