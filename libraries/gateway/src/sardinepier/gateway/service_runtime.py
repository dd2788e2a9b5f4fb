"""What a daemon learns and counts about its services between requests."""

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

_QUIET_TICKS: Final = 5
_CALLERS_REMEMBERED: Final = 8192
_SLOT_OPTIONS: Final = in_flight.SlotOptions()
_NO_INCARNATION: Final = ids.TargetIncarnation('')

NO_TARGET: Final = ids.TargetId('')
"""Stands for a slot at no target, given to a request that can't get one."""

MakeHealth = Callable[[model.ServiceSettings], service_health.ServiceHealth]
ConfigureHealth = Callable[
    [service_health.ServiceHealth, model.ServiceSettings, int],
    None,
]
MakeChooser = Callable[[], choice.TargetChooser]


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeParts:
    """What all services are made from.

    ``make_health`` builds the judge of a new service. ``configure_health``
    puts changed settings of a known service in force, or a changed number of
    daemons that judge it together. ``slot_options`` must fit how often the
    daemons of a group report.
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
        self._judged_attempts = 0
        self._quiet_ticks = 0
        self._group_size = 1
        self._weights: dict[ids.TargetId, float] = {}
        self.last_used_s = float('-inf')
        self._hedges: dict[ids.RouteName, hedging.HedgeDelay] = {}
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
        self._build()
        self._apply_targets()

    def update(self, settings: model.ServiceSettings) -> None:
        """Take a new file; targets that stay keep their state."""
        if settings is self.snapshot.settings:
            return
        before = self.snapshot.settings
        self.snapshot = snapshots.ServiceSnapshot(settings)
        if _figures(before) != _figures(settings):
            self._build()
        self._configure_health()
        self._apply_targets()

    def set_group(
        self,
        others: Collection[ids.InstanceId],
        own: ids.InstanceId | None,
    ) -> None:
        """Set which daemons judge this service and share its slots.

        ``own`` is None when this daemon is not one of them.
        """
        self.slots.set_group(others, own)
        self.statements.set_senders(others, own)
        self._group_size = len(others) + (own is not None)
        self._configure_health()

    def set_incarnations(
        self,
        listed: Mapping[ids.TargetId, ids.TargetIncarnation],
    ) -> None:
        """Take the targets' starts from the platform's instance list."""
        if self._incarnations != listed:
            before = self._incarnations
            self._incarnations = dict(listed)
            self.statements.forget(
                [one for one in listed if before.get(one) != listed[one]],
            )
            self._apply_targets()

    def tick(self) -> None:
        """Judge the targets anew and hand out what came free.

        A service without requests is judged at every fifth call only: each
        judgement looks at all targets, and there is next to nothing new.
        """
        self._quiet_ticks += 1
        is_busy = self._attempts != self._judged_attempts or len(self.queue)
        if not is_busy and not self.slots.report():
            if self._quiet_ticks < _QUIET_TICKS:
                return
        self._quiet_ticks = 0
        self._judged_attempts = self._attempts
        self.health.tick()
        self.refresh()

    def refresh(self) -> None:
        """Let the choice of targets follow their health."""
        for target_id in self.snapshot.targets:
            weight = self.health.standing(target_id).weight
            if weight != self._weights.get(target_id):
                self._weights[target_id] = weight
                self.slots.set_weight(target_id, weight)
        self.queue.wake()

    def mark_leaving(self, target_id: ids.TargetId) -> bool:
        """Give no more work to this start of a target; True when new."""
        incarnation = self._incarnations.get(target_id, _NO_INCARNATION)
        is_new = self.health.mark_leaving(target_id, incarnation)
        if is_new:
            self.refresh()
        return is_new

    def next_attempt(self) -> int:
        """Return a number for an attempt, never given before."""
        self._attempts += 1
        return self._attempts

    def release(self, target_id: ids.TargetId) -> None:
        """Give back a slot and let the next request have it."""
        self.slots.release(target_id)
        self.queue.wake()

    def record_lost_connection(
        self,
        target_id: ids.TargetId,
        *,
        is_earlier_loss_explained: bool = False,
    ) -> bool:
        """Note a lost connection; True if the target seemed healthy.

        One under suspicion that still gets work counts as healthy: one crash
        is enough for that, and the next request that crashes it is to be held
        back after as many targets as the first. An earlier loss counts
        against the target unless ``is_earlier_loss_explained`` by a request
        that is suspected of crashing it.
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
        """Return what was learned of the route's latency."""
        delay = self._hedges.get(route)
        if delay is None:
            delay = hedging.HedgeDelay()
            self._hedges[route] = delay
        return delay

    def _build(self) -> None:
        settings = self.snapshot.settings
        clock = self._parts.clock
        # A queue that is replaced still serves those who wait in it: its
        # own timer looks for free slots while anybody waits.
        self.queue = admission.SlotQueue(
            clock,
            settings.queue_length,
            self._parts.random_source,
            self._give_back,
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
            _CALLERS_REMEMBERED,
            self._parts.random_source,
        )

    def _give_back(self, target_id: ids.TargetId) -> None:
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
        # The slots forget the weights of targets that they take anew.
        self._weights.clear()
        most = settings.connections_per_target
        self.health.set_targets(
            targets.TargetIdentity(
                one.target_id,
                self._incarnations.get(one.target_id, _NO_INCARNATION),
                one.slots,
            )
            for one in settings.targets
        )
        self.slots.set_targets(
            in_flight.TargetCapacity(
                one.target_id,
                one.zone,
                min(one.slots, most),
            )
            for one in settings.targets
        )
        self.lost_connections.keep(frozenset(self.snapshot.targets))
        self.statements.keep(frozenset(self.snapshot.targets))
        names = {route.name for route in settings.routes}
        self._hedges = {
            name: delay for name, delay in self._hedges.items() if name in names
        }
        self.refresh()


def _figures(settings: model.ServiceSettings) -> tuple[float, ...]:
    return (
        settings.queue_length,
        settings.retry_budget_percent,
        settings.hedge_budget_percent,
        settings.caller_requests_per_s,
        settings.caller_burst_requests,
    )
