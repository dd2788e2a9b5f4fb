"""Wraps the HdrHistogram library with a fixed range and typed errors."""

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
_MAX_VALUE: Final = 3_600_000
# Three digits would take seven times the memory.
_SIGNIFICANT_DIGITS: Final = 2
_NARROW_BYTES: Final = 4
_WIDE_BYTES: Final = 8
_DECODE_ERRORS: Final = (
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
    """A histogram with a resolution of a thousandth of the unit.

    A counter of four bytes lasts a single process for more than a year. Sums
    over a large fleet overflow it, so a ``wide`` histogram uses eight bytes.
    """

    __slots__ = ('_record_scaled', '_histogram')

    def __init__(self, *, wide: bool = False) -> None:
        """Create an empty histogram."""
        self._histogram = hdr_histogram.HdrHistogram(
            1,
            _MAX_VALUE * _SCALE,
            _SIGNIFICANT_DIGITS,
            word_size=_WIDE_BYTES if wide else _NARROW_BYTES,
        )
        self._record_scaled = self._histogram.record_value

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return int(self._histogram.get_total_count())

    @property
    def highest(self) -> float:
        """Return the highest value recorded, or zero."""
        return float(self._histogram.get_max_value() / _SCALE)

    def record(self, value: float) -> None:
        """Add one value, clamped to the range; NaN counts as 0."""
        if value > _MAX_VALUE:
            value = _MAX_VALUE
        # Not `value < 0`, which is false for NaN.
        elif not value >= 0:  # noqa: WPS508 (the comparison is not inverted)
            value = 0
        self._record_scaled(int(value * _SCALE))

    def quantile(self, percent: float) -> float:
        """Return the value at percentile ``percent``, zero when empty."""
        return self.quantiles(percent)[0]

    def quantiles(self, *percents: float) -> tuple[float, ...]:
        """Return the value at each percentile, zeros when empty."""
        if not self.count:
            return (0.0,) * len(percents)
        # The library searches linearly in Python, once for each percentile.
        histogram = self._histogram
        end = histogram.get_counts_array_index(histogram.max_value) + 1
        cumulative_counts = list(itertools.accumulate(histogram.counts[:end]))
        return tuple(
            self._value_at(cumulative_counts, percent) for percent in percents
        )

    def encode(self) -> str:
        """Return the histogram in its compressed text form."""
        return bytes(self._histogram.encode()).decode('ascii')

    def add(self, encoded: str) -> None:
        """Add all values of an encoded histogram.

        Raises :class:`errors.BadHistogramError` when it cannot be decoded.
        """
        try:
            self._histogram.decode_and_add(encoded.encode())
        except _DECODE_ERRORS as error:
            raise errors.BadHistogramError(
                f'An encoded histogram is unreadable ({error})',
                'Use a tool of the same version as the daemon',
            ) from error

    def _value_at(
        self, cumulative_counts: Sequence[int], percent: float
    ) -> float:
        histogram = self._histogram
        rank = histogram.get_target_count_at_percentile(percent)
        bucket_start = histogram.get_value_from_index(
            bisect.bisect_left(cumulative_counts, rank),
        )
        return float(
            histogram.get_highest_equivalent_value(bucket_start) / _SCALE
        )
