"""Tests of the SLO recorder and of the burn report."""

import json
import random

import pytest

from jayshore.report.burn import SloObjective, compute_burn
from jayshore.report.render import plot_burn, render_json, render_table
from jayshore.report.samples import Sample, SloSnapshot, merge_snapshots
from jayshore.report.slo import LONG_BUCKET_MS, SloRecorder

MINUTE = 60_000
HOUR = 60 * MINUTE
NOW = 20_000 * 24 * HOUR + 12_345


def sample(*, minutes_ago, total, good, team='ridge'):
    """Return a sample of 10 s that ended `minutes_ago`."""
    return Sample(
        start_ms=NOW - minutes_ago * MINUTE - 10_000,
        length_ms=10_000,
        team=team,
        work='batch',
        total=total,
        good=good,
    )


def burn_row(*samples, objective=0.99):
    """Compute a report with one objective and return its row."""
    report = compute_burn(
        snapshot=SloSnapshot(samples=samples),
        objectives=[
            SloObjective(team='ridge', work='batch', objective=objective)
        ],
        now=NOW,
    )
    return report.rows[0]


@pytest.mark.parametrize(
    ('ages', 'rates'),
    [
        ((0,), (50, 50, 50, 50)),
        ((4, 20), (50, 50, 50, 50)),
        ((20,), (0, 50, 50, 50)),
        ((45,), (0, 50, 0, 50)),
        ((200,), (0, 0, 0, 50)),
        ((400,), (0, 0, 0, 0)),
    ],
)
def test_windows(ages, rates):
    """Guards against an event that counts in the wrong window."""
    row = burn_row(*(sample(minutes_ago=age, total=2, good=1) for age in ages))
    windows = (row.fast.short, row.fast.long, row.slow.short, row.slow.long)
    assert [window.rate for window in windows] == pytest.approx(rates)


@pytest.mark.parametrize(
    ('recent_good', 'old_good', 'fast', 'slow'),
    [
        (100, 100, False, False),
        (80, 80, True, True),
        (100, 80, False, False),
        (80, 100, False, False),
        (90, 90, False, True),
    ],
)
def test_alert_needs_both_windows(recent_good, old_good, fast, slow):
    """Guards against an alert on a fault that is over or has just begun."""
    row = burn_row(
        sample(minutes_ago=1, total=100, good=recent_good),
        sample(minutes_ago=50, total=900, good=old_good * 9),
    )
    assert (row.fast.is_firing, row.slow.is_firing) == (fast, slow)


def test_budget_left():
    """Guards against a budget left that is wrong or never below zero."""
    good = sample(minutes_ago=1, total=100, good=100)
    assert burn_row().budget_left == 1
    assert burn_row(good).budget_left == 1
    half = sample(minutes_ago=1, total=200, good=199)
    assert burn_row(half).budget_left == pytest.approx(0.5)
    spent = sample(minutes_ago=1, total=100, good=97)
    assert burn_row(spent).budget_left == pytest.approx(-2)


def test_recorder_loses_no_event_of_six_hours():
    """Guards against an overlap or a gap between short and long buckets."""
    rng = random.Random(7)
    recorder = SloRecorder()
    start = NOW - 9 * HOUR
    instants = sorted(rng.randrange(start, NOW) for _ in range(20_000))
    for instant in instants:
        recorder.record(team='a', work='batch', is_good=True, now=instant)
    samples = recorder.snapshot(now=NOW).samples
    oldest = NOW - 6 * HOUR
    oldest -= oldest % LONG_BUCKET_MS
    kept = sum(part.total for part in samples)
    assert kept == sum(instant >= oldest for instant in instants)
    assert kept == sum(part.good for part in samples)
    for left, right in zip(samples, samples[1:], strict=False):
        assert left.end_ms <= right.start_ms


def test_recorder_survives_a_clock_set_back():
    """Guards against an event lost when the wall clock is corrected."""
    recorder = SloRecorder()
    for instant in (NOW, NOW - 30_000, NOW):
        recorder.record(team='a', work='batch', is_good=False, now=instant)
    samples = recorder.snapshot(now=NOW).samples
    assert [part.total for part in samples] == [1, 2]


def test_idle_series_is_dropped():
    """Guards against memory that is never freed after a team is deleted."""
    recorder = SloRecorder()
    recorder.record(team='a', work='batch', is_good=True, now=NOW)
    assert recorder.snapshot(now=NOW + 7 * HOUR) == SloSnapshot()
    assert recorder.snapshot(now=NOW) == SloSnapshot()


def test_merge_adds_up_daemons():
    """Guards against a daemon whose counts replace those of another."""
    one = SloSnapshot(samples=(sample(minutes_ago=1, total=3, good=2),))
    other = SloSnapshot(
        samples=(
            sample(minutes_ago=1, total=4, good=4),
            sample(minutes_ago=2, total=1, good=0),
        )
    )
    merged = merge_snapshots([one, other])
    assert [(part.total, part.good) for part in merged.samples] == [
        (1, 0),
        (7, 6),
    ]


def test_renderings(tmp_path):
    """Guards against a rendering that drops a row or fails without rows."""
    report = compute_burn(
        snapshot=SloSnapshot(
            samples=(sample(minutes_ago=1, total=10, good=5),)
        ),
        objectives=[
            SloObjective(team='delta', work='batch', objective=0.9),
            SloObjective(team='ridge', work='batch', objective=0.99),
        ],
        now=NOW,
    )
    lines = render_table(report).splitlines()
    assert lines[1].split() == [
        *('ridge', 'batch', '0.99', '50.00', '50.00', '50.00', '50.00'),
        *('-4900.0%', 'fast,slow'),
    ]
    assert lines[2].split()[0] == 'delta'
    assert json.loads(render_json(report))['rows'][0]['team'] == 'ridge'
    for index, shown in enumerate(
        [report, compute_burn(snapshot=SloSnapshot(), objectives=[], now=NOW)]
    ):
        path = tmp_path / f'{index}.svg'
        plot_burn(shown, path)
        assert path.stat().st_size > 0
