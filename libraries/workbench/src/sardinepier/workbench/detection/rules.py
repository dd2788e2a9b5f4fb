"""The rules that users would otherwise pick, each daemon judging alone.

Each rule ejects a target for thirty seconds, never more than half of the
targets at once. Latency and errors are judged as proxies commonly do.
"""

import collections
import statistics
from collections.abc import Sequence
from typing import Final, Protocol

from sardinepier.health import evidence
from sardinepier.workbench.detection import detector as detectors

_EJECTION_S: Final = 30.0
_LOOK_EVERY_S: Final = 0.5
_FEWEST_TARGETS: Final = 3
_FAILED: Final = frozenset(
    (
        evidence.AttemptOutcome.FAILED,
        evidence.AttemptOutcome.WRONG,
        evidence.AttemptOutcome.TIMED_OUT,
        evidence.AttemptOutcome.CONNECT_FAILED,
        evidence.AttemptOutcome.CONNECTION_LOST,
    ),
)
_SILENT: Final = frozenset(
    (evidence.AttemptOutcome.SHED, evidence.AttemptOutcome.CANCELLED),
)


class Rule(Protocol):
    """One daemon's rule over the targets of one service."""

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Take the end of one attempt."""
        ...

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets which the rule condemns now."""
        ...

    def reset(self, target: int) -> None:
        """Start afresh for an ejected target."""
        ...


class ConsecutiveErrors:
    """So many errors one after the other condemn a target."""

    def __init__(self, limit: int) -> None:
        """Condemn after ``limit`` errors."""
        self._limit = limit
        self._runs: dict[int, int] = collections.defaultdict(int)

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Lengthen the run or end it."""
        self._runs[target] = self._runs[target] + 1 if failed else 0

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets with a long run."""
        return [at for at, run in self._runs.items() if run >= self._limit]

    def reset(self, target: int) -> None:
        """End the run."""
        self._runs[target] = 0


class _Windows:
    """Two half windows a target; the older one is dropped in turn."""

    def __init__(self, window_s: float) -> None:
        self._half_s = window_s / 2
        self._turned_s = 0.0
        self.older: dict[int, list[float]] = {}
        self.newer: dict[int, list[float]] = {}

    def add(self, target: int, value: float) -> None:
        self.newer.setdefault(target, []).append(value)

    def turn(self, now_s: float) -> None:
        if now_s - self._turned_s >= self._half_s:
            self._turned_s = now_s
            self.older = self.newer
            self.newer = {}

    def values(self, target: int) -> list[float]:
        return self.older.get(target, []) + self.newer.get(target, [])

    def reset(self, target: int) -> None:
        self.older.pop(target, None)
        self.newer.pop(target, None)


class ErrorRate:
    """A share of errors in a window, given a minimum of requests."""

    def __init__(self, share: float, minimum: int, window_s: float) -> None:
        """Condemn at ``share`` of at least ``minimum`` requests."""
        self._share = share
        self._minimum = minimum
        self._windows = _Windows(window_s)

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Add the attempt to the window."""
        self._windows.add(target, float(failed))

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets with too large a share."""
        self._windows.turn(now_s)
        condemned = []
        for target in self._windows.newer:
            errors = self._windows.values(target)
            if len(errors) < self._minimum:
                continue
            if sum(errors) / len(errors) >= self._share:
                condemned.append(target)
        return condemned

    def reset(self, target: int) -> None:
        """Empty the window."""
        self._windows.reset(target)


class LatencyQuantile:
    """A target's latency quantile against the mean of all targets' ones."""

    def __init__(
        self,
        quantile: float,
        factor: float,
        minimum: int,
        window_s: float,
    ) -> None:
        """Condemn at ``factor`` times the mean of the targets' quantiles."""
        self._quantile = quantile
        self._factor = factor
        self._minimum = minimum
        self._windows = _Windows(window_s)
        self._look_at_s = 0.0

    def count(self, target: int, failed: bool, latency_ms: float) -> None:
        """Add the latency to the window."""
        self._windows.add(target, latency_ms)

    def faulty_targets(self, now_s: float) -> Sequence[int]:
        """Return the targets whose quantile is far above the mean."""
        self._windows.turn(now_s)
        if now_s < self._look_at_s:
            return []
        self._look_at_s = now_s + _LOOK_EVERY_S
        quantiles = self._quantiles()
        if len(quantiles) < _FEWEST_TARGETS:
            return []
        limit = self._factor * statistics.fmean(quantiles.values())
        return [at for at in sorted(quantiles) if quantiles[at] >= limit]

    def reset(self, target: int) -> None:
        """Empty the window."""
        self._windows.reset(target)

    def _quantiles(self) -> dict[int, float]:
        quantiles = {}
        for target in self._windows.newer.keys() | self._windows.older.keys():
            latencies = sorted(self._windows.values(target))
            if len(latencies) >= self._minimum:
                place = int(len(latencies) * self._quantile)
                quantiles[target] = latencies[min(place, len(latencies) - 1)]
        return quantiles


class RuleDetector:
    """A rule at every daemon, each for itself."""

    def __init__(self, rules: Sequence[Rule], targets: int) -> None:
        """Judge ``targets`` targets, with one rule a daemon."""
        self._rules = rules
        self._targets = targets
        self._out_until_s = [[0.0 for _ in range(targets)] for _ in rules]
        self._now_s = 0.0

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Nothing to note: such rules look at ends only."""

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        end: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Count the end."""
        if end not in _SILENT:
            self._rules[daemon].count(target, end in _FAILED, latency_ms)

    def tick(self, daemon: int, now_s: float) -> None:
        """Eject what the rule condemns."""
        self._now_s = now_s
        out_until_s = self._out_until_s[daemon]
        for target in self._rules[daemon].faulty_targets(now_s):
            out = sum(until_s > now_s for until_s in out_until_s)
            if out_until_s[target] <= now_s and 2 * (out + 1) <= self._targets:
                out_until_s[target] = now_s + _EJECTION_S
                self._rules[daemon].reset(target)

    def weights(self, daemon: int) -> Sequence[float]:
        """Return 0 for an ejected target and 1 for others."""
        return [
            float(until_s <= self._now_s)
            for until_s in self._out_until_s[daemon]
        ]

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return None: the driver tells daemons the true counts."""
        return detectors.UNKNOWN

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return False: these rules know no trials."""
        return False

    def replaced(self, target: int, incarnation: int) -> None:
        """Start afresh for the new incarnation."""
        for daemon, rule in enumerate(self._rules):
            rule.reset(target)
            self._out_until_s[daemon][target] = 0

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Nothing to note."""

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return nothing: passive rules only."""
        return ()
