"""Change detection: CUSUMs over log-likelihood ratios.

Each hypothesis states how an unhealthy target differs from the others. The
log-likelihood ratio of an attempt states how much likelier its outcome is
under the hypothesis than at a healthy target. A CUSUM sums these ratios and
never falls below zero: it drifts to zero while the target behaves like the
others, and rises from the first fault on.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline

_SECONDS_PER_DAY: Final = 86400
_MIN_EVENTS_PER_DAY: Final = 10000


class Hypothesis(enum.IntEnum):
    """One kind of fault; the value is its index in every tuple of scores."""

    SLOWER = 0
    """Answers take about twice as long as those of the other targets."""

    MUCH_SLOWER = 1
    """Answers take at least four times as long, or never arrive."""

    FAILS_SOMETIMES = 2
    FAILS_MOSTLY = 3


HYPOTHESES: Final = tuple(Hypothesis)
FAILING: Final = (Hypothesis.FAILS_SOMETIMES, Hypothesis.FAILS_MOSTLY)

_FIRST_SHIFTS: Final = (3, 8)
_SHIFT_STEP: Final = 2
_SHIFT_DECAY: Final = 0.8
_MIN_RATIO: Final = -4.0
_MAX_RATIO: Final = 5.0
_MAX_OVERDUE_RATIO: Final = 12.0
_MIN_UNHEALTHY_SHARES: Final = (0.1, 0.6)
_MAX_LEVEL_THRESHOLDS: Final = 2
"""Limit of a level, in thresholds, so that old evidence can decay."""

_MIN_PAUSES_TO_EJECT: Final = 3
_EPSILON: Final = 1e-9
_MAX_UNHEALTHY_SHARE: Final = 0.9
_UNHEALTHY_SHARE_FACTOR: Final = 4.0
_MAX_TYPICAL_SHARE: Final = 0.5


def threshold(events_per_s: float, false_alarms_per_day: float) -> float:
    """Return the CUSUM level that meets the tolerated rate of false alarms.

    The mean number of events between two false alarms of a CUSUM over true
    log-likelihood ratios is at least ``exp(threshold)``. Each target has two
    CUSUMs per hypothesis: one for the group's evidence, one for the daemon's
    own.
    """
    events_per_day = max(
        _MIN_EVENTS_PER_DAY,
        events_per_s * _SECONDS_PER_DAY,
    )
    opportunities = 2 * len(HYPOTHESES) * events_per_day
    return math.log(opportunities / false_alarms_per_day)


class LatencyRatios:
    """Log-likelihood ratios of residuals, a table per slowness hypothesis."""

    def __init__(self, spread: baseline.ResidualSpread) -> None:
        """Compute the tables from the current spread."""
        shares = spread.shares()
        self.tables = tuple(
            _ratio_table(shares, first_shift) for first_shift in _FIRST_SHIFTS
        )
        self._overdue = [
            min(_MAX_OVERDUE_RATIO, -math.log(tail))
            for tail in spread.exceeding()
        ]

    def overdue(self, residual_step: int) -> float:
        """Return the evidence of a request in flight with this residual age."""
        return self._overdue[residual_step - baseline.MIN_RESIDUAL]


def _ratio_table(shares: list[float], first_shift: int) -> list[float]:
    """Return the ratio for each residual, lowest first; it never decreases."""
    bin_count = len(shares)
    shifted = [0.0 for _ in shares]
    weight = 1.0
    total_weight = 0.0
    for shift in range(first_shift, bin_count, _SHIFT_STEP):
        for index in range(shift, bin_count):
            shifted[index] += weight * shares[index - shift]
        total_weight += weight
        weight *= _SHIFT_DECAY
    table = []
    running_max = _MIN_RATIO
    for index, share in enumerate(shares):
        likelihood = shifted[index] / total_weight + _EPSILON
        ratio = math.log(likelihood / share)
        running_max = max(running_max, min(_MAX_RATIO, ratio))
        table.append(running_max)
    return table


def failure_ratios(
    typical_share: float,
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Return (ratio of a failure, ratio of a success) for both hypotheses.

    ``typical_share`` is the current share of failures at the other targets.
    When at least half of their requests fail, failures are no evidence.
    """
    if typical_share >= _MAX_TYPICAL_SHARE:
        return ((0.0, 0.0), (0.0, 0.0))
    min_some, min_most = _MIN_UNHEALTHY_SHARES
    unhealthy_some = max(
        min_some,
        min(_MAX_UNHEALTHY_SHARE, _UNHEALTHY_SHARE_FACTOR * typical_share),
    )
    unhealthy_most = max(min_most, (1 + typical_share) / 2)
    return (
        _bernoulli_ratios(unhealthy_some, typical_share),
        _bernoulli_ratios(unhealthy_most, typical_share),
    )


def _bernoulli_ratios(unhealthy: float, typical: float) -> tuple[float, float]:
    return (
        math.log(unhealthy / typical),
        math.log((1 - unhealthy) / (1 - typical)),
    )


class PauseAllowance:
    """Limits how fast the evidence against one target may grow.

    A short pause of a target delays all its requests at once, so they are not
    independent evidence. Within one tolerated pause the evidence grows by at
    most a third of the threshold.
    """

    __slots__ = ('_available', '_refilled_s')

    def __init__(self) -> None:
        """Start empty; the first use refills it whole."""
        self._available = 0.0
        self._refilled_s = -math.inf

    def available(self, now_s: float, limits: 'Limits') -> float:
        """Return how much evidence may be added now."""
        capacity = limits.threshold / _MIN_PAUSES_TO_EJECT
        refill = capacity * (now_s - self._refilled_s) / limits.pause_s
        return min(capacity, self._available + refill)

    def consume(self, amount: float, now_s: float, limits: 'Limits') -> float:
        """Consume up to ``amount``; return how much was available."""
        available = self.available(now_s, limits)
        granted = min(amount, available)
        self._available = available - granted
        self._refilled_s = now_s
        return granted


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits that apply to evidence at one moment."""

    threshold: float
    pause_s: float
    observer_limit: float
    """Maximum that one observer's evidence adds to a group's score."""


class Cusum:
    """Evidence for one hypothesis, with each observer's share of it."""

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
        """Add the sum of each observer's ratios of the last tick."""
        total = sum(ratios.values())
        if total <= 0 and self.level <= 0:
            return
        factor = 1.0
        if total > 0:
            factor = self.allowance.consume(total, now_s, limits) / total
        max_level = _MAX_LEVEL_THRESHOLDS * limits.threshold
        self.level = min(max_level, self.level + total * factor)
        if self.level <= 0:
            self.restart(0.0)
            return
        for observer, ratio in ratios.items():
            part = self.by_observer.get(observer, 0.0)
            self.by_observer[observer] = part + ratio * factor

    def capped(self, limit: float) -> float:
        """Return the level with each observer's share capped at ``limit``."""
        if self.level <= 0:
            return 0.0
        parts = self.by_observer.values()
        capped = sum(min(part, limit) for part in parts)
        return min(self.level, capped)

    def remove_observer(self, observer: ids.InstanceId) -> None:
        """Remove one observer's evidence against the target."""
        part = self.by_observer.pop(observer, 0.0)
        self.level = max(0.0, self.level - max(0.0, part))

    def restart(self, level: float) -> None:
        """Discard all evidence and set the level."""
        self.level = level
        self.by_observer.clear()
