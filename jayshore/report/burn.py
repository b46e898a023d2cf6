"""Burn rates of error budgets over several windows.

Source: The Site Reliability Workbook (Google, O'Reilly 2018), chapter 5,
"Alerting on SLOs", section 6, "Multiwindow, Multi-Burn-Rate Alerts". With
objective `o`, the burn rate of a window is `(bad / total) / (1 - o)`. An alert
fires when both the long and the short window burn faster than the threshold;
the short window ends the alert soon after the fault. The thresholds correspond
to 2% of a 30-day budget spent in 1 h, and 5% in 6 h.
"""

import collections
import dataclasses
from collections.abc import Iterable

from jayshore.clock import Millis
from jayshore.report.samples import Sample, SloSnapshot

_MINUTE_MS = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlertRule:
    """A pair of windows with one threshold.

    Attributes:
        name: name of the alert.
        short_ms: length of the short window.
        long_ms: length of the long window.
        threshold: burn rate that both have to exceed.
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
    """What a team was promised for one kind of work.

    Attributes:
        team: the team.
        work: the kind of work.
        objective: fraction of starts that have to be good, between 0 and 1.
    """

    team: str
    work: str
    objective: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WindowBurn:
    """The burn in one window.

    Attributes:
        window_ms: length of the window.
        total: all events in it.
        good: good events in it.
        rate: burn rate; 1 spends the budget exactly at the end of its period.
    """

    window_ms: Millis
    total: int
    good: int
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlertBurn:
    """The state of one alert.

    Attributes:
        rule: the windows and the threshold.
        short: burn in the short window.
        long: burn in the long window.
        is_firing: whether both exceed the threshold.
    """

    rule: AlertRule
    short: WindowBurn
    long: WindowBurn
    is_firing: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BurnRow:
    """The burn of one team and kind of work.

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
    """The burn of all teams, the least budget first.

    Attributes:
        now_ms: end of all windows, in ms since the Unix epoch.
        rows: one for each objective.
    """

    now_ms: Millis
    rows: tuple[BurnRow, ...]


def compute_burn(
    *,
    snapshot: SloSnapshot,
    objectives: Iterable[SloObjective],
    now: Millis,
) -> BurnReport:
    """Compute the burn of each objective.

    Args:
        snapshot: the merged samples of all daemons.
        objectives: the targets of the teams; samples without one are ignored.
        now: end of all windows, in ms since the Unix epoch.

    Returns:
        The report.
    """
    series: dict[tuple[str, str], list[Sample]] = collections.defaultdict(list)
    for sample in snapshot.samples:
        series[sample.team, sample.work].append(sample)
    rows = [
        _row(series[target.team, target.work], target, now)
        for target in objectives
    ]
    rows.sort(key=lambda row: (row.budget_left, row.team, row.work))
    return BurnReport(now_ms=now, rows=tuple(rows))


def _row(samples: list[Sample], target: SloObjective, now: Millis) -> BurnRow:
    fast = _alert(samples, target.objective, FAST, now)
    slow = _alert(samples, target.objective, SLOW, now)
    # The rate in the window is the fraction of the window's own budget spent.
    return BurnRow(
        team=target.team,
        work=target.work,
        objective=target.objective,
        fast=fast,
        slow=slow,
        budget_left=1 - slow.long.rate,
    )


def _alert(
    samples: list[Sample], objective: float, rule: AlertRule, now: Millis
) -> AlertBurn:
    short = _burn(samples, objective, rule.short_ms, now)
    long = _burn(samples, objective, rule.long_ms, now)
    return AlertBurn(
        rule=rule,
        short=short,
        long=long,
        is_firing=min(short.rate, long.rate) > rule.threshold,
    )


def _burn(
    samples: list[Sample], objective: float, window_ms: Millis, now: Millis
) -> WindowBurn:
    """Compute one window; an interval that lies partly in it counts whole."""
    inside = [
        sample
        for sample in samples
        if sample.end_ms > now - window_ms and sample.start_ms <= now
    ]
    total = sum(sample.total for sample in inside)
    good = sum(sample.good for sample in inside)
    bad_fraction = (total - good) / total if total else 0
    return WindowBurn(
        window_ms=window_ms,
        total=total,
        good=good,
        rate=bad_fraction / (1 - objective),
    )
