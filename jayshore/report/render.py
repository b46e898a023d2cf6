"""Renders the burn report as a text table, as JSON and as a plot."""

import pathlib

import msgspec

from jayshore.report.burn import FAST, SLOW, BurnReport, BurnRow

_HEADINGS = (
    'team',
    'work',
    'objective',
    '5 min',
    '1 h',
    '30 min',
    '6 h',
    'budget left',
    'alerts',
)
_TEXT_COLUMNS = 2
_MAX_PLOTTED_ROWS = 20
_PLOT_INCHES = (10, 6)


def render_table(report: BurnReport) -> str:
    """Format the report as a text table.

    Args:
        report: the report.

    Returns:
        Aligned lines with a heading; a burn rate of 1 spends the error budget
        exactly at the end of its period.
    """
    lines = [list(_HEADINGS), *(_format_cells(row) for row in report.rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_format_line(cells, widths) for cells in lines)


def render_json(report: BurnReport) -> bytes:
    """Format the report as JSON.

    Args:
        report: the report.

    Returns:
        UTF-8 text with the fields of BurnReport.
    """
    return msgspec.json.encode(report)


def plot_burn(report: BurnReport, path: pathlib.Path) -> None:
    """Draw the rows with the least budget left as a bar chart.

    Needs matplotlib, from the extra `plot`.

    Args:
        report: the report.
        path: output file; the suffix (.png, .svg) selects the format.
    """
    # Imported here because matplotlib is an optional dependency.
    from matplotlib.figure import Figure

    rows = report.rows[:_MAX_PLOTTED_ROWS]
    figure = Figure(figsize=_PLOT_INCHES, layout='constrained')
    axes = figure.subplots()
    positions = range(len(rows))
    for offset, rule in ((-0.2, FAST), (0.2, SLOW)):
        rates = [getattr(row, rule.name).long.rate for row in rows]
        bars = axes.barh(
            [index + offset for index in positions],
            rates,
            height=0.4,
            label=f'{rule.name}: {_whole_hours(rule.long_ms)} h',
        )
        axes.axvline(
            rule.threshold,
            color=bars.patches[0].get_facecolor() if rows else 'grey',
            linestyle='--',
            label=f'{rule.name}: threshold {rule.threshold:g}',
        )
    axes.set_yticks(positions, [f'{row.team} {row.work}' for row in rows])
    axes.invert_yaxis()
    axes.set_xlabel('burn rate')
    axes.legend()
    figure.savefig(path)


def _whole_hours(duration_ms: int) -> int:
    return duration_ms // 3_600_000


def _format_cells(row: BurnRow) -> list[str]:
    firing = [
        alert.rule.name for alert in (row.fast, row.slow) if alert.is_firing
    ]
    return [
        row.team,
        row.work,
        f'{row.objective:.4g}',
        f'{row.fast.short.rate:.2f}',
        f'{row.fast.long.rate:.2f}',
        f'{row.slow.short.rate:.2f}',
        f'{row.slow.long.rate:.2f}',
        f'{row.budget_left:.1%}',
        ','.join(firing) or '-',
    ]


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = [
        cell.ljust(width) if index < _TEXT_COLUMNS else cell.rjust(width)
        for index, (cell, width) in enumerate(zip(cells, widths, strict=True))
    ]
    return '  '.join(padded).rstrip()
