"""The trade-off curve: detection time against false ejections."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib as mpl
from matplotlib import figure as mpl_figure

from sardinepier.workbench.detection import records, tables

_KINDS: Final = (
    ('group', 'o-', 'the group, by its one setting'),
    ('alone', 's-', 'the same, each daemon alone'),
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
_SEEN_HALF: Final = 0.5
_SIZE_INCHES: Final = (8, 5)


def draw(done: Sequence[records.Record], path: pathlib.Path) -> None:
    """Draw the curve into an SVG file, the same bytes for the same records.

    A contender without any false ejection stands where half of one would
    put it, since no run can show a rate of zero.
    """
    mpl.rcParams['svg.hashsalt'] = 'sardinepier'
    figure = mpl_figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes: Any = figure.subplots()
    for kind, style, label in _KINDS:
        points = sorted(
            _point(done, name)
            for name in dict.fromkeys(one.contender for one in done)
            if name.split()[0] == kind
        )
        if points:
            rates, times_s = zip(*points, strict=True)
            axes.plot(rates, times_s, style, label=label)
    for name, user in _USERS:
        if any(one.contender == name for one in done):
            axes.annotate(
                user,
                _point(done, name),
                textcoords='offset points',
                xytext=(6, 8),
            )
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xlabel('false ejections per target and day, as measured')
    axes.set_ylabel('mean time to the last new work in s (30 at most)')
    axes.grid(visible=True, which='major', alpha=_GRID_ALPHA)
    axes.legend()
    figure.savefig(path, format='svg', metadata={'Date': None})


def _point(done: Sequence[records.Record], name: str) -> tuple[float, float]:
    own = [one for one in done if one.contender == name]
    false_count = sum(one.false_ejections for one in own)
    days = sum(one.target_days for one in own)
    rate = max(false_count, _SEEN_HALF) / days
    return rate, tables.mean_detection_s(own)
