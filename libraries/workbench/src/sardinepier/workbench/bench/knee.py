"""Finds the rate where the added 99th percentile passes the limit."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from sardinepier.workbench.bench import paired

ADDED_LIMIT_MS: Final = 2.9
"""The time that a daemon may add to 99 of 100 requests."""

_FAILED_LIMIT_PERCENT: Final = 1.0

Measure = Callable[[float], Awaitable[paired.PairFigures]]


class Knee(msgspec.Struct, frozen=True):
    """The knee lies between two measured rates.

    ``within`` is the highest measured rate within the limit and ``beyond``
    the lowest one past it; either is None when no such rate was seen.
    ``steps`` are all measurements in their order.
    """

    within: paired.PairFigures | None
    beyond: paired.PairFigures | None
    steps: tuple[paired.PairFigures, ...]


class KneeSearch:
    """Doubles or halves the rate past the knee, then halves the gap.

    A rate counts as past the knee only when two measurements say so: one
    slow moment of a busy machine would otherwise end the search far too low.
    """

    def __init__(
        self,
        measure: Measure,
        lowest_per_s: float,
        highest_per_s: float,
    ) -> None:
        """Search between the two rates."""
        self._measure = measure
        self._lowest_per_s = lowest_per_s
        self._highest_per_s = highest_per_s
        self._within: paired.PairFigures | None = None
        self._beyond: paired.PairFigures | None = None
        self._steps: list[paired.PairFigures] = []

    async def run(self, start_per_s: float, halvings: int) -> Knee:
        """Return the knee after at most ``halvings`` halvings of the gap."""
        rate_per_s = start_per_s
        while self._lowest_per_s <= rate_per_s <= self._highest_per_s:
            await self._try(rate_per_s)
            if self._within is not None and self._beyond is not None:
                break
            rate_per_s *= 2 if self._beyond is None else 1 / 2
        for _ in range(halvings):
            if self._within is None or self._beyond is None:
                break
            total_per_s = self._within.rate_per_s + self._beyond.rate_per_s
            await self._try(round(total_per_s / 2))
        return Knee(self._within, self._beyond, tuple(self._steps))

    async def _try(self, rate_per_s: float) -> None:
        for _ in range(2):
            figures = await self._measure(rate_per_s)
            self._steps.append(figures)
            if is_within(figures):
                self._within = figures
                return
        self._beyond = figures


def is_within(figures: paired.PairFigures) -> bool:
    """Tell whether the daemon keeps up at this rate."""
    return (
        figures.added_p99_ms <= ADDED_LIMIT_MS
        and figures.failed_percent <= _FAILED_LIMIT_PERCENT
    )
