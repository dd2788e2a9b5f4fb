"""The state that a daemon keeps for a service between requests."""

import dataclasses
import random
from collections.abc import Callable, Collection, Mapping
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import lost_connections, snapshots, stated_targets
from sardinepier.health import service_health, targets
from sardinepier.routing import (
    admission,
    budget,
    caller_limits,
    choice,
    hedging,
    in_flight,
)
from sardinepier.settings import model

_IDLE_TICKS: Final = 5
_MAX_TRACKED_CALLERS: Final = 8192
_SLOT_OPTIONS: Final = in_flight.SlotOptions()
_NO_INCARNATION: Final = ids.TargetIncarnation('')

NO_TARGET: Final = ids.TargetId('')
"""Returned instead of a target when no target can accept the request."""

MakeHealth = Callable[[model.ServiceSettings], service_health.ServiceHealth]
ConfigureHealth = Callable[
    [service_health.ServiceHealth, model.ServiceSettings, int],
    None,
]
MakeChooser = Callable[[], choice.TargetChooser]


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeParts:
    """The dependencies that all service runtimes share.

    ``make_health`` creates the health checks of a new service.
    ``configure_health`` applies changed settings of a service, or a changed
    number of daemons in its group. ``slot_options`` must match the interval at
    which the daemons of a group report.
    """

    clock: clocks.Clock
    random_source: random.Random
    make_health: MakeHealth
    configure_health: ConfigureHealth
    make_chooser: MakeChooser
    slot_options: in_flight.SlotOptions = _SLOT_OPTIONS


class ServiceRuntime:
    """Targets, slots, queue, budgets and limits of one service."""

    def __init__(
        self,
        settings: model.ServiceSettings,
        parts: RuntimeParts,
    ) -> None:
        """Start with the service's first snapshot."""
        self._parts = parts
        self._incarnations: dict[ids.TargetId, ids.TargetIncarnation] = {}
        self._attempts = 0
        self._evaluated_attempts = 0
        self._skipped_ticks = 0
        self._group_size = 1
        self._weights: dict[ids.TargetId, float] = {}
        self.last_used_s = float('-inf')
        self._hedge_delays: dict[ids.RouteName, hedging.HedgeDelay] = {}
        self.health = parts.make_health(settings)
        self.slots = in_flight.TargetSlots(
            parts.clock,
            parts.random_source,
            parts.slot_options,
        )
        self.chooser = parts.make_chooser()
        self.statements = stated_targets.StatedTargets(
            parts.clock,
            parts.random_source,
        )
        self.lost_connections = lost_connections.LostConnections(parts.clock)
        self.snapshot = snapshots.ServiceSnapshot(settings)
        self._build_admission()
        self._apply_targets()

    def update(self, settings: model.ServiceSettings) -> None:
        """Apply new settings; targets that remain keep their state."""
        if settings is self.snapshot.settings:
            return
        before = self.snapshot.settings
        self.snapshot = snapshots.ServiceSnapshot(settings)
        if _admission_settings(before) != _admission_settings(settings):
            self._build_admission()
        self._configure_health()
        self._apply_targets()

    def set_group(
        self,
        other_daemons: Collection[ids.InstanceId],
        own: ids.InstanceId | None,
    ) -> None:
        """Set which daemons evaluate this service and share its slots.

        ``own`` is None when this daemon is not one of them.
        """
        self.slots.set_group(other_daemons, own)
        self.statements.set_senders(other_daemons, own)
        self._group_size = len(other_daemons) + (own is not None)
        self._configure_health()

    def set_incarnations(
        self,
        listed: Mapping[ids.TargetId, ids.TargetIncarnation],
    ) -> None:
        """Apply the incarnations in the platform's instance list."""
        if self._incarnations != listed:
            before = self._incarnations
            self._incarnations = dict(listed)
            self.statements.forget(
                [
                    target_id
                    for target_id in listed
                    if before.get(target_id) != listed[target_id]
                ],
            )
            self._apply_targets()

    def tick(self) -> None:
        """Evaluate the targets again and serve the queue.

        A service without requests is evaluated only at every fifth call: an
        evaluation visits all targets, and there is hardly any new evidence.
        """
        self._skipped_ticks += 1
        is_busy = self._attempts != self._evaluated_attempts or len(self.queue)
        if not is_busy and not self.slots.report():
            if self._skipped_ticks < _IDLE_TICKS:
                return
        self._skipped_ticks = 0
        self._evaluated_attempts = self._attempts
        self.health.tick()
        self.refresh()

    def refresh(self) -> None:
        """Apply the health of the targets to their selection weights."""
        for target_id in self.snapshot.targets:
            weight = self.health.standing(target_id).weight
            if weight != self._weights.get(target_id):
                self._weights[target_id] = weight
                self.slots.set_weight(target_id, weight)
        self.queue.wake()

    def mark_leaving(self, target_id: ids.TargetId) -> bool:
        """Send no more requests to this incarnation; return True if new."""
        incarnation = self._incarnations.get(target_id, _NO_INCARNATION)
        is_new = self.health.mark_leaving(target_id, incarnation)
        if is_new:
            self.refresh()
        return is_new

    def next_attempt(self) -> int:
        """Return a unique number for an attempt."""
        self._attempts += 1
        return self._attempts

    def release(self, target_id: ids.TargetId) -> None:
        """Release a slot and serve the next request in the queue."""
        self.slots.release(target_id)
        self.queue.wake()

    def record_lost_connection(
        self,
        target_id: ids.TargetId,
        *,
        is_earlier_loss_explained: bool = False,
    ) -> bool:
        """Record a lost connection; return True if the target was healthy.

        A suspected target that still gets requests counts as healthy: a
        single crash makes a target suspected, and the next request that
        crashes it must be quarantined after as many targets as the first. An
        earlier loss counts against the target, unless
        ``is_earlier_loss_explained`` by a request suspected of crashing it.
        """
        is_first = (
            self.lost_connections.record(target_id) or is_earlier_loss_explained
        )
        standing = self.health.standing(target_id)
        is_ejected = standing.state is targets.TargetState.EJECTED
        return is_first and standing.weight > 0 and not is_ejected

    def hedge_policy(self, route: model.RouteSettings) -> hedging.HedgePolicy:
        """Return when to hedge a request of ``route``."""
        return hedging.HedgePolicy(
            self.hedge_delay(route.name),
            self.hedge_budget,
            idempotent=route.idempotent and route.hedged,
        )

    def hedge_delay(self, route: ids.RouteName) -> hedging.HedgeDelay:
        """Return the hedge delay that follows the route's latency."""
        delay = self._hedge_delays.get(route)
        if delay is None:
            delay = hedging.HedgeDelay()
            self._hedge_delays[route] = delay
        return delay

    def _build_admission(self) -> None:
        settings = self.snapshot.settings
        clock = self._parts.clock
        # A replaced queue still serves its waiting requests: its own timer
        # looks for free slots until it is empty.
        self.queue = admission.SlotQueue(
            clock,
            settings.queue_length,
            self._parts.random_source,
            self._release_unused,
            lambda: self.statements.forecast(self.health.selectable()),
        )
        self.retry_budget = budget.RetryBudget(
            clock,
            settings.retry_budget_percent,
        )
        self.hedge_budget = budget.RetryBudget(
            clock,
            settings.hedge_budget_percent,
        )
        self.caller_limits = caller_limits.CallerLimits(
            clock,
            settings.caller_requests_per_s,
            settings.caller_burst_requests,
            _MAX_TRACKED_CALLERS,
            self._parts.random_source,
        )

    def _release_unused(self, target_id: ids.TargetId) -> None:
        if target_id != NO_TARGET:
            self.slots.release(target_id)
            self.statements.refund(target_id)

    def _configure_health(self) -> None:
        self._parts.configure_health(
            self.health,
            self.snapshot.settings,
            max(1, self._group_size),
        )

    def _apply_targets(self) -> None:
        settings = self.snapshot.settings
        # ``slots.set_targets`` loses the weights of targets that it adds again.
        self._weights.clear()
        max_slots = settings.connections_per_target
        self.health.set_targets(
            targets.TargetIdentity(
                target.target_id,
                self._incarnations.get(target.target_id, _NO_INCARNATION),
                target.slots,
            )
            for target in settings.targets
        )
        self.slots.set_targets(
            in_flight.TargetCapacity(
                target.target_id,
                target.zone,
                min(target.slots, max_slots),
            )
            for target in settings.targets
        )
        self.lost_connections.keep(frozenset(self.snapshot.targets))
        self.statements.keep(frozenset(self.snapshot.targets))
        names = {route.name for route in settings.routes}
        self._hedge_delays = {
            name: delay
            for name, delay in self._hedge_delays.items()
            if name in names
        }
        self.refresh()


def _admission_settings(settings: model.ServiceSettings) -> tuple[float, ...]:
    return (
        settings.queue_length,
        settings.retry_budget_percent,
        settings.hedge_budget_percent,
        settings.caller_requests_per_s,
        settings.caller_burst_requests,
    )
