"""Outlier rules of common proxies, which users would otherwise choose.

Each daemon applies its rule to its own attempts only. A rule ejects a target
for 30 seconds, never more than half of the targets at once.
"""

import collections
import statistics
from collections.abc import Sequence
from typing import Final, Protocol

from sardinepier.health import evidence
from sardinepier.workbench.detection import detector as detectors

_EJECTION_S: Final = 30.0
_EVALUATION_INTERVAL_S: Final = 0.5
_MIN_TARGETS: Final = 3
_FAILED_OUTCOMES: Final = frozenset(
    (
        evidence.AttemptOutcome.FAILED,
        evidence.AttemptOutcome.WRONG,
        evidence.AttemptOutcome.TIMED_OUT,
        evidence.AttemptOutcome.CONNECT_FAILED,
        evidence.AttemptOutcome.CONNECTION_LOST,
    ),
)
_IGNORED_OUTCOMES: Final = frozenset(
    (evidence.AttemptOutcome.SHED, evidence.AttemptOutcome.CANCELLED),
)


class Rule(Protocol):
    """One daemon's rule over the targets of one service."""

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Record the outcome of one attempt."""
        ...

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets that should be ejected now."""
        ...

    def reset(self, target: int) -> None:
        """Forget what was recorded of a target."""
        ...


class ConsecutiveErrors:
    """Ejects a target after a number of consecutive errors."""

    def __init__(self, limit: int) -> None:
        """Eject after ``limit`` errors in a row."""
        self._limit = limit
        self._error_runs: dict[int, int] = collections.defaultdict(int)

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Count a consecutive error, or start again after a success."""
        self._error_runs[target] = self._error_runs[target] + 1 if failed else 0

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets whose consecutive errors reach the limit."""
        return [
            target
            for target, run in self._error_runs.items()
            if run >= self._limit
        ]

    def reset(self, target: int) -> None:
        """Start counting again."""
        self._error_runs[target] = 0


class _Windows:
    """Samples of each target in two half windows, the older dropped in time."""

    def __init__(self, window_s: float) -> None:
        self._half_s = window_s / 2
        self._rotated_s = 0.0
        self.older: dict[int, list[float]] = {}
        self.newer: dict[int, list[float]] = {}

    def add(self, target: int, value: float) -> None:
        self.newer.setdefault(target, []).append(value)

    def rotate(self, now_s: float) -> None:
        if now_s - self._rotated_s >= self._half_s:
            self._rotated_s = now_s
            self.older = self.newer
            self.newer = {}

    def values(self, target: int) -> list[float]:
        return self.older.get(target, []) + self.newer.get(target, [])

    def reset(self, target: int) -> None:
        self.older.pop(target, None)
        self.newer.pop(target, None)


class ErrorRate:
    """Ejects by the share of errors in a window with a minimum of requests."""

    def __init__(self, share: float, minimum: int, window_s: float) -> None:
        """Eject at ``share`` of at least ``minimum`` requests."""
        self._share = share
        self._minimum = minimum
        self._windows = _Windows(window_s)

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Add the attempt to the window."""
        self._windows.add(target, float(failed))

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets whose share of errors reaches the limit."""
        self._windows.rotate(now_s)
        faulty = []
        for target in self._windows.newer:
            errors = self._windows.values(target)
            if len(errors) < self._minimum:
                continue
            if sum(errors) / len(errors) >= self._share:
                faulty.append(target)
        return faulty

    def reset(self, target: int) -> None:
        """Empty the window."""
        self._windows.reset(target)


class LatencyQuantile:
    """Compares a target's latency quantile with the mean over all targets."""

    def __init__(
        self,
        quantile: float,
        factor: float,
        minimum: int,
        window_s: float,
    ) -> None:
        """Eject at ``factor`` times the mean of the targets' quantiles."""
        self._quantile = quantile
        self._factor = factor
        self._minimum = minimum
        self._windows = _Windows(window_s)
        self._evaluate_at_s = 0.0

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Add the latency to the window."""
        self._windows.add(target, latency_ms)

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets whose quantile reaches the limit."""
        self._windows.rotate(now_s)
        if now_s < self._evaluate_at_s:
            return []
        self._evaluate_at_s = now_s + _EVALUATION_INTERVAL_S
        quantiles = self._quantiles()
        if len(quantiles) < _MIN_TARGETS:
            return []
        limit = self._factor * statistics.fmean(quantiles.values())
        return [
            target for target in sorted(quantiles) if quantiles[target] >= limit
        ]

    def reset(self, target: int) -> None:
        """Empty the window."""
        self._windows.reset(target)

    def _quantiles(self) -> dict[int, float]:
        quantiles = {}
        for target in self._windows.newer.keys() | self._windows.older.keys():
            latencies = sorted(self._windows.values(target))
            if len(latencies) >= self._minimum:
                index = int(len(latencies) * self._quantile)
                quantiles[target] = latencies[min(index, len(latencies) - 1)]
        return quantiles


class RuleDetector:
    """A group of daemons, each with a rule of its own."""

    def __init__(self, rules: Sequence[Rule], targets: int) -> None:
        """Observe ``targets`` targets, with one rule per daemon."""
        self._rules = rules
        self._targets = targets
        self._ejected_until_s = [[0.0 for _ in range(targets)] for _ in rules]
        self._now_s = 0.0

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Do nothing: the rules use outcomes only."""

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        outcome: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Pass the outcome to the daemon's rule."""
        if outcome not in _IGNORED_OUTCOMES:
            self._rules[daemon].count(
                target, outcome in _FAILED_OUTCOMES, latency_ms
            )

    def tick(self, daemon: int, now_s: float) -> None:
        """Eject the faulty targets, at most half of all."""
        self._now_s = now_s
        ejected_until_s = self._ejected_until_s[daemon]
        for target in self._rules[daemon].faulty_targets(now_s):
            ejected_count = sum(until_s > now_s for until_s in ejected_until_s)
            if (
                ejected_until_s[target] <= now_s
                and 2 * (ejected_count + 1) <= self._targets
            ):
                ejected_until_s[target] = now_s + _EJECTION_S
                self._rules[daemon].reset(target)

    def weights(self, daemon: int) -> Sequence[float]:
        """Return 0 for each ejected target and 1 for the others."""
        return [
            float(until_s <= self._now_s)
            for until_s in self._ejected_until_s[daemon]
        ]

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return None: the driver sends daemons the true counts."""
        return detectors.UNKNOWN

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return False: these rules have no trials."""
        return False

    def replaced(self, target: int, incarnation: int) -> None:
        """Forget and readmit the target: it has a new incarnation."""
        for daemon, rule in enumerate(self._rules):
            rule.reset(target)
            self._ejected_until_s[daemon][target] = 0

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Do nothing: the rules don't use probes."""

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return no targets: the rules don't use probes."""
        return ()
