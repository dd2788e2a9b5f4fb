"""The configuration in force and the targets of its services."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Final

import xxhash

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import connectivity as connectivities
from sardinepier.entry import (
    customers,
    events,
    idle_threshold,
    incarnations,
    model,
    refusals,
    route_table,
    service_pool,
)
from sardinepier.entry import confirmation as confirmations
from sardinepier.entry import stated_load as stated_loads
from sardinepier.health import failure_estimate
from sardinepier.routing import customer_queues, fleet_limits
from sardinepier.telemetry import logs

_MAX_NAMED: Final = 16
"""Target ids in one list of a log line, which must stay short in a large
fleet."""

_RETRY_AFTER_S: Final = 0.2
_UNKNOWN: Final = -1
_MS_PER_S: Final = 1000
_DIGEST_BITS: Final = 63
"""Bits of a non-negative integer in a message."""


class ServiceRegistry:
    """Keeps the newest configuration and target list and ignores older ones."""

    def __init__(
        self,
        zone: ids.ZoneName,
        clock: clocks.Clock,
        random_source: random.Random,
        retry_percent: float,
        options: failure_estimate.EstimateOptions,
        min_used_share: float = idle_threshold.MIN_USED_SHARE,
        confirmed_within_s: float | None = None,
        leeway: fleet_limits.Leeway = fleet_limits.DEFAULT_LEEWAY,
    ) -> None:
        """Start without a configuration and without targets.

        Requests with a key need a confirmation of the configuration that is
        no older than ``confirmed_within_s``; None means that they need none.
        Limits of customers may be exceeded by ``leeway`` over the whole fleet.

        ``targets_age_s`` is set by the code that knows when the list was
        requested from the platform, and ``on_outcome`` by the code that
        observes the outcomes of attempts.
        """
        self.configuration: model.ServedConfiguration | None = None
        self.customers: customers.CustomerTable | None = None
        self.confirmation = confirmations.Confirmation(
            clock, confirmed_within_s
        )
        self.connectivity = connectivities.Connectivity(clock)
        self.limits = fleet_limits.FleetLimits(clock, leeway)
        self.customer_queues = customer_queues.CustomerQueues(
            clock, random_source, self.limits
        )
        self.targets: model.TargetList | None = None
        self.targets_digest = 0
        self.peer_reports = stated_loads.PeerReports()
        self.on_outcome: Callable[[bool], None] = _ignore_outcome
        self.targets_age_s: Callable[[], float | None] = _unknown_age
        self.zone: Final = zone
        self._clock = clock
        self._random = random_source
        self._retry_percent = retry_percent
        self.estimate_options = options
        self._min_used_share = min_used_share
        self._retry_burst = 0.0
        self._shares_zone = False
        self._unreachable_zones: frozenset[ids.ZoneName] = frozenset()
        self._incarnations = incarnations.NewestIncarnations()
        self._has_table = asyncio.Event()
        self._table: route_table.RouteTable | None = None
        self._pools: dict[ids.ServiceName, service_pool.ServicePool] = {}

    def versions(self) -> tuple[int, int]:
        """Return the configuration's version and the target list's revision.

        Each is -1 while there is none.
        """
        configuration = self.configuration
        targets = self.targets
        return (
            configuration.version if configuration else _UNKNOWN,
            targets.revision if targets else _UNKNOWN,
        )

    def offer_configuration(self, offered: model.ServedConfiguration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        current = self.configuration
        if current is not None and offered.version <= current.version:
            return False
        self.configuration = offered
        self._table = route_table.RouteTable(offered, self._random)
        self._apply_customers(offered.customers)
        self._has_table.set()
        return True

    def offer_targets(self, offered: model.TargetList) -> bool:
        """Apply a target list; return whether it changes any target.

        A list of a lower revision is ignored. Lists of the same revision may
        differ in entries that were kept for a while after they had expired.
        """
        current = self.targets
        if current is not None and offered.revision < current.revision:
            return False
        if current is not None and offered.targets == current.targets:
            self.targets = offered
            return False
        self._log_changes(current, offered)
        self.targets = offered
        self.targets_digest = digest_of(offered)
        by_service: dict[ids.ServiceName, list[model.ListedTarget]] = {
            name: [] for name in self._pools
        }
        for target in self._incarnations.keep_newest(offered.targets):
            by_service.setdefault(target.service, []).append(target)
        for name, listed in by_service.items():
            self.pool(name).set_targets(listed)
        return True

    def pool(self, name: ids.ServiceName) -> service_pool.ServicePool:
        """Return the pool of a service, which may have no targets."""
        pool = self._pools.get(name)
        if pool is None:
            pool = service_pool.ServicePool(
                name,
                self.zone,
                self._clock,
                self._random,
                self._retry_percent,
                self.estimate_options,
                self._min_used_share,
            )
            pool.retry_budget.set_burst(self._retry_burst)
            pool.targets.load_meaning.reports = self.peer_reports
            pool.shares_zone = self._shares_zone
            pool.unreachable_zones = self._unreachable_zones
            pool.on_outcome = self.on_outcome
            self._pools[name] = pool
        return pool

    def set_retry_burst(self, attempts: float) -> None:
        """Grant each service retries beyond the percentage."""
        self._retry_burst = attempts
        for pool in self._pools.values():
            pool.retry_budget.set_burst(attempts)

    def set_shares_zone(self, *, shares_zone: bool) -> None:
        """Set whether other daemons send requests for the zone, too."""
        self._shares_zone = shares_zone
        for pool in self._pools.values():
            pool.shares_zone = shares_zone

    def set_unreachable_zones(self, zones: frozenset[ids.ZoneName]) -> None:
        """Explore targets of these zones, too, as no daemon there does."""
        self._unreachable_zones = zones
        for pool in self._pools.values():
            pool.unreachable_zones = zones

    def pools(self) -> Iterable[service_pool.ServicePool]:
        """Return the pools of all services."""
        return self._pools.values()

    def is_cut_off_from_all(self) -> bool:
        """Return whether no target of any service can be connected to."""
        known = [pool.name for pool in self.pools() if pool.targets.records()]
        return bool(known) and all(map(self.connectivity.is_cut_off, known))

    def failed_targets(self) -> list[ids.TargetId]:
        """Return some targets that could not be connected to lately."""
        failed = itertools.chain.from_iterable(
            self.connectivity.failed_targets(pool.name) for pool in self.pools()
        )
        return sorted(failed)[:_MAX_NAMED]

    async def wait_until_configured(self, within_s: float) -> None:
        """Wait until there is a configuration, ``within_s`` at most."""
        if self._table is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._has_table.wait()

    def targets_age_ms(self) -> int:
        """Return the age of the list in use, -1 for unknown."""
        age_s = self.targets_age_s()
        return _UNKNOWN if age_s is None else round(age_s * _MS_PER_S)

    def routes(self) -> route_table.RouteTable:
        """Return the routes in force; raise ``NotConfiguredError``."""
        if self._table is None:
            raise refusals.NotConfiguredError(
                'This daemon has no configuration yet',
                'Retry after the stated time, or at another daemon',
                _RETRY_AFTER_S,
            )
        return self._table

    def _apply_customers(
        self,
        offered: tuple[model.Customer, ...] | None,
    ) -> None:
        self.customers = None
        if offered is not None:
            self.customers = customers.CustomerTable(offered)
        self.limits.set(customers.rate_limits(offered or ()))
        self.customer_queues.limits_changed()

    def _log_changes(
        self,
        current: model.TargetList | None,
        offered: model.TargetList,
    ) -> None:
        """Log the changes of a new list in one line."""
        before = _states(current)
        after = _states(offered)
        if before == after:
            return
        draining = model.TargetState.DRAINING
        logs.write(
            events.TargetsChanged(
                revision=offered.revision,
                age_ms=self.targets_age_ms(),
                added=sorted(after.keys() - before.keys())[:_MAX_NAMED],
                gone=sorted(before.keys() - after.keys())[:_MAX_NAMED],
                draining=sorted(
                    target_id
                    for target_id, state in after.items()
                    if state is draining
                    and before.get(target_id) is not draining
                )[:_MAX_NAMED],
            ),
        )


def _states(
    listed: model.TargetList | None,
) -> dict[ids.TargetId, model.TargetState]:
    if listed is None:
        return {}
    return {target.target_id: target.state for target in listed.targets}


def digest_of(listed: model.TargetList) -> int:
    """Return a number that is equal for equal targets in any order.

    The remaining warm-up time is left out, as it changes with each snapshot.
    """
    # A sum of hashes does not depend on the order.
    lines = (_target_line(target).encode() for target in listed.targets)
    return int(sum(map(xxhash.xxh3_64_intdigest, lines)) % 2**_DIGEST_BITS)


def _target_line(target: model.ListedTarget) -> str:
    place = f'{target.ip} {target.port} {target.zone}'
    kind = f'{target.service} {target.slots} {target.state.value}'
    return f'{target.target_id} {place} {kind}\n'


def _unknown_age() -> None:
    """Act as ``targets_age_s`` until a callback is set."""


def _ignore_outcome(is_good: bool) -> None:
    """Act as ``on_outcome`` until a callback is set."""
