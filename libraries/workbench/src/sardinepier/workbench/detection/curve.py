"""The trade-off curve: detection time against false ejections."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib as mpl
from matplotlib import figure as mpl_figure

from sardinepier.workbench.detection import records, tables

_KINDS: Final = (
    ('group', 'o-', 'library, by its setting'),
    ('alone', 's-', 'library without reports'),
    ('consecutive', 'x', 'consecutive errors'),
    ('rate', '+', 'error rate'),
    ('p50', '^', 'median latency over the mean'),
    ('p90', 'v', 'p90 latency over the mean'),
)
_USERS: Final = (
    ('group 0.01/day', 'Red Tesis'),
    ('group 1/day', 'Kloofnek'),
)
_GRID_ALPHA: Final = 0.3
_MIN_FALSE_COUNT: Final = 0.5
_SIZE_INCHES: Final = (8, 5)


def draw(all_records: Sequence[records.Record], path: pathlib.Path) -> None:
    """Draw the curve into an SVG file, the same bytes for the same records.

    A contender without any false ejection is drawn as if it had half of one,
    since the logarithmic axis has no zero and no run can show a rate of zero.
    """
    mpl.rcParams['svg.hashsalt'] = 'sardinepier'
    figure = mpl_figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes: Any = figure.subplots()
    for kind, style, label in _KINDS:
        points = sorted(
            _point(all_records, name)
            for name in dict.fromkeys(
                record.contender for record in all_records
            )
            if name.split()[0] == kind
        )
        if points:
            rates, times_s = zip(*points, strict=True)
            axes.plot(rates, times_s, style, label=label)
    for name, user in _USERS:
        if any(record.contender == name for record in all_records):
            axes.annotate(
                user,
                _point(all_records, name),
                textcoords='offset points',
                xytext=(6, 8),
            )
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xlabel('false ejections per target and day, as measured')
    axes.set_ylabel('mean time to the last attempt in s (30 at most)')
    axes.grid(visible=True, which='major', alpha=_GRID_ALPHA)
    axes.legend()
    figure.savefig(path, format='svg', metadata={'Date': None})


def _point(
    all_records: Sequence[records.Record], name: str
) -> tuple[float, float]:
    own_records = [record for record in all_records if record.contender == name]
    false_count = sum(record.false_ejections for record in own_records)
    days = sum(record.target_days for record in own_records)
    rate = max(false_count, _MIN_FALSE_COUNT) / days
    return rate, tables.mean_detection_s(own_records)
