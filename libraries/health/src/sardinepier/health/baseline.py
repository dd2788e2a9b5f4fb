"""What is normal: the usual latency of each route, and its usual spread.

A latency is only ever compared with the same route's median, on a
logarithmic scale: its *residual* is how many quarter octaves it lies above.
The median is that of all targets together, less those under suspicion, so
one slow target hardly moves it. The spread of the residuals is learned for
the service as a whole.
"""

import math
from typing import Final

from sardinepier.core import ids

STEPS_PER_OCTAVE: Final = 4
LOWEST: Final = -12
HIGHEST: Final = 32
"""Residuals are clipped to [LOWEST, HIGHEST] quarter octaves."""

SLOW_RESIDUAL: Final = 6
"""From here on a single answer is called slow: 2.8 times the median."""

_SETTLED_COUNT: Final = 20
_SMALLEST_STEP: Final = 0.02
_HALVE_AT: Final = 40000
_PRIOR_COUNT: Final = 200
_PRIOR_DECAY: Final = 0.75
_BINS: Final = HIGHEST - LOWEST + 1
_SHORTEST_MS: Final = 0.001
_TAIL: Final = 1e-6


def log_latency(latency_ms: float) -> float:
    """Return the latency's logarithm in quarter octaves of a millisecond."""
    return STEPS_PER_OCTAVE * math.log2(max(latency_ms, _SHORTEST_MS))


def residual(log_value: float, median: float) -> int:
    """Return the whole quarter octaves by which a value passes the median."""
    return max(LOWEST, min(HIGHEST, round(log_value - median)))


def slow_ms(median: float) -> float:
    """Return the latency from which on an answer of a route is slow."""
    return float(2 ** ((median + SLOW_RESIDUAL) / STEPS_PER_OCTAVE))


class _Median:
    """A streaming median: one step towards each value, ever smaller."""

    __slots__ = ('count', 'level')

    def __init__(self, level: float) -> None:
        self.count = 1
        self.level = level

    def observe(self, log_value: float) -> None:
        self.count += 1
        step = max(_SMALLEST_STEP, 4 / self.count)
        if log_value > self.level:
            self.level += step
        elif log_value < self.level:
            self.level -= step


class RouteMedians:
    """The median latency of each route, for a bounded number of routes."""

    def __init__(self, limit: int) -> None:
        """Remember at most ``limit`` routes."""
        self._limit = limit
        self._medians: dict[ids.RouteName, _Median] = {}

    def get(self, route: ids.RouteName) -> float | None:
        """Return the log latency of a route, or None while it is unknown."""
        median = self._medians.get(route)
        if median is None or median.count < _SETTLED_COUNT:
            return None
        return median.level

    def observe(self, route: ids.RouteName, log_value: float) -> None:
        """Take one latency of a target that is above suspicion."""
        median = self._medians.get(route)
        if median is not None:
            median.observe(log_value)
            return
        if len(self._medians) >= self._limit:
            self._medians.pop(next(iter(self._medians)))
        self._medians[route] = _Median(log_value)


class ResidualSpread:
    """How residuals of healthy targets are spread, learned as counts."""

    def __init__(self) -> None:
        """Start from a wide prior that a few hundred answers outweigh."""
        weights = [
            _PRIOR_DECAY ** abs(position)
            for position in range(LOWEST, HIGHEST + 1)
        ]
        scale = _PRIOR_COUNT / sum(weights)
        self._counts = [weight * scale for weight in weights]
        self._total = float(_PRIOR_COUNT)

    def observe(self, position: int) -> None:
        """Count one residual; older ones fade as their number grows."""
        self._counts[position - LOWEST] += 1
        self._total += 1
        if self._total > _HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def shares(self) -> list[float]:
        """Return the smoothed share of each residual, lowest first."""
        smooth = _smoothed(_smoothed(self._counts))
        total = sum(smooth)
        return [count / total + _TAIL for count in smooth]

    def exceeding(self) -> list[float]:
        """Return for each residual the share of answers at or above it."""
        tail = 0.0
        tails = []
        for share in reversed(self.shares()):
            tail += share
            tails.append(tail)
        tails.reverse()
        return tails


def _smoothed(counts: list[float]) -> list[float]:
    padded = [counts[0], *counts, counts[-1]]
    return [
        (padded[index] + 2 * padded[index + 1] + padded[index + 2]) / 4
        for index in range(_BINS)
    ]
