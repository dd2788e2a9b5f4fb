"""The limits of all customers over a whole fleet, kept by one daemon."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.routing import fleet_bucket
from sardinepier.routing.internal import peer_liveness

_START_SHARE: Final = 0.35
"""Of the leeway, for what a daemon that starts lets through before it hears what
others did: they and those that ran before it have the rest."""

_KNOWS_S: Final = 10.0
"""How long after the last news of others this daemon goes by what it heard."""

_BESIDE_BURST: Final = 2.0
_BESIDE_PER_S: Final = 0.2
"""Requests of one customer that a daemon lets through which hears nothing of
others: it is one of many, and gets few."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leeway:
    """By how much a limit may be exceeded over the whole fleet.

    In no span of ``window_s`` more than (rate x window + burst) x (1 +
    ``overshoot``) + ``slack`` requests of a customer may run. A limit that falls
    may take effect ``lower_after_s`` after it came: customers were told the old
    one until then, and other daemons may not know the new one.
    """

    window_s: float = 5.0
    overshoot: float = 0.25
    slack: float = 20.0
    lower_after_s: float = 5.0

    def start_level(self, limit: fleet_bucket.Limit) -> float:
        """Return the level of a bucket of whose past nothing is known."""
        window = limit.rate_per_s * self.window_s + limit.burst
        spare = self.overshoot * window + self.slack
        return min(limit.burst, _START_SHARE * spare)


DEFAULT_LEEWAY: Final = Leeway()


class FleetLimits:
    """Lets the requests of each customer through, or says when to come again.

    For example::

        limits = FleetLimits(clock, Leeway())
        limits.set({customer: fleet_bucket.Limit(20.0, 40.0)})
        wait_s = limits.take(customer)

    ``receives_updates`` is set while others tell this daemon what they do.
    """

    def __init__(self, clock: clocks.Clock, leeway: Leeway) -> None:
        """Start without limits."""
        self.receives_updates = True
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._leeway = leeway
        self._limits: Mapping[ids.CustomerName, fleet_bucket.Limit] = {}
        self._lower_at_s: dict[ids.CustomerName, float] = {}
        self._buckets: dict[ids.CustomerName, fleet_bucket.FleetBucket] = {}
        self._beside: dict[ids.CustomerName, fleet_bucket.FleetBucket] = {}
        self._others = peer_liveness.PeerLiveness()
        self._newest_s = -math.inf
        self._changed: set[ids.CustomerName] = set()

    @property
    def has_no_limits(self) -> bool:
        """Tell whether no customer has a limit."""
        return not self._limits

    def set(
        self,
        limits: Mapping[ids.CustomerName, fleet_bucket.Limit],
    ) -> None:
        """Put limits in force; those that are not named have none."""
        now_s = self._clock.monotonic_s()
        self._limits = limits
        for known in (self._buckets, self._beside, self._lower_at_s):
            for gone in known.keys() - limits.keys():
                del known[gone]
        for name, bucket in self._buckets.items():
            self._change(name, bucket, now_s)

    def take(self, customer: ids.CustomerName) -> float:
        """Let a request through, and return 0, or in how many seconds to try."""
        if customer not in self._limits:
            return 0
        now_s = self._clock.monotonic_s()
        if not self._knows_others(now_s):
            wait_s = self._small_bucket(customer, now_s).take(now_s)
            if wait_s:
                return wait_s
        wait_s = self._bucket(customer, now_s).take(now_s)
        if not wait_s:
            self._changed.add(customer)
        return wait_s

    def refund(self, customer: ids.CustomerName) -> None:
        """Return what was taken for a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.refund(self._clock.monotonic_s())
            self._changed.add(customer)

    def age_s(self) -> float:
        """Return for how long this daemon has counted."""
        return self._clock.monotonic_s() - self._started_s

    def take_updates(
        self,
        *,
        is_all: bool = False,
    ) -> dict[ids.CustomerName, fleet_bucket.Usage]:
        """Return what changed since the last call, to be told to others.

        With ``is_all`` it is all that was ever let through, for those who
        have not been told before.
        """
        now_s = self._clock.monotonic_s()
        wanted = self._changed & self._buckets.keys()
        if is_all:
            wanted |= {
                name for name, bucket in self._buckets.items() if bucket.spent
            }
        self._changed = set()
        return {name: self._buckets[name].usage(now_s) for name in wanted}

    def receive_usage(
        self,
        source: ids.InstanceId,
        zone: ids.ZoneName,
        news: Mapping[ids.CustomerName, fleet_bucket.Usage],
        *,
        sends_regularly: bool = True,
        age_s: float = math.inf,
    ) -> None:
        """Take in the news of another daemon; it is complete.

        ``sends_regularly`` says that it will tell again soon, with news or without, so
        that its silence means something. ``age_s`` is how long ago it started.
        """
        now_s = self._clock.monotonic_s()
        is_new = age_s < self._leeway.window_s
        for customer, usage in news.items():
            if customer in self._limits:
                self._bucket(customer, now_s).receive_usage(
                    source,
                    usage,
                    now_s,
                    is_new=is_new,
                )
        self._newest_s = now_s
        for gone in self._others.note(
            source, zone, now_s, sends_regularly=sends_regularly
        ):
            for bucket in self._buckets.values():
                bucket.forget(gone)

    def _change(
        self,
        customer: ids.CustomerName,
        bucket: fleet_bucket.FleetBucket,
        now_s: float,
    ) -> None:
        """Put a limit in force that rose, and one that fell when it is time."""
        limit = self._limits[customer]
        if limit.rate_per_s >= bucket.limit.rate_per_s:
            self._lower_at_s.pop(customer, None)
            bucket.set_limit(limit, now_s)
            return
        after_s = now_s + self._leeway.lower_after_s
        if now_s >= self._lower_at_s.setdefault(customer, after_s):
            del self._lower_at_s[customer]
            bucket.set_limit(limit, now_s)

    def _knows_others(self, now_s: float) -> bool:
        return self.receives_updates or now_s - self._newest_s < _KNOWS_S

    def _bucket(
        self,
        customer: ids.CustomerName,
        now_s: float,
    ) -> fleet_bucket.FleetBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            limit = self._limits[customer]
            bucket = fleet_bucket.FleetBucket(
                limit,
                self._leeway.start_level(limit),
                now_s,
                self._others.last_seen_s,
            )
            self._buckets[customer] = bucket
        if customer in self._lower_at_s:
            self._change(customer, bucket, now_s)
        return bucket

    def _small_bucket(
        self,
        customer: ids.CustomerName,
        now_s: float,
    ) -> fleet_bucket.FleetBucket:
        bucket = self._beside.get(customer)
        if bucket is None:
            limit = fleet_bucket.Limit(_BESIDE_PER_S, _BESIDE_BURST)
            bucket = fleet_bucket.FleetBucket(limit, _BESIDE_BURST, now_s, {})
            self._beside[customer] = bucket
        return bucket
