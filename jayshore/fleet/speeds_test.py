"""Tests of learning the speeds of workers."""

import random

import pytest

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId
from jayshore.fleet.progress import Pace, ProgressSample, ProgressTracker
from jayshore.fleet.speeds import (
    MIN_RUNS,
    RECENT_MS,
    SLOW_HELD_MS,
    Advance,
    WorkerSpeeds,
)

WORKERS = tuple(f'w{number}' for number in range(5))
REPORT_MS = 1000
STEP_MS = 20


def advance(pace, number=0, *, took_ms=1000, gang=False):
    """Make the progress of a run, by default over a second."""
    return Advance(
        task=TaskId(f'j{number}', 0, 0, 0),
        run=1,
        work_ms=pace * took_ms,
        took_ms=Millis(took_ms),
        gang=gang,
    )


def learned_speeds(paces=(1.0,) * len(WORKERS), runs=MIN_RUNS):
    """Build speeds from `runs` ended runs on each worker."""
    speeds = WorkerSpeeds()
    for name, pace in zip(WORKERS, paces, strict=True):
        speeds.begin(name, 1)
        for number in range(runs):
            speeds.note_end(name, advance(pace, number))
    speeds.judge('w0', Millis(0))
    return speeds


def test_speed_is_relative_to_the_median():
    """Guards against a fleet that counts as slow as a whole."""
    speeds = learned_speeds((0.2, 0.2, 0.2, 0.4, 0.1))
    assert [speeds.speed(name, 1) for name in WORKERS] == [1, 1, 1, 2, 0.5]
    assert speeds.range() == (0.1, 0.2, 0.4)


def test_few_runs_tell_nothing():
    """Guards against an order of workers by the noise of single runs."""
    speeds = learned_speeds((1, 1, 1, 1, 3), runs=MIN_RUNS - 1)
    assert {speeds.speed(name, 1) for name in WORKERS} == {1.0}
    assert speeds.range() is None


def test_single_odd_runs_do_not_change_a_speed():
    """Guards against a speed that one wrong estimate decides."""
    speeds = learned_speeds()
    for pace in (100, 0.01, 100):
        speeds.note_end('w0', advance(pace))
    assert speeds.speed('w0', 1) == 1.0


@pytest.mark.parametrize('change', ['begin', 'forget', 'registration'])
def test_speed_belongs_to_one_incarnation(change):
    """Guards against a replaced machine that is taken for its predecessor."""
    speeds = learned_speeds((1, 1, 1, 1, 3))
    assert speeds.speed('w4', 1) == 3.0
    if change == 'begin':
        speeds.begin('w4', 2)
    elif change == 'forget':
        speeds.forget('w4')
    assert speeds.speed('w4', 1 + (change == 'registration')) == 1.0


def test_early_ends_do_not_raise_the_median():
    """Guards against a new leader that takes most workers for slow.

    The first runs to end are those on the fastest workers.
    """
    speeds = WorkerSpeeds()
    for number in range(9):
        name = f'w{number}'
        speeds.begin(name, 1)
        for run in range(4):
            if number < 4:
                speeds.note_end(name, advance(3, run))
            speeds.note_progress(name, advance(3 if number < 4 else 1, run), 0)
    assert not speeds.judge('w8', Millis(1)).slow
    assert speeds.speed('w0', 1) == 1.0


def test_standing_runs_are_no_reference():
    """Guards against a division by a median of 0 while most runs stand."""
    speeds = learned_speeds()
    for worker in WORKERS[1:]:
        for number in range(4):
            speeds.note_progress(worker, advance(0, number), Millis(9000))
        speeds.judge(worker, Millis(9000))
    speeds.judge(WORKERS[0], Millis(9900))
    assert speeds.speed(WORKERS[0], 1) == 1


def test_slow_workers_count_for_the_median():
    """Guards against verdicts that raise the median, and so cause others."""
    speeds = learned_speeds((1, 1, 1, 3, 3))
    for name in ('w0', 'w1'):
        for number in range(3):
            speeds.note_progress(name, advance(0.2, number), Millis(1000))
        assert speeds.judge(name, Millis(1000)).slow
    speeds.judge('w2', Millis(2000))
    assert speeds.speed('w2', 1) == 1.0


VERDICTS = (
    ('all behind', [advance(0.2, number) for number in range(3)], True),
    ('one long task', [advance(0.2, 0), advance(1, 1), advance(1, 2)], False),
    ('too few runs', [advance(0.1, 0), advance(0.1, 0), advance(0.1, 1)],
     False),
    ('members of a gang wait for others',
     [advance(0.2, number, gang=True) for number in range(9)], False),
    ('a gang shows that the worker is sound',
     [*(advance(0.2, number) for number in range(3)),
      *(advance(1, 9, gang=True) for _ in range(2))], False),
    ('a slow gang shows nothing',
     [*(advance(0.2, number) for number in range(3)),
      *(advance(0.2, 9, gang=True) for _ in range(2))], True),
    ('weighed by time', [advance(0.2, 0, took_ms=3000),
     advance(0.2, 1, took_ms=3000),
     *(advance(1, number, took_ms=100) for number in range(2, 9))], True),
)  # fmt: skip


@pytest.mark.parametrize(
    ('advances', 'slow'),
    [row[1:] for row in VERDICTS],
    ids=[row[0] for row in VERDICTS],
)
def test_verdict_on_a_worker(advances, slow):
    """Guards against long tasks that count against their worker."""
    speeds = learned_speeds()
    for one in advances:
        speeds.note_progress('w0', one, Millis(1000))
    assert speeds.judge('w0', Millis(1000)).slow is slow


def test_slow_worker_is_tried_again():
    """Guards against a worker that is slow for ever, as nothing runs there."""
    speeds = learned_speeds()
    for number in range(3):
        speeds.note_progress('w0', advance(0.2, number), Millis(1000))
    verdict = speeds.judge('w0', Millis(1000))
    assert (verdict.slow, verdict.changed) == (True, True)
    assert speeds.speed('w0', 1) == pytest.approx(0.2)
    late = Millis(1000 + RECENT_MS)
    assert speeds.judge('w0', late).slow
    held = speeds.judge('w0', Millis(1000 + SLOW_HELD_MS))
    assert (held.slow, held.changed) == (False, True)
    assert speeds.speed('w0', 1) == 1.0


def test_recovered_worker_is_found():
    """Guards against runs that are moved off a worker that is fast again."""
    speeds = learned_speeds()
    for number in range(3):
        speeds.note_progress('w0', advance(0.2, number), Millis(1000))
    assert speeds.judge('w0', Millis(1000)).slow
    for number in range(4):
        speeds.note_progress('w0', advance(1, number), Millis(2000))
    assert not speeds.judge('w0', Millis(2000)).slow


class SimulatedFleet:
    """Workers with slots that are always full, on a clock of its own.

    Each worker reports its runs every second and at each end. The duration of
    a task is its estimate, off by up to nine tenths, and one task in thirty
    takes seven times as long.
    """

    def __init__(self, *, seed, workers=60, slots=3):
        self.rng = random.Random(seed)
        self.now = 0
        self.paces = [self.rng.choice((0.7, 0.7, 1.7)) for _ in range(workers)]
        self.speeds = WorkerSpeeds()
        self.trackers = [ProgressTracker() for _ in range(workers)]
        self.reported_at = [
            -self.rng.randrange(0, REPORT_MS, STEP_MS) for _ in range(workers)
        ]
        self.found = []
        self.runs = 0
        self._slots = slots
        self._active = [{} for _ in range(workers)]

    def advance(self, until):
        """Run until a time; `found` collects worker, pace and time."""
        while self.now < until:
            self.now += STEP_MS
            for number in range(len(self.paces)):
                self._advance_worker(number)

    def _advance_worker(self, number):
        active = self._active[number]
        while len(active) < self._slots:
            self.runs += 1
            active[TaskId(f'{self.runs}', 0, 0, 0)] = self._task()
        ended = []
        for name, task in active.items():
            task['done'] += STEP_MS * self.paces[number] / task['whole']
            if task['done'] >= 1:
                ended.append(name)
        due = self.now - self.reported_at[number] >= REPORT_MS
        if ended or due:
            self.reported_at[number] = self.now
            self._report(number, active, ended)

    def _task(self):
        estimate = self.rng.choice((540, 2900, 2900))
        off = self.rng.uniform(-0.9, 0.9)
        whole = estimate / (1 + off) if estimate == 540 else estimate
        return {
            'estimate': estimate,
            'whole': whole * (7 if self.rng.random() < 1 / 30 else 1),
            'done': 0,
            'since': self.now,
        }

    def _report(self, number, active, ended):
        now = Millis(self.now)
        worker = f'w{number}'
        tracker = self.trackers[number]
        self.speeds.begin(worker, 1)
        for name in ended:
            task = active.pop(name)
            end = tracker.end(name, 1, now)
            whole = Advance(
                name, 1, task['estimate'], now - task['since'], False
            )
            self.speeds.note_progress(worker, end.last if end else whole, now)
            self.speeds.note_end(worker, end.whole if end else whole)
        samples = [
            ProgressSample(
                task=name,
                run=1,
                percent=int(100 * task['done']),
                estimate_ms=Millis(task['estimate']),
                gang=False,
            )
            for name, task in active.items()
        ]
        for one in tracker.update(samples, now):
            self.speeds.note_progress(worker, one, now)
        verdict = self.speeds.judge(worker, now)
        for name, pace in tracker.judge(now, verdict):
            self.found.append((number, pace, self.now))
            if pace is Pace.SLOW:
                active.pop(name)

    def count(self, pace):
        """Count the findings of a pace."""
        return sum(finding[1] is pace for finding in self.found)

    def turn_slow(self, number, factor):
        """Let all runs on a worker take longer from now on."""
        self.paces[number] /= factor


@pytest.mark.parametrize('seed', range(4))
def test_long_tasks_are_not_stopped(seed):
    """Guards against stopping runs in vain, whose work is lost.

    All runs that are found here were stopped when a run was judged alone.
    """
    fleet = SimulatedFleet(seed=seed)
    fleet.advance(30_000)
    kept = fleet.count(Pace.LONG)
    assert kept > 50
    assert fleet.count(Pace.SLOW) <= 0.15 * kept


@pytest.mark.parametrize('factor', [4, 6, 8])
def test_worker_that_turns_slow_is_found_within_seconds(factor):
    """Guards against runs that stay on a slow worker, as if they were long."""
    fleet = SimulatedFleet(seed=factor)
    fleet.advance(15_000)
    usual = [number for number, pace in enumerate(fleet.paces) if pace == 0.7][
        :10
    ]
    for number in usual:
        fleet.turn_slow(number, factor)
    fleet.advance(fleet.now + 6000)
    slow = [
        fleet.speeds.judge(f'w{number}', Millis(fleet.now)).slow
        for number in usual
    ]
    assert all(slow)
