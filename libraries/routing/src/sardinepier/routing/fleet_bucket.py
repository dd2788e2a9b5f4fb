"""One daemon's view of a token bucket that limits a customer fleet-wide.

No daemon sees all requests of a customer. Each keeps a bucket for the whole
limit, from which it takes its own requests at once and those of other daemons
when they report them. Until a daemon reports again, it is assumed to admit
requests at its previous rate. If the fleet admits more than the limit, the
level becomes negative and later requests wait for it to refill, so that the
average rate is kept however late the reports are.
"""

import dataclasses
import math
from collections.abc import Container, Mapping
from typing import Final

from sardinepier.core import ids

_RATE_TIME_S: Final = 0.5
"""Time constant of the moving average of another daemon's rate."""

_MIN_RATE_PER_S: Final = 3.0
"""Below this rate, no requests are assumed between the reports of a daemon:
they are too rare to predict the next one."""

_RECENT_S: Final = 0.6
"""Three report intervals. A daemon that is silent for longer may be cut off."""

_ROUNDING: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A customer may send ``burst`` requests at once, ``rate_per_s`` on average."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one daemon reports about a customer.

    ``spent`` is the number of requests that it admitted since its start, less
    those that did not run. ``level`` is its estimate of the bucket level.
    """

    spent: int
    level: int


@dataclasses.dataclass(slots=True)
class _PeerUsage:
    """The usage of the customer that another daemon reported.

    ``assumed`` is the number of requests that it is assumed to have admitted
    since its last report, and which the level already includes.
    """

    spent: int
    received_s: float
    rate_per_s: float = 0.0
    assumed: float = 0.0


class FleetBucket:
    """The bucket of one customer.

    ``last_seen_s`` is the time of the latest report of each other daemon, for
    any customer; all buckets share it. A daemon whose latest report did not
    name this customer has admitted no more of its requests.
    """

    def __init__(
        self,
        limit: Limit,
        level: float,
        now_s: float,
        last_seen_s: Mapping[ids.InstanceId, float],
    ) -> None:
        """Start at ``level``, without usage of other daemons."""
        self.spent = 0
        self.limit = limit
        self._level = min(level, limit.burst)
        self._updated_s = now_s
        self._last_seen_s = last_seen_s
        self._peers: dict[ids.InstanceId, _PeerUsage] = {}

    def set_limit(self, limit: Limit, now_s: float) -> None:
        """Replace the limit."""
        self._advance(now_s)
        self.limit = limit
        self._level = min(self._level, limit.burst)

    def level(self, now_s: float) -> float:
        """Return the number of tokens, which is negative after overuse."""
        self._advance(now_s)
        return self._level

    def take(self, now_s: float, leave: float = 0.0) -> float:
        """Take a token for a request, beyond ``leave`` tokens, and return 0.

        If there is none, take nothing and return the number of seconds until
        there will be one.
        """
        wait_s = self.wait_s(now_s, leave)
        if not wait_s:
            self._level -= 1
            self.spent += 1
        return wait_s

    def wait_s(self, now_s: float, leave: float = 0.0) -> float:
        """Return the seconds until :meth:`take` succeeds, 0 for now.

        A full bucket always has a token: ``leave`` may exceed the burst.
        """
        self._advance(now_s)
        needed = min(1 + leave, max(1.0, self.limit.burst))
        missing = needed - self._level
        if missing <= _ROUNDING:
            return 0
        if self.limit.rate_per_s <= 0:
            return math.inf
        return missing / self.limit.rate_per_s

    def others_per_s(
        self,
        now_s: float,
        excluded: Container[ids.InstanceId],
    ) -> float:
        """Return the rate at which daemons not in ``excluded`` take tokens.

        Together with this one they have equal parts of the limit at most: a
        daemon that used a burst does not go on at that rate.
        """
        self._advance(now_s)
        rates_per_s = [
            self._assumed_per_s(source, peer)
            for source, peer in self._peers.items()
            if source not in excluded
        ]
        active = sum(rate_per_s > 0 for rate_per_s in rates_per_s)
        max_per_s = self.limit.rate_per_s * active / (active + 1)
        return min(sum(rates_per_s), max_per_s)

    def refund(self, now_s: float) -> None:
        """Put back the token of a request that did not run."""
        self._advance(now_s)
        self.spent -= 1
        self._change(1)

    def usage(self, now_s: float) -> Usage:
        """Return the usage to report to other daemons."""
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
        """Apply the usage that another daemon reported.

        ``is_new`` means that it started less than a window ago: then all
        requests that it admitted count, and its level does not, because it
        knows no more about other daemons than this one.
        """
        self._advance(now_s)
        peer = self._peers.get(source)
        if peer is None:
            self._peers[source] = _PeerUsage(usage.spent, now_s)
            if is_new:
                self._change(-usage.spent)
            else:
                # The reported level includes what it admitted earlier.
                self._level = min(self._level, usage.level)
            return
        spent = usage.spent - peer.spent
        elapsed_s = max(_ROUNDING, now_s - peer.received_s)
        weight = 1 - math.exp(-elapsed_s / _RATE_TIME_S)
        rate_per_s = max(0, spent) / elapsed_s
        peer.rate_per_s += weight * (rate_per_s - peer.rate_per_s)
        self._change(peer.assumed - spent)
        peer.assumed = 0.0
        peer.spent = usage.spent
        peer.received_s = now_s

    def forget(self, source: ids.InstanceId) -> None:
        """Drop the usage of a daemon that is gone."""
        self._peers.pop(source, None)

    def _advance(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        assumed = sum(
            self._assume(source, peer, elapsed_s)
            for source, peer in self._peers.items()
        )
        self._change(self.limit.rate_per_s * elapsed_s - assumed)

    def _assume(
        self,
        source: ids.InstanceId,
        peer: _PeerUsage,
        elapsed_s: float,
    ) -> float:
        """Return how many requests a daemon is assumed to have admitted."""
        last_seen_s = self._last_seen_s.get(source, 0.0)
        if last_seen_s > peer.received_s and peer.assumed:
            self._change(peer.assumed)
            peer.assumed = 0.0
        assumed = self._assumed_per_s(source, peer) * elapsed_s
        peer.assumed += assumed
        return assumed

    def _assumed_per_s(self, source: ids.InstanceId, peer: _PeerUsage) -> float:
        now_s = self._updated_s
        last_seen_s = self._last_seen_s.get(source, 0.0)
        rate_per_s = peer.rate_per_s
        if now_s - max(last_seen_s, peer.received_s) > _RECENT_S:
            # A daemon that is cut off admits up to an equal share of the limit,
            # as this one does.
            fair_per_s = self.limit.rate_per_s / (len(self._peers) + 1)
            return max(rate_per_s, fair_per_s)
        if last_seen_s > peer.received_s or rate_per_s < _MIN_RATE_PER_S:
            return 0.0
        return rate_per_s

    def _change(self, tokens: float) -> None:
        self._level = min(self.limit.burst, self._level + tokens)
