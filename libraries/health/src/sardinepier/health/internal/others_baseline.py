"""Statistics of all targets except one, to compare that one with."""

import bisect
import math
from collections.abc import Sequence
from typing import Final

from sardinepier.health.internal import tracked_target

_TRIM_DIVISOR: Final = 4
_PRIOR_ATTEMPTS: Final = 10
_MEDIAN: Final = 0.5
_MIN_NEWEST_COUNT: Final = 2
_MIN_SLOWNESS: Final = 2.0
_SLOWNESS_FACTOR: Final = 1.33


class OthersQuantile:
    """A quantile of a list without one of its values, in O(log n)."""

    def __init__(self, values: Sequence[float], quantile: float) -> None:
        """Sort the values once."""
        self._sorted = sorted(values)
        self._quantile = quantile

    def without(self, value: float) -> float:
        """Return the quantile of all values except one equal to ``value``.

        Returns 0 when there is no other value.
        """
        other_count = len(self._sorted) - 1
        if other_count < 1:
            return 0.0
        index = math.ceil(self._quantile * (other_count - 1))
        if bisect.bisect_left(self._sorted, value) <= index:
            index += 1
        return self._sorted[index]


class CommonSlowness:
    """How much slower than typical the other targets are, all at once.

    The larger of two estimates counts: the median of the targets' means over
    a few seconds, and the mean of all answers of the last half second
    without the slowest target. The first is precise but late, the second
    early but imprecise.
    """

    def __init__(self, recents: Sequence[tracked_target.Recent]) -> None:
        """Summarize the recent residuals of all targets."""
        means = [recent.mean_residual() for recent in recents]
        self._means = OthersQuantile(means, _MEDIAN)
        self._slowest = max(recents, key=_newest_mean, default=None)
        self._newest_sum = sum(recent.newest_sum for recent in recents)
        self._newest_count = sum(recent.newest_count for recent in recents)

    def without(self, own: tracked_target.Recent) -> int:
        """Return the others' slowness in whole quarter octaves, at least 0.

        A small slowness counts as random. A larger one is increased by a
        third, because targets that are all slow also differ more.
        """
        total = self._newest_sum - own.newest_sum
        count = self._newest_count - own.newest_count
        slowest = self._slowest
        if slowest is not None and slowest is not own:
            total -= slowest.newest_sum
            count -= slowest.newest_count
        newest = total / count if count >= _MIN_NEWEST_COUNT else 0.0
        slowness = max(newest, self._means.without(own.mean_residual()))
        if slowness < _MIN_SLOWNESS:
            return 0
        return round(slowness * _SLOWNESS_FACTOR)


def _newest_mean(recent: tracked_target.Recent) -> float:
    return recent.newest_sum / (recent.newest_count + 1)


class OthersFailureShare:
    """The share of failures at the other targets, without the worst quarter.

    Without the worst quarter, one unhealthy target does not hide the next.
    The baseline share serves as a prior, because few attempts are weak
    evidence.
    """

    def __init__(
        self,
        counts: Sequence[tuple[float, float]],
        baseline_share: float,
    ) -> None:
        """Summarize (failures, attempts) of every target."""
        self._baseline_share = baseline_share
        shares = sorted(_share(count) for count in counts)
        trimmed = -(-len(counts) // _TRIM_DIVISOR)
        kept = len(counts) - trimmed
        self._max_kept_share = shares[kept - 1] if kept else -1.0
        kept_counts = [
            count for count in counts if _share(count) <= self._max_kept_share
        ]
        self._failures = sum(failures for failures, _ in kept_counts)
        self._attempts = sum(attempts for _, attempts in kept_counts)

    def without(self, failures: float, attempts: float) -> float:
        """Return the failure share of the others, given one target's counts."""
        other_failures = self._failures
        other_attempts = self._attempts
        if _share((failures, attempts)) <= self._max_kept_share:
            other_failures -= failures
            other_attempts -= attempts
        prior = self._baseline_share * _PRIOR_ATTEMPTS
        share = (max(0.0, other_failures) + prior) / (
            max(0.0, other_attempts) + _PRIOR_ATTEMPTS
        )
        return max(self._baseline_share, share)


def _share(count: tuple[float, float]) -> float:
    failures, attempts = count
    return failures / attempts if attempts > 0 else 0.0
