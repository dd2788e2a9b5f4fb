"""What is usual at the *other* targets right now."""

import bisect
import math
from collections.abc import Sequence
from typing import Final

from sardinepier.health.internal import tracked_target

_TRIMMED_SHARE: Final = 4
_PRIOR_ATTEMPTS: Final = 10
_MIDDLE: Final = 0.5
_FEWEST_NEWEST: Final = 2
_CHANCE_SLOWNESS: Final = 2.0
_SLOWNESS_FACTOR: Final = 1.33


class OthersQuantile:
    """A quantile of a list of values without one of them, in O(log n)."""

    def __init__(self, values: Sequence[float], quantile: float) -> None:
        """Sort the values once."""
        self._sorted = sorted(values)
        self._quantile = quantile

    def without(self, value: float) -> float:
        """Return the quantile of all values but one equal to ``value``.

        0 when there is no other value.
        """
        others = len(self._sorted) - 1
        if others < 1:
            return 0.0
        place = math.ceil(self._quantile * (others - 1))
        if bisect.bisect_left(self._sorted, value) <= place:
            place += 1
        return self._sorted[place]


class CommonSlowness:
    """By how much the other targets are slower than usual, all at once.

    The larger of two estimates counts: the median of the targets' means over
    seconds, and the mean of all answers of the last half second without the
    slowest target. The first is exact but late, the second the reverse.
    """

    def __init__(self, recents: Sequence[tracked_target.Recent]) -> None:
        """Take the recent residuals of all targets."""
        means = [recent.mean_residual() for recent in recents]
        self._means = OthersQuantile(means, _MIDDLE)
        self._slowest = max(recents, key=_newest_mean, default=None)
        self._newest_sum = sum(recent.newest_sum for recent in recents)
        self._newest_count = sum(recent.newest_count for recent in recents)

    def without(self, own: tracked_target.Recent) -> int:
        """Return the others' slowness in whole quarter octaves, from 0 up.

        A little is taken for chance. More is taken one third larger, since
        targets that are all slow also differ more from each other.
        """
        total = self._newest_sum - own.newest_sum
        count = self._newest_count - own.newest_count
        slowest = self._slowest
        if slowest is not None and slowest is not own:
            total -= slowest.newest_sum
            count -= slowest.newest_count
        newest = total / count if count >= _FEWEST_NEWEST else 0.0
        slowness = max(newest, self._means.without(own.mean_residual()))
        if slowness < _CHANCE_SLOWNESS:
            return 0
        return round(slowness * _SLOWNESS_FACTOR)


def _newest_mean(recent: tracked_target.Recent) -> float:
    return recent.newest_sum / (recent.newest_count + 1)


class OthersFailureShare:
    """The share of failures at the other targets, less the worst quarter.

    Leaving out the worst quarter keeps one sick target from excusing the
    next. A few attempts say little, so they are mixed with the baseline.
    """

    def __init__(
        self,
        counts: Sequence[tuple[float, float]],
        baseline_share: float,
    ) -> None:
        """Take (failures, attempts) of every target."""
        self._baseline_share = baseline_share
        shares = sorted(_share(count) for count in counts)
        trimmed = -(-len(counts) // _TRIMMED_SHARE)
        kept = len(counts) - trimmed
        self._highest_kept = shares[kept - 1] if kept else -1.0
        kept_counts = [
            count for count in counts if _share(count) <= self._highest_kept
        ]
        self._failures = sum(failures for failures, _ in kept_counts)
        self._attempts = sum(attempts for _, attempts in kept_counts)

    def without(self, failures: float, attempts: float) -> float:
        """Return the others' share for a target with these counts."""
        other_failures = self._failures
        other_attempts = self._attempts
        if _share((failures, attempts)) <= self._highest_kept:
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
