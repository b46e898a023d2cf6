"""Burn rates of error budgets over several windows.

Source: The Site Reliability Workbook (Google, O'Reilly 2018), chapter 5,
"Alerting on SLOs", section 6, "Multiwindow, Multi-Burn-Rate Alerts". With
objective `o`, the burn rate of a window is `(bad / total) / (1 - o)`. An alert
fires when the burn rates of both the long and the short window exceed the
threshold; the short window resets the alert soon after the fault ends. The
thresholds correspond to 2% of a 30-day budget spent in 1 h, and 5% in 6 h.
"""

import collections
import dataclasses
from collections.abc import Iterable

from jayshore.clock import Millis
from jayshore.report.samples import Sample, SloSnapshot

_MINUTE_MS = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlertRule:
    """Rule of an alert: a pair of windows with one threshold.

    Attributes:
        name: name of the alert.
        short_ms: length of the short window, in ms.
        long_ms: length of the long window, in ms.
        threshold: burn rate that both windows have to exceed.
    """

    name: str
    short_ms: Millis
    long_ms: Millis
    threshold: float


FAST = AlertRule(
    name='fast',
    short_ms=Millis(5 * _MINUTE_MS),
    long_ms=Millis(60 * _MINUTE_MS),
    threshold=14.4,
)
SLOW = AlertRule(
    name='slow',
    short_ms=Millis(30 * _MINUTE_MS),
    long_ms=Millis(360 * _MINUTE_MS),
    threshold=6,
)
BUDGET_WINDOW_MS = SLOW.long_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloObjective:
    """Objective of a team for one kind of work.

    Attributes:
        team: the team.
        work: the kind of work.
        objective: fraction of starts that have to meet their target for the
            waiting time, between 0 and 1.
    """

    team: str
    work: str
    objective: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WindowBurn:
    """Events and burn rate of one window.

    Attributes:
        window_ms: length of the window, in ms.
        total: number of events in it.
        good: number of good events in it.
        rate: burn rate; 1 spends the budget exactly at the end of its period.
    """

    window_ms: Millis
    total: int
    good: int
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlertBurn:
    """State of one alert.

    Attributes:
        rule: the windows and the threshold.
        short: burn rate of the short window.
        long: burn rate of the long window.
        is_firing: whether both burn rates exceed the threshold.
    """

    rule: AlertRule
    short: WindowBurn
    long: WindowBurn
    is_firing: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BurnRow:
    """Burn rates of one team and kind of work.

    Attributes:
        team: the team.
        work: the kind of work.
        objective: fraction of starts that have to be good.
        fast: alert over 5 min and 1 h.
        slow: alert over 30 min and 6 h.
        budget_left: fraction of the error budget of the last 6 h that is left;
            negative when overspent, 1 when nothing was started.
    """

    team: str
    work: str
    objective: float
    fast: AlertBurn
    slow: AlertBurn
    budget_left: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BurnReport:
    """Burn rates of all teams, ordered by the budget left, least first.

    Attributes:
        now_ms: end of all windows, in ms since the Unix epoch.
        rows: one row for each objective.
    """

    now_ms: Millis
    rows: tuple[BurnRow, ...]


def compute_burn(
    *,
    snapshot: SloSnapshot,
    objectives: Iterable[SloObjective],
    now: Millis,
) -> BurnReport:
    """Compute the burn rates of each objective.

    Args:
        snapshot: the merged samples of all daemons.
        objectives: the objectives of the teams; samples without an objective
            are ignored.
        now: end of all windows, in ms since the Unix epoch.

    Returns:
        The report.
    """
    series: dict[tuple[str, str], list[Sample]] = collections.defaultdict(list)
    for sample in snapshot.samples:
        series[sample.team, sample.work].append(sample)
    rows = [
        _compute_row(series[target.team, target.work], target, now)
        for target in objectives
    ]
    rows.sort(key=lambda row: (row.budget_left, row.team, row.work))
    return BurnReport(now_ms=now, rows=tuple(rows))


def _compute_row(
    samples: list[Sample], target: SloObjective, now: Millis
) -> BurnRow:
    fast = _compute_alert(samples, target.objective, FAST, now)
    slow = _compute_alert(samples, target.objective, SLOW, now)
    # The burn rate of a window is the spent fraction of the window's budget.
    return BurnRow(
        team=target.team,
        work=target.work,
        objective=target.objective,
        fast=fast,
        slow=slow,
        budget_left=1 - slow.long.rate,
    )


def _compute_alert(
    samples: list[Sample], objective: float, rule: AlertRule, now: Millis
) -> AlertBurn:
    short = _compute_window(samples, objective, rule.short_ms, now)
    long = _compute_window(samples, objective, rule.long_ms, now)
    return AlertBurn(
        rule=rule,
        short=short,
        long=long,
        is_firing=min(short.rate, long.rate) > rule.threshold,
    )


def _compute_window(
    samples: list[Sample], objective: float, window_ms: Millis, now: Millis
) -> WindowBurn:
    """Compute one window; an interval that overlaps it counts in full."""
    in_window = [
        sample
        for sample in samples
        if sample.end_ms > now - window_ms and sample.start_ms <= now
    ]
    total = sum(sample.total for sample in in_window)
    good = sum(sample.good for sample in in_window)
    bad_fraction = (total - good) / total if total else 0
    return WindowBurn(
        window_ms=window_ms,
        total=total,
        good=good,
        rate=bad_fraction / (1 - objective),
    )
