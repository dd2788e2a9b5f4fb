"""Plots request rates and state events from log lines."""

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
_MAX_BINS: Final = 3600
"""A picture is a few thousand pixels wide; longer spans get wider bins."""

_REQUEST_ENDED: Final = 'request-ended'
_ATTEMPT_EVENTS: Final = ('request-sent', 'attempt-failed')
_STATE_EVENTS: Final = (
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
    """Write the picture to ``path``, in the format of its file extension.

    Raises ``UsageError`` without lines, or when the file can't be written.
    """
    if not lines:
        raise errors.UsageError(
            'The files have no line of a daemon',
            'Name the logs of at least one process',
        )
    mpl.use('agg')
    picture = figure.Figure(figsize=(_WIDTH_INCH, _HEIGHT_INCH))
    upper, middle, lower = picture.subplots(3, 1, sharex=True)
    span = _TimeSpan(lines)
    _plot_rates(upper, span, _attempt_lines(lines), 'attempts a second')
    _plot_rates(middle, span, _outcome_lines(lines), 'requests a second')
    _plot_state_events(lower, span)
    lower.set_xlabel('seconds')
    picture.tight_layout()
    try:
        picture.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.UsageError(
            f'The picture {path} cannot be written ({error})',
            'Name a file that ends with .png or .svg in a folder that exists',
        ) from error


class _TimeSpan:
    """The time span of the lines, divided into bins."""

    def __init__(self, lines: Sequence[log_files.LogLine]) -> None:
        self.lines = lines
        self._start = lines[0].time
        self.length_s = (lines[-1].time - self._start).total_seconds()
        self.bin_s = max(_BIN_S, self.length_s / _MAX_BINS)
        self.bins = int(self.length_s / self.bin_s) + 1

    def seconds_from_start(self, moment: datetime.datetime) -> float:
        return (moment - self._start).total_seconds()

    def bin_of(self, moment: datetime.datetime) -> int:
        return min(
            self.bins - 1, int(self.seconds_from_start(moment) / self.bin_s)
        )


_NamedLines = Iterable[tuple[str, log_files.LogLine]]


def _attempt_lines(lines: Iterable[log_files.LogLine]) -> _NamedLines:
    return (
        (line.event, line) for line in lines if line.event in _ATTEMPT_EVENTS
    )


def _outcome_lines(lines: Iterable[log_files.LogLine]) -> _NamedLines:
    return (
        (str(line.fields.get('outcome', 'unknown')), line)
        for line in lines
        if line.event == _REQUEST_ENDED
    )


def _plot_rates(
    axis: axes.Axes,
    span: _TimeSpan,
    named_lines: _NamedLines,
    title: str,
) -> None:
    """Plot the number of lines a second, a curve for each name."""
    counts: dict[str, collections.Counter[int]] = {}
    for name, line in named_lines:
        counter = counts.setdefault(name, collections.Counter())
        counter[span.bin_of(line.time)] += 1
    seconds = [index * span.bin_s for index in range(span.bins)]
    for name in sorted(counts):
        rates_per_s = [
            counts[name][index] / span.bin_s for index in range(span.bins)
        ]
        axis.plot(seconds, rates_per_s, label=name)
    axis.set_ylabel(title)
    if counts:
        axis.legend(loc='upper right', fontsize='small')


def _plot_state_events(axis: axes.Axes, span: _TimeSpan) -> None:
    """Plot a mark for each event that changes the state of a daemon."""
    for height, event in enumerate(_STATE_EVENTS):
        seconds = [
            span.seconds_from_start(line.time)
            for line in span.lines
            if line.event == event
        ]
        heights = [height for _ in seconds]
        axis.plot(seconds, heights, '|', markersize=10)
    axis.set_yticks(range(len(_STATE_EVENTS)), _STATE_EVENTS)
