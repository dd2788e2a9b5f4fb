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


async def search(
    measure: Measure,
    start_per_s: float,
    highest_per_s: float,
    halvings: int,
) -> Knee:
    """Double the rate until it is too much, then halve the gap.

    At most ``halvings`` more measurements follow once the limit is passed.
    """
    steps: list[paired.PairFigures] = []
    within: paired.PairFigures | None = None
    beyond: paired.PairFigures | None = None
    rate_per_s = start_per_s
    while beyond is None and rate_per_s <= highest_per_s:
        figures = await measure(rate_per_s)
        steps.append(figures)
        if is_within(figures):
            within = figures
        else:
            beyond = figures
        rate_per_s *= 2
    for _ in range(halvings):
        if within is None or beyond is None:
            break
        middle_per_s = (within.rate_per_s + beyond.rate_per_s) / 2
        figures = await measure(round(middle_per_s))
        steps.append(figures)
        if is_within(figures):
            within = figures
        else:
            beyond = figures
    return Knee(within, beyond, tuple(steps))


def is_within(figures: paired.PairFigures) -> bool:
    """Tell whether the daemon keeps up at this rate."""
    return (
        figures.added_p99_ms <= ADDED_LIMIT_MS
        and figures.failed_percent <= _FAILED_LIMIT_PERCENT
    )
