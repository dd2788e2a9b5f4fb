"""One picture of a day, from the lines of all its processes."""

import collections
import datetime
from collections.abc import Iterable, Sequence
from typing import Final

import matplotlib as mpl
from matplotlib import axes, figure
from sardinepier.cli import errors
from sardinepier.cli.from_files import log_files

_WIDTH_INCH: Final = 11.0
_HEIGHT_INCH: Final = 8.0
_BIN_S: Final = 1.0
_LONGEST_BINS: Final = 3600
"""A picture is a few thousand pixels wide; longer days get wider bins."""

_ENDS: Final = 'request-ended'
_ATTEMPTS: Final = ('request-sent', 'attempt-failed')
_MOMENTS: Final = (
    'started',
    'stopping',
    'stopped',
    'carrier-changed',
    'zone-handed-over',
    'targets-changed',
    'configuration-in-force',
    'platform-lost',
    'platform-regained',
)


def draw(lines: Sequence[log_files.LogLine], path: str) -> None:
    """Write the picture to ``path``, in the format that its ending names.

    Raises ``UsageError`` without lines, and when the file can't be written.
    """
    if not lines:
        raise errors.UsageError(
            'The files have no line of a daemon',
            'Name the logs of at least one process',
        )
    mpl.use('agg')
    picture = figure.Figure(figsize=(_WIDTH_INCH, _HEIGHT_INCH))
    upper, middle, lower = picture.subplots(3, 1, sharex=True)
    day = _Day(lines)
    _counts(upper, day, _of_attempts(lines), 'attempts a second')
    _counts(middle, day, _of_ends(lines), 'requests a second')
    _moments(lower, day)
    lower.set_xlabel('seconds')
    picture.tight_layout()
    try:
        picture.savefig(path)
    except (OSError, ValueError) as problem:
        raise errors.UsageError(
            f'The picture {path} cannot be written ({problem})',
            'Name a file that ends with .png or .svg in a folder that exists',
        ) from problem


class _Day:
    """The span of the lines, cut in bins."""

    def __init__(self, lines: Sequence[log_files.LogLine]) -> None:
        self.lines = lines
        self._began = lines[0].time
        self.length_s = (lines[-1].time - self._began).total_seconds()
        self.bin_s = max(_BIN_S, self.length_s / _LONGEST_BINS)
        self.bins = int(self.length_s / self.bin_s) + 1

    def second(self, moment: datetime.datetime) -> float:
        return (moment - self._began).total_seconds()

    def place(self, moment: datetime.datetime) -> int:
        return min(self.bins - 1, int(self.second(moment) / self.bin_s))


_Named = Iterable[tuple[str, log_files.LogLine]]


def _of_attempts(lines: Iterable[log_files.LogLine]) -> _Named:
    return ((one.event, one) for one in lines if one.event in _ATTEMPTS)


def _of_ends(lines: Iterable[log_files.LogLine]) -> _Named:
    return (
        (str(one.fields.get('outcome', 'unknown')), one)
        for one in lines
        if one.event == _ENDS
    )


def _counts(
    axis: axes.Axes,
    day: _Day,
    named: _Named,
    title: str,
) -> None:
    """Draw a curve for each name: how many lines a second."""
    counted: dict[str, collections.Counter[int]] = {}
    for name, line in named:
        found = counted.setdefault(name, collections.Counter())
        found[day.place(line.time)] += 1
    seconds = [place * day.bin_s for place in range(day.bins)]
    for name in sorted(counted):
        a_second = [
            counted[name][place] / day.bin_s for place in range(day.bins)
        ]
        axis.plot(seconds, a_second, label=name)
    axis.set_ylabel(title)
    if counted:
        axis.legend(loc='upper right', fontsize='small')


def _moments(axis: axes.Axes, day: _Day) -> None:
    """Draw a dot for each event that changes what a daemon does."""
    for height, event in enumerate(_MOMENTS):
        seconds = [
            day.second(line.time) for line in day.lines if line.event == event
        ]
        heights = [height for _ in seconds]
        axis.plot(seconds, heights, '|', markersize=10)
    axis.set_yticks(range(len(_MOMENTS)), _MOMENTS)
