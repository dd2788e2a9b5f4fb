"""Change detection: log-likelihood ratios summed up by a CUSUM.

Each hypothesis says how a sick target differs from the others. An attempt's
log-likelihood ratio says how much likelier it is under the hypothesis than
for a healthy target. A CUSUM sums these, never below zero: it drifts down to
zero while the target does as the others do, and climbs from the first fault.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline

_SECONDS_PER_DAY: Final = 86400
_FEWEST_EVENTS_PER_DAY: Final = 10000


class Hypothesis(enum.IntEnum):
    """One way of being sick; the value is its place in every score row."""

    SLOWER = 0
    """Answers take about twice as long as at the other targets."""

    MUCH_SLOWER = 1
    """Answers take four times as long or longer, or never come."""

    FAILS_SOMETIMES = 2
    FAILS_MOSTLY = 3


HYPOTHESES: Final = tuple(Hypothesis)
FAILING: Final = (Hypothesis.FAILS_SOMETIMES, Hypothesis.FAILS_MOSTLY)

_FIRST_SHIFT: Final = (3, 8)
_SHIFT_STEP: Final = 2
_SHIFT_DECAY: Final = 0.8
_LOWEST_RATIO: Final = -4.0
_HIGHEST_RATIO: Final = 5.0
_OVERDUE_LIMIT: Final = 12.0
_FAILING_SHARE: Final = (0.1, 0.6)
_HIGHEST_LEVEL: Final = 2
"""Thresholds beyond which evidence is not kept, so that it can pass."""

_PAUSES_TO_EJECT: Final = 3
_TINY: Final = 1e-9
_HIGHEST_SICK_SHARE: Final = 0.9
_SHARE_FACTOR: Final = 4.0
_HIGHEST_USUAL_SHARE: Final = 0.5


def threshold(events_per_s: float, false_alarms_per_day: float) -> float:
    """Return the CUSUM level that keeps to the tolerated false alarms.

    The mean number of events between two false alarms of a CUSUM over true
    log-likelihood ratios is at least ``exp(threshold)``. There are as many
    CUSUMs a target as hypotheses, for the group's evidence and for the own.
    """
    events_per_day = max(
        _FEWEST_EVENTS_PER_DAY,
        events_per_s * _SECONDS_PER_DAY,
    )
    chances = 2 * len(HYPOTHESES) * events_per_day
    return math.log(chances / false_alarms_per_day)


class LatencyRatios:
    """Log-likelihood ratios of residuals, one table a slowness hypothesis."""

    def __init__(self, spread: baseline.ResidualSpread) -> None:
        """Work the tables out from the spread as it stands now."""
        shares = spread.shares()
        self.tables = tuple(
            _ratio_table(shares, first_shift) for first_shift in _FIRST_SHIFT
        )
        self._overdue = [
            min(_OVERDUE_LIMIT, -math.log(tail)) for tail in spread.exceeding()
        ]

    def overdue(self, position: int) -> float:
        """Return the evidence of one request in flight at this residual."""
        return self._overdue[position - baseline.LOWEST]


def _ratio_table(shares: list[float], first_shift: int) -> list[float]:
    """Return the ratio for each residual; it never falls as they grow."""
    bins = len(shares)
    shifted = [0.0 for _ in shares]
    weight = 1.0
    weights = 0.0
    for shift in range(first_shift, bins, _SHIFT_STEP):
        for index in range(shift, bins):
            shifted[index] += weight * shares[index - shift]
        weights += weight
        weight *= _SHIFT_DECAY
    table = []
    highest = _LOWEST_RATIO
    for index, share in enumerate(shares):
        likelihood = shifted[index] / weights + _TINY
        ratio = math.log(likelihood / share)
        highest = max(highest, min(_HIGHEST_RATIO, ratio))
        table.append(highest)
    return table


def failure_ratios(
    usual_share: float,
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Return (ratio of a failure, ratio of a success) for both hypotheses.

    ``usual_share`` is the share of failures at the other targets now. When
    half of everything fails everywhere, failures say nothing any more.
    """
    if usual_share >= _HIGHEST_USUAL_SHARE:
        return ((0.0, 0.0), (0.0, 0.0))
    some, most = _FAILING_SHARE
    sick_some = max(some, min(_HIGHEST_SICK_SHARE, _SHARE_FACTOR * usual_share))
    sick_most = max(most, (1 + usual_share) / 2)
    return (
        _bernoulli_ratios(sick_some, usual_share),
        _bernoulli_ratios(sick_most, usual_share),
    )


def _bernoulli_ratios(sick: float, usual: float) -> tuple[float, float]:
    return (math.log(sick / usual), math.log((1 - sick) / (1 - usual)))


class PauseAllowance:
    """Bounds how fast evidence against one target may grow.

    All requests at a target that stands still for a moment are late
    together: that is one misfortune, not many. Within one tolerated pause
    the evidence grows by at most a third of the threshold.
    """

    __slots__ = ('_left', '_refilled_s')

    def __init__(self) -> None:
        """Start with nothing left and nothing refilled."""
        self._left = 0.0
        self._refilled_s = -math.inf

    def left(self, now_s: float, limits: 'Limits') -> float:
        """Return how much evidence may be added now."""
        most = limits.threshold / _PAUSES_TO_EJECT
        refill = most * (now_s - self._refilled_s) / limits.pause_s
        return min(most, self._left + refill)

    def take(self, amount: float, now_s: float, limits: 'Limits') -> float:
        """Return how much of ``amount`` may count now, and use it up."""
        left = self.left(now_s, limits)
        granted = min(amount, left)
        self._left = left - granted
        self._refilled_s = now_s
        return granted


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What evidence is held against at one moment."""

    threshold: float
    pause_s: float
    observer_limit: float
    """Most that one observer's evidence adds to a group's score."""


class Cusum:
    """Evidence for one hypothesis, with each observer's part in it."""

    __slots__ = ('allowance', 'by_observer', 'level')

    def __init__(self) -> None:
        """Start at zero."""
        self.allowance = PauseAllowance()
        self.by_observer: dict[ids.InstanceId, float] = {}
        self.level = 0.0

    def add(
        self,
        ratios: Mapping[ids.InstanceId, float],
        now_s: float,
        limits: Limits,
    ) -> None:
        """Add each observer's summed ratios of the last tick."""
        total = sum(ratios.values())
        if total <= 0 and self.level <= 0:
            return
        factor = 1.0
        if total > 0:
            factor = self.allowance.take(total, now_s, limits) / total
        most = _HIGHEST_LEVEL * limits.threshold
        self.level = min(most, self.level + total * factor)
        if self.level <= 0:
            self.restart(0.0)
            return
        for observer, ratio in ratios.items():
            part = self.by_observer.get(observer, 0.0)
            self.by_observer[observer] = part + ratio * factor

    def capped(self, limit: float) -> float:
        """Return the level when no observer counts for more than a limit."""
        if self.level <= 0:
            return 0.0
        parts = self.by_observer.values()
        capped = sum(min(part, limit) for part in parts)
        return min(self.level, capped)

    def strike(self, observer: ids.InstanceId) -> None:
        """Take out what one observer holds against the target."""
        part = self.by_observer.pop(observer, 0.0)
        self.level = max(0.0, self.level - max(0.0, part))

    def restart(self, level: float) -> None:
        """Forget all evidence and stand at ``level``."""
        self.level = level
        self.by_observer.clear()
