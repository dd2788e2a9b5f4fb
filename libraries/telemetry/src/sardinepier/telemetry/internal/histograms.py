"""Our one use of the HdrHistogram library: fixed range, typed errors."""

import bisect
import itertools
import struct
import zlib
from collections.abc import Sequence
from typing import Final

from hdrh import codec
from hdrh import histogram as hdr_histogram
from sardinepier.telemetry import errors

_SCALE: Final = 1000
_HIGHEST: Final = 3_600_000
_SIGNIFICANT_DIGITS: Final = 2
# Three digits would cost seven times the memory.
_NARROW_BYTES: Final = 4
_WIDE_BYTES: Final = 8
_UNREADABLE: Final = (
    ValueError,
    TypeError,
    IndexError,
    struct.error,
    zlib.error,
    codec.HdrCookieException,
    codec.HdrLengthException,
    codec.HdrHistogramSettingsException,
)


class Recorder:
    """A histogram of values in thousandths of their unit.

    The counts of one process fit into four bytes for a year and more. The
    sum over a large fleet does not, so a ``wide`` one has eight.
    """

    __slots__ = ('_add', '_histogram')

    def __init__(self, *, wide: bool = False) -> None:
        """Start empty."""
        self._histogram = hdr_histogram.HdrHistogram(
            1,
            _HIGHEST * _SCALE,
            _SIGNIFICANT_DIGITS,
            word_size=_WIDE_BYTES if wide else _NARROW_BYTES,
        )
        self._add = self._histogram.record_value

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return int(self._histogram.get_total_count())

    @property
    def highest(self) -> float:
        """Return the highest value recorded, or zero."""
        return float(self._histogram.get_max_value() / _SCALE)

    def record(self, value: float) -> None:
        """Add one value, held within the range; not-a-number counts as 0."""
        if value > _HIGHEST:
            value = _HIGHEST
        # Not `value < 0`, which is false for not-a-number.
        elif not value >= 0:  # noqa: WPS508 (the comparison is not inverted)
            value = 0
        self._add(int(value * _SCALE))

    def quantile(self, percent: float) -> float:
        """Return the value at ``percent`` of the values, or zero."""
        return self.quantiles(percent)[0]

    def quantiles(self, *percents: float) -> tuple[float, ...]:
        """Return the values at each of ``percents``, or zeros."""
        if not self.count:
            return (0.0,) * len(percents)
        # The library's own search walks over the counts one by one in Python.
        histogram = self._histogram
        end = histogram.get_counts_array_index(histogram.max_value) + 1
        running = list(itertools.accumulate(histogram.counts[:end]))
        return tuple(self._at(running, percent) for percent in percents)

    def encode(self) -> str:
        """Return the compressed text form."""
        return bytes(self._histogram.encode()).decode('ascii')

    def add(self, encoded: str) -> None:
        """Add all values of an encoded histogram.

        Raises :class:`errors.BadHistogramError` when it cannot be read.
        """
        try:
            self._histogram.decode_and_add(encoded.encode())
        except _UNREADABLE as problem:
            raise errors.BadHistogramError(
                f'An encoded histogram is unreadable ({problem})',
                'Use a tool of the same version as the daemon',
            ) from problem

    def _at(self, running: Sequence[int], percent: float) -> float:
        histogram = self._histogram
        rank = histogram.get_target_count_at_percentile(percent)
        lowest = histogram.get_value_from_index(
            bisect.bisect_left(running, rank),
        )
        return float(histogram.get_highest_equivalent_value(lowest) / _SCALE)
