"""Finds the rate at which the added 99th percentile exceeds the limit."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from sardinepier.workbench.bench import paired

ADDED_LIMIT_MS: Final = 2.9
"""The limit on the time that a daemon adds to the 99th percentile."""

_FAILED_LIMIT_PERCENT: Final = 1.0

Measure = Callable[[float], Awaitable[paired.PairFigures]]


class Knee(msgspec.Struct, frozen=True):
    """The two measured rates around the knee.

    ``within`` is the highest measured rate within the limit and ``beyond``
    the lowest one above it; either is None if no such rate was measured.
    ``steps`` has all measurements in their order.
    """

    within: paired.PairFigures | None
    beyond: paired.PairFigures | None
    steps: tuple[paired.PairFigures, ...]


class KneeSearch:
    """Doubles or halves the rate until the knee is passed, then bisects.

    A rate counts as above the knee only if two measurements exceed the limit:
    otherwise one slow moment of a busy machine would end the search far too
    low.
    """

    def __init__(
        self,
        measure: Measure,
        lowest_per_s: float,
        highest_per_s: float,
    ) -> None:
        """Search between ``lowest_per_s`` and ``highest_per_s``."""
        self._measure = measure
        self._lowest_per_s = lowest_per_s
        self._highest_per_s = highest_per_s
        self._within: paired.PairFigures | None = None
        self._beyond: paired.PairFigures | None = None
        self._steps: list[paired.PairFigures] = []

    async def run(self, start_per_s: float, halvings: int) -> Knee:
        """Return the knee, after at most ``halvings`` halvings of the gap."""
        rate_per_s = start_per_s
        while self._lowest_per_s <= rate_per_s <= self._highest_per_s:
            await self._measure_rate(rate_per_s)
            if self._within is not None and self._beyond is not None:
                break
            rate_per_s *= 2 if self._beyond is None else 1 / 2
        for _ in range(halvings):
            if self._within is None or self._beyond is None:
                break
            total_per_s = self._within.rate_per_s + self._beyond.rate_per_s
            await self._measure_rate(round(total_per_s / 2))
        return Knee(self._within, self._beyond, tuple(self._steps))

    async def _measure_rate(self, rate_per_s: float) -> None:
        for _ in range(2):
            figures = await self._measure(rate_per_s)
            self._steps.append(figures)
            if is_within(figures):
                self._within = figures
                return
        self._beyond = figures


def is_within(figures: paired.PairFigures) -> bool:
    """Return whether the daemon stays within the limits at this rate."""
    return (
        figures.added_p99_ms <= ADDED_LIMIT_MS
        and figures.failed_percent <= _FAILED_LIMIT_PERCENT
    )
