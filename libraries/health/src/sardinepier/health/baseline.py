"""Latency baselines: the median of each route and the spread around it.

A latency is compared only with the median of the same route, on a
logarithmic scale: its *residual* is the distance from the median in quarter
octaves. The median covers all targets except suspected ones, so one slow
target hardly moves it. The spread of residuals is learned once for the whole
service.
"""

import math
from typing import Final

from sardinepier.core import ids

STEPS_PER_OCTAVE: Final = 4
MIN_RESIDUAL: Final = -12
MAX_RESIDUAL: Final = 32
"""Residuals are clipped to [MIN_RESIDUAL, MAX_RESIDUAL] quarter octaves."""

SLOW_RESIDUAL: Final = 6
"""Answers with at least this residual are slow: 2.8 times the median."""

_MIN_SAMPLES: Final = 20
_MIN_STEP: Final = 0.02
_HALVING_COUNT: Final = 40000
_PRIOR_COUNT: Final = 200
_PRIOR_DECAY: Final = 0.75
_BIN_COUNT: Final = MAX_RESIDUAL - MIN_RESIDUAL + 1
_MIN_LATENCY_MS: Final = 0.001
_MIN_SHARE: Final = 1e-6


def log_latency(latency_ms: float) -> float:
    """Return the latency in quarter octaves above one millisecond."""
    return STEPS_PER_OCTAVE * math.log2(max(latency_ms, _MIN_LATENCY_MS))


def residual(log_value: float, median: float) -> int:
    """Return the clipped distance to the median in whole quarter octaves."""
    return max(MIN_RESIDUAL, min(MAX_RESIDUAL, round(log_value - median)))


def slow_ms(median: float) -> float:
    """Return the lowest latency that counts as slow for a log median."""
    return float(2 ** ((median + SLOW_RESIDUAL) / STEPS_PER_OCTAVE))


class _Median:
    """A streaming median that moves one step towards each value.

    The step shrinks as the count grows.
    """

    __slots__ = ('count', 'level')

    def __init__(self, level: float) -> None:
        self.count = 1
        self.level = level

    def observe(self, log_value: float) -> None:
        self.count += 1
        step = max(_MIN_STEP, 4 / self.count)
        if log_value > self.level:
            self.level += step
        elif log_value < self.level:
            self.level -= step


class RouteMedians:
    """The median log latency of each route, for a bounded number of routes."""

    def __init__(self, limit: int) -> None:
        """Keep the medians of at most ``limit`` routes."""
        self._limit = limit
        self._medians: dict[ids.RouteName, _Median] = {}

    def get(self, route: ids.RouteName) -> float | None:
        """Return a route's median, or None until it has enough samples."""
        median = self._medians.get(route)
        if median is None or median.count < _MIN_SAMPLES:
            return None
        return median.level

    def observe(self, route: ids.RouteName, log_value: float) -> None:
        """Record one log latency of a target that is not suspected.

        A new route beyond the limit replaces the oldest one.
        """
        median = self._medians.get(route)
        if median is not None:
            median.observe(log_value)
            return
        if len(self._medians) >= self._limit:
            self._medians.pop(next(iter(self._medians)))
        self._medians[route] = _Median(log_value)


class ResidualSpread:
    """Histogram of the residuals of healthy targets."""

    def __init__(self) -> None:
        """Start from a wide prior, which a few hundred answers outweigh."""
        weights = [
            _PRIOR_DECAY ** abs(residual_step)
            for residual_step in range(MIN_RESIDUAL, MAX_RESIDUAL + 1)
        ]
        scale = _PRIOR_COUNT / sum(weights)
        self._counts = [weight * scale for weight in weights]
        self._total = float(_PRIOR_COUNT)

    def observe(self, residual_step: int) -> None:
        """Count one residual.

        All counts are halved when their total passes a limit, so that older
        residuals lose weight.
        """
        self._counts[residual_step - MIN_RESIDUAL] += 1
        self._total += 1
        if self._total > _HALVING_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def shares(self) -> list[float]:
        """Return the smoothed share of each residual, lowest first."""
        smoothed = _smooth(_smooth(self._counts))
        total = sum(smoothed)
        return [count / total + _MIN_SHARE for count in smoothed]

    def exceeding(self) -> list[float]:
        """Return, for each residual, the share of answers at or above it."""
        tail = 0.0
        tails = []
        for share in reversed(self.shares()):
            tail += share
            tails.append(tail)
        tails.reverse()
        return tails


def _smooth(counts: list[float]) -> list[float]:
    padded = [counts[0], *counts, counts[-1]]
    return [
        (padded[index] + 2 * padded[index + 1] + padded[index + 2]) / 4
        for index in range(_BIN_COUNT)
    ]
