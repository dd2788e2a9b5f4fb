"""The fleet-wide limits of all customers, as enforced by one daemon."""

import dataclasses
import math
from collections.abc import Container, Iterable, Mapping
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.routing import fleet_bucket
from sardinepier.routing.internal import peer_liveness

_START_SHARE: Final = 0.35
"""Share of the leeway that a starting daemon may use before it receives reports.
The remainder is for the other daemons and for those that ran before it."""

_REPORTS_VALID_S: Final = 10.0
"""For this time after the last report, this daemon relies on what it received."""

_UNINFORMED_BURST: Final = 2.0
_UNINFORMED_PER_S: Final = 0.2
"""Requests of one customer that a daemon admits if it receives no reports. There
may be many such daemons, so each admits only a few."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leeway:
    """By how much a limit may be exceeded over the whole fleet.

    In any period of ``window_s``, at most (rate x window + burst) x (1 +
    ``overshoot``) + ``slack`` requests of a customer may run. A lowered limit may
    take effect ``lower_after_s`` after it was received: until then customers were
    shown the previous limit, and other daemons may not have the new one.
    """

    window_s: float = 5.0
    overshoot: float = 0.25
    slack: float = 20.0
    lower_after_s: float = 5.0

    def start_level(self, limit: fleet_bucket.Limit) -> float:
        """Return the initial level of a bucket whose past use is unknown."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        excess = self.overshoot * allowed + self.slack
        return min(limit.burst, _START_SHARE * excess)


DEFAULT_LEEWAY: Final = Leeway()


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """The tokens of one customer as seen by this daemon.

    ``level`` is the number of tokens now, and ``rate_per_s`` how many are
    added. ``others_per_s`` is the rate at which other daemons take them.
    """

    level: float
    rate_per_s: float
    others_per_s: float


_UNLIMITED: Final = Supply(math.inf, math.inf, 0.0)


class FleetLimits:
    """Admits the requests of each customer or returns how long to wait.

    For example::

        limits = FleetLimits(clock, Leeway())
        limits.set({customer: fleet_bucket.Limit(20.0, 40.0)})
        wait_s = limits.take(customer)

    ``receives_updates`` is true while other daemons report to this one.
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
        self._uninformed_buckets: dict[
            ids.CustomerName, fleet_bucket.FleetBucket
        ] = {}
        self._peers = peer_liveness.PeerLiveness()
        self._last_received_s = -math.inf
        self._changed: set[ids.CustomerName] = set()

    @property
    def has_no_limits(self) -> bool:
        """Whether no customer has a limit."""
        return not self._limits

    @property
    def limits(self) -> Mapping[ids.CustomerName, fleet_bucket.Limit]:
        """The limits that were set last."""
        return self._limits

    def set(
        self,
        limits: Mapping[ids.CustomerName, fleet_bucket.Limit],
    ) -> None:
        """Replace all limits; customers that are not named have none."""
        now_s = self._clock.monotonic_s()
        self._limits = limits
        for by_customer in (
            self._buckets,
            self._uninformed_buckets,
            self._lower_at_s,
        ):
            for removed in by_customer.keys() - limits.keys():
                del by_customer[removed]
        for name, bucket in self._buckets.items():
            self._update_limit(name, bucket, now_s)

    def take(self, customer: ids.CustomerName, leave: float = 0.0) -> float:
        """Admit a request and return 0, or return the seconds to wait.

        A request is admitted only if ``leave`` tokens remain after it.
        """
        wait_s = self.wait_s(customer, leave)
        if wait_s or customer not in self._limits:
            return wait_s
        now_s = self._clock.monotonic_s()
        if not self._has_recent_reports(now_s):
            self._uninformed_bucket(customer, now_s).take(now_s)
        self._changed.add(customer)
        return self._bucket(customer, now_s).take(now_s, leave)

    def wait_s(self, customer: ids.CustomerName, leave: float = 0.0) -> float:
        """Return the seconds until :meth:`take` admits a request, 0 for now."""
        if customer not in self._limits:
            return 0
        now_s = self._clock.monotonic_s()
        wait_s = self._bucket(customer, now_s).wait_s(now_s, leave)
        if self._has_recent_reports(now_s):
            return wait_s
        return max(
            wait_s,
            self._uninformed_bucket(customer, now_s).wait_s(now_s),
        )

    def supply(
        self,
        customer: ids.CustomerName,
        excluded: Container[ids.InstanceId],
    ) -> Supply:
        """Return the tokens of a customer.

        Daemons in ``excluded`` don't count towards ``others_per_s``.
        """
        if customer not in self._limits:
            return _UNLIMITED
        now_s = self._clock.monotonic_s()
        bucket = self._bucket(customer, now_s)
        if not self._has_recent_reports(now_s):
            uninformed = self._uninformed_bucket(customer, now_s)
            return Supply(
                min(bucket.level(now_s), uninformed.level(now_s)),
                uninformed.limit.rate_per_s,
                0.0,
            )
        return Supply(
            bucket.level(now_s),
            bucket.limit.rate_per_s,
            bucket.others_per_s(now_s, excluded),
        )

    def is_limited(self, customer: ids.CustomerName) -> bool:
        """Return whether the customer has a limit."""
        return customer in self._limits

    def refund(self, customer: ids.CustomerName) -> None:
        """Put back the token of a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.refund(self._clock.monotonic_s())
            self._changed.add(customer)

    def age_s(self) -> float:
        """Return for how long this daemon has been counting requests."""
        return self._clock.monotonic_s() - self._started_s

    def take_updates(
        self,
        *,
        is_all: bool = False,
        also: Iterable[ids.CustomerName] = (),
    ) -> dict[ids.CustomerName, fleet_bucket.Usage]:
        """Return the usage that changed since the last call, for reporting.

        That of the customers in ``also`` is returned in any case. With
        ``is_all``, return the usage of all customers, for daemons that have no
        earlier report.
        """
        now_s = self._clock.monotonic_s()
        reported = self._changed.union(also) & self._buckets.keys()
        if is_all:
            reported |= {
                name for name, bucket in self._buckets.items() if bucket.spent
            }
        self._changed = set()
        return {name: self._buckets[name].usage(now_s) for name in reported}

    def receive_usage(
        self,
        source: ids.InstanceId,
        zone: ids.ZoneName,
        updates: Mapping[ids.CustomerName, fleet_bucket.Usage],
        *,
        sends_regularly: bool = True,
        age_s: float = math.inf,
    ) -> None:
        """Apply the usage that another daemon reported.

        ``updates`` must contain all its changes since its previous report.
        ``sends_regularly`` means that it reports again soon, with or without
        changes, so that its silence has a meaning. ``age_s`` is the time since
        it started.
        """
        now_s = self._clock.monotonic_s()
        is_new = age_s < self._leeway.window_s
        for customer, usage in updates.items():
            if customer in self._limits:
                self._bucket(customer, now_s).receive_usage(
                    source,
                    usage,
                    now_s,
                    is_new=is_new,
                )
        self._last_received_s = now_s
        for gone in self._peers.record(
            source, zone, now_s, sends_regularly=sends_regularly
        ):
            for bucket in self._buckets.values():
                bucket.forget(gone)

    def _update_limit(
        self,
        customer: ids.CustomerName,
        bucket: fleet_bucket.FleetBucket,
        now_s: float,
    ) -> None:
        """Apply a raised limit at once, and a lowered one after its delay."""
        limit = self._limits[customer]
        if limit.rate_per_s >= bucket.limit.rate_per_s:
            self._lower_at_s.pop(customer, None)
            bucket.set_limit(limit, now_s)
            return
        lower_at_s = now_s + self._leeway.lower_after_s
        if now_s >= self._lower_at_s.setdefault(customer, lower_at_s):
            del self._lower_at_s[customer]
            bucket.set_limit(limit, now_s)

    def _has_recent_reports(self, now_s: float) -> bool:
        return (
            self.receives_updates
            or now_s - self._last_received_s < _REPORTS_VALID_S
        )

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
                self._peers.last_seen_s,
            )
            self._buckets[customer] = bucket
        if customer in self._lower_at_s:
            self._update_limit(customer, bucket, now_s)
        return bucket

    def _uninformed_bucket(
        self,
        customer: ids.CustomerName,
        now_s: float,
    ) -> fleet_bucket.FleetBucket:
        bucket = self._uninformed_buckets.get(customer)
        if bucket is None:
            limit = fleet_bucket.Limit(_UNINFORMED_PER_S, _UNINFORMED_BURST)
            bucket = fleet_bucket.FleetBucket(
                limit, _UNINFORMED_BURST, now_s, {}
            )
            self._uninformed_buckets[customer] = bucket
        return bucket
