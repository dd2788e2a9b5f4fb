"""A token bucket over a whole fleet, as one daemon sees it.

No daemon sees all requests of a customer. Each keeps a bucket of the whole
limit and takes its own requests out at once, those of others as they tell of
them. Until another one tells again it is taken to go on as before. What turns
out to have been taken beyond the limit is a debt, which later requests of the
customer pay: the long run keeps to the rate whatever is late.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids

_RATE_TIME_S: Final = 0.5
"""Over how long the rate of another daemon is averaged."""

_LEAST_RATE_PER_S: Final = 3.0
"""A rate below which the next request can't be told from the last ones."""

_RECENT_S: Final = 0.6
"""Three rounds of news: whoever is silent for longer may be cut off."""

_ROUNDING: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a customer may send: ``burst`` at once, ``rate_per_s`` on average."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one daemon tells of a customer.

    ``spent`` are the requests that it let through since its start, less those
    that did not run. ``level`` is what it takes for the level of the bucket.
    """

    spent: int
    level: int


@dataclasses.dataclass(slots=True)
class _Other:
    """What is known of another daemon's requests of the customer."""

    spent: int
    told_s: float
    rate_per_s: float = 0.0
    assumed: float = 0.0


class FleetBucket:
    """The bucket of one customer.

    ``heard_s`` is when each other daemon told anything at all; it is shared by
    all buckets. One that told since, without naming this customer, has let
    nothing more through.
    """

    def __init__(
        self,
        limit: Limit,
        level: float,
        now_s: float,
        heard_s: Mapping[ids.InstanceId, float],
    ) -> None:
        """Start at ``level``, with nobody else known."""
        self.spent = 0
        self.limit = limit
        self._level = min(level, limit.burst)
        self._updated_s = now_s
        self._heard_s = heard_s
        self._others: dict[ids.InstanceId, _Other] = {}

    def set_limit(self, limit: Limit, now_s: float) -> None:
        """Put another limit in force."""
        self._advance(now_s)
        self.limit = limit
        self._level = min(self._level, limit.burst)

    def take(self, now_s: float) -> float:
        """Let a request through, and return 0.

        Where the bucket is empty nothing is taken; returned is in how many
        seconds there will be a token.
        """
        self._advance(now_s)
        if self._level >= 1 - _ROUNDING:
            self._level -= 1
            self.spent += 1
            return 0
        if self.limit.rate_per_s <= 0:
            return math.inf
        return (1 - self._level) / self.limit.rate_per_s

    def refund(self, now_s: float) -> None:
        """Return the token of a request that did not run."""
        self._advance(now_s)
        self.spent -= 1
        self._change(1)

    def usage(self, now_s: float) -> Usage:
        """Return what to tell others."""
        self._advance(now_s)
        return Usage(self.spent, math.floor(self._level))

    def receive_usage(
        self,
        source: ids.InstanceId,
        usage: Usage,
        now_s: float,
        *,
        is_new: bool = False,
    ) -> None:
        """Take in what another daemon tells.

        ``is_new`` says that it started less than a window ago: all that it let
        through counts, and it knows no more of others than this one.
        """
        self._advance(now_s)
        other = self._others.get(source)
        if other is None:
            self._others[source] = _Other(usage.spent, now_s)
            if is_new:
                self._change(-usage.spent)
            else:
                # What it let through before is in the level that it tells.
                self._level = min(self._level, usage.level)
            return
        spent = usage.spent - other.spent
        passed_s = max(_ROUNDING, now_s - other.told_s)
        weight = 1 - math.exp(-passed_s / _RATE_TIME_S)
        rate_per_s = max(0, spent) / passed_s
        other.rate_per_s += weight * (rate_per_s - other.rate_per_s)
        self._change(other.assumed - spent)
        other.assumed = 0.0
        other.spent = usage.spent
        other.told_s = now_s

    def forget(self, source: ids.InstanceId) -> None:
        """Take a daemon for gone."""
        self._others.pop(source, None)

    def _advance(self, now_s: float) -> None:
        passed_s = now_s - self._updated_s
        if passed_s <= 0:
            return
        self._updated_s = now_s
        assumed = sum(
            self._assume(source, other, passed_s)
            for source, other in self._others.items()
        )
        self._change(self.limit.rate_per_s * passed_s - assumed)

    def _assume(
        self,
        source: ids.InstanceId,
        other: _Other,
        passed_s: float,
    ) -> float:
        """Return what another daemon is taken to have let through meanwhile."""
        now_s = self._updated_s
        heard_s = self._heard_s.get(source, 0.0)
        if heard_s > other.told_s and other.assumed:
            self._change(other.assumed)
            other.assumed = 0.0
        rate_per_s = other.rate_per_s
        if now_s - max(heard_s, other.told_s) > _RECENT_S:
            # Whoever is cut off keeps to an equal part, as this one does.
            fair_per_s = self.limit.rate_per_s / (len(self._others) + 1)
            rate_per_s = max(rate_per_s, fair_per_s)
        elif heard_s > other.told_s or rate_per_s < _LEAST_RATE_PER_S:
            return 0.0
        other.assumed += rate_per_s * passed_s
        return rate_per_s * passed_s

    def _change(self, tokens: float) -> None:
        self._level = min(self.limit.burst, self._level + tokens)
