"""Emulated daemons: the real request path and the real sharing of a zone."""

import asyncio
import ipaddress
import random
from collections.abc import Sequence
from typing import Any, cast, Final

from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    buffer_budget,
    context,
    decision_log,
    forwarding,
    header_names,
    model,
    service_registry,
)
from sardinepier.entry import request_metrics as entry_metrics
from sardinepier.entry import caller_request
from sardinepier.gateway import active_requests
from sardinepier.health import failure_estimate
from sardinepier.membership import members as fleet
from sardinepier.once import quarantine
from sardinepier.wire import memory_network, messages
from sardinepier.workbench.policy import (
    client,
    scenario,
    statement_compliance,
    targets,
    virtual_loop,
)
from sardinepier.zones import carriers, expired_entries, sharing, zone_load

_PORT: Final = 7000
_FIRST_ADDRESS: Final = ipaddress.IPv4Address('10.9.0.1')


class FleetView:
    """All daemons, as one of them sees them; they never change."""

    version = 1

    def __init__(
        self,
        known: Sequence[fleet.Member],
        own: fleet.Member,
    ) -> None:
        """Show ``known`` to ``own``."""
        self._known = tuple(known)
        self.own = own

    def members(self) -> tuple[fleet.Member, ...]:
        """Return all daemons."""
        return self._known

    def serving(self) -> tuple[fleet.Member, ...]:
        """Return all daemons."""
        return self._known

    def find(self, instance_id: ids.InstanceId) -> fleet.Member | None:
        """Return the daemon of that name."""
        for one in self._known:
            if one.instance_id == instance_id:
                return one
        return None


class EmulatedDaemon:
    """One start of a daemon that carries its zone."""

    def __init__(
        self,
        setup: scenario.Scenario,
        view: FleetView,
        hub: memory_network.MemoryHub,
        found: Sequence[targets.Target],
        random_source: random.Random,
        watch: statement_compliance.StatementCompliance,
    ) -> None:
        """Know all targets, and nothing of what they are like."""
        clock = virtual_loop.VirtualClock(asyncio.get_running_loop())
        own = view.own
        held = service_registry.ServiceRegistry(
            own.zone,
            clock,
            random_source,
            setup.retry_percent,
            failure_estimate.EstimateOptions(),
        )
        activity = active_requests.ActiveRequests()
        self._sharing = sharing.ZoneSharing(
            hub.network(messages.Sender(own.instance_id, own.peer_address)),
            carriers.Carriers(view, clock),
            held,
            expired_entries.ExpiredEntryGuard(clock),
            zone_load.ZoneLoad(clock, activity),
            clock,
            random_source,
            _ignore,
        )
        held.on_outcome = self._outcome_seen
        held.offer_targets(
            model.TargetList(1, tuple(target.listed for target in found)),
        )
        held.set_retry_burst(setup.retry_burst)
        self._activity = activity
        self._forwarding = forwarding.Forwarding(
            context.EntryContext(
                clock=clock,
                names=header_names.HeaderNames(),
                client=cast(
                    Any,
                    client.EmulatedClient(setup, own, found, watch),
                ),
                services=held,
                quarantine=quarantine.Quarantine(clock),
                activity=activity,
                decision_log=decision_log.DecisionLog(held, clock),
                metrics=entry_metrics.RequestMetrics(),
                buffer_budget=buffer_budget.BufferBudget(),
            ),
        )
        self._beats = asyncio.ensure_future(self._sharing.run())

    async def forward(
        self, item: caller_request.CallerRequest
    ) -> answers.Answer:
        """Return a target's answer, or raise what the caller is told."""
        with self._activity:
            return await self._forwarding.forward(item)

    def stop(self) -> None:
        """Say nothing more to the others."""
        self._beats.cancel()

    def _outcome_seen(self, is_good: bool) -> None:
        if not is_good:
            self._sharing.request_early_beat()


def member_of(number: int, zone: str) -> fleet.Member:
    """Return a daemon of a zone; each has a number of its own."""
    ip = str(_FIRST_ADDRESS + number)
    return fleet.Member(
        instance_id=ids.InstanceId(f'{zone}~{number:016x}'),
        daemon_id=ids.DaemonId(f'{zone}-{number}'),
        zone=ids.ZoneName(zone),
        region=ids.RegionName('r'),
        peer_address=messages.PeerAddress(ip, _PORT),
        http_ip=ip,
        http_port=_PORT + 1,
        incarnation=0,
        state=fleet.MemberState.ALIVE,
        started_at_s=0.0,
    )


def _ignore(taken: model.ServedConfiguration) -> None:
    """Do nothing: configurations don't change here."""
