"""Emulated daemons, with the real request path and the real zone sharing."""

import asyncio
import ipaddress
import random
from collections.abc import Mapping, Sequence
from typing import Any, cast, Final

from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    context,
    decision_log,
    forwarding,
    header_names,
    model,
    path_check,
)
from sardinepier.entry import caller_request
from sardinepier.entry import relay_messages, relay_service, relaying
from sardinepier.entry import request_metrics as entry_metrics
from sardinepier.entry import service_registry
from sardinepier.gateway import active_requests, buffer_budget
from sardinepier.health import failure_estimate
from sardinepier.membership import members as fleet
from sardinepier.once import quarantine
from sardinepier.wire import memory_network, messages
from sardinepier.workbench.policy import (
    client,
    relays,
    scenario,
    tally,
    targets,
    virtual_loop,
)
from sardinepier.zones import (
    carriers,
    expired_entries,
    quarantine_sharing,
    relay_peers,
    sharing,
    zone_load,
)

_PORT: Final = 7000
_FIRST_ADDRESS: Final = ipaddress.IPv4Address('10.9.0.1')


class FleetView:
    """The member list of one daemon; it never changes."""

    version = 1

    def __init__(
        self,
        fleet_members: Sequence[fleet.Member],
        own: fleet.Member,
    ) -> None:
        """Give ``fleet_members`` as the members that ``own`` knows."""
        self._members = tuple(fleet_members)
        self.own = own

    def members(self) -> tuple[fleet.Member, ...]:
        """Return all daemons."""
        return self._members

    def serving(self) -> tuple[fleet.Member, ...]:
        """Return all daemons."""
        return self._members

    def find(self, instance_id: ids.InstanceId) -> fleet.Member | None:
        """Return the daemon with that instance id."""
        for member in self._members:
            if member.instance_id == instance_id:
                return member
        return None


class EmulatedDaemon:
    """One incarnation of a daemon; ``links`` are those to the targets."""

    def __init__(
        self,
        setup: scenario.Scenario,
        view: FleetView,
        hub: memory_network.MemoryHub,
        emulated_targets: Sequence[targets.Target],
        random_source: random.Random,
        counts: tally.Tally,
        receivers: Mapping[ids.InstanceId, relays.RelayReceiver],
    ) -> None:
        """Start without any target and estimate.

        Requests are relayed to the daemons in ``receivers``.
        """
        clock = virtual_loop.VirtualClock(asyncio.get_running_loop())
        own = view.own
        services = service_registry.ServiceRegistry(
            own.zone,
            clock,
            random_source,
            setup.retry_percent,
            failure_estimate.EstimateOptions(),
        )
        activity = active_requests.ActiveRequests()
        network = hub.network(
            messages.Sender(own.instance_id, own.peer_address)
        )
        zone_carriers = carriers.Carriers(view, clock)
        self.carriers = zone_carriers
        self._sharing = sharing.ZoneSharing(
            network,
            zone_carriers,
            services,
            expired_entries.ExpiredEntryGuard(clock),
            zone_load.ZoneLoad(clock, activity),
            clock,
            random_source,
            _ignore_configuration,
        )
        services.on_outcome = self._on_outcome
        services.offer_configuration(_configuration(setup))
        services.set_retry_burst(setup.retry_burst)
        shared_quarantine = quarantine.Quarantine(clock)
        marks_sharing = quarantine_sharing.QuarantineSharing(
            network, zone_carriers, shared_quarantine, clock
        )
        self._services = services
        self._activity = activity
        target_client = client.EmulatedClient(
            setup, own, emulated_targets, counts
        )
        self.links = target_client.links
        shared = context.EntryContext(
            clock=clock,
            names=header_names.HeaderNames(),
            client=cast(Any, target_client),
            services=services,
            quarantine=shared_quarantine,
            activity=activity,
            decision_log=decision_log.DecisionLog(services, clock),
            metrics=entry_metrics.RequestMetrics(),
            buffer_budget=buffer_budget.BufferBudget(),
        )
        self._relay_service = relay_service.RelayService(shared)
        self._forwarding = forwarding.Forwarding(
            shared,
            relaying.Relaying(
                shared,
                relay_peers.RelayPeers(zone_carriers, random_source),
                relays.EmulatedTransport(setup, own.zone, receivers),
            ),
        )
        path_checker = path_check.PathChecker(
            services, target_client, random_source
        )
        self._sharing.successors.check_paths = path_checker.check_all
        self._tasks = [
            asyncio.ensure_future(self._sharing.run()),
            asyncio.ensure_future(marks_sharing.run()),
            asyncio.ensure_future(path_checker.run()),
        ]

    def offer_targets(self, listed: model.TargetList) -> None:
        """Apply a list of targets."""
        self._services.offer_targets(listed)

    async def forward(
        self, request: caller_request.CallerRequest
    ) -> answers.Answer:
        """Return a target's answer, or raise the error that the caller gets."""
        with self._activity:
            return await self._forwarding.forward(request)

    async def relayed(
        self,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        """Make an attempt for another daemon."""
        with self._activity:
            return await self._relay_service.attempt(request, attempt)

    def stop(self) -> None:
        """Stop sending updates to the other daemons."""
        for task in self._tasks:
            task.cancel()

    def _on_outcome(self, is_good: bool) -> None:
        if not is_good:
            self._sharing.request_early_beat()


def in_order(zone_daemons: Sequence[EmulatedDaemon]) -> list[EmulatedDaemon]:
    """Return the daemons of a zone, its carriers first."""
    return sorted(zone_daemons, key=lambda daemon: daemon.carriers.own_rank())


def member_of(number: int, zone: str) -> fleet.Member:
    """Return a daemon of a zone; ``number`` is unique in the fleet."""
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
        relay_port=_PORT + 2,
    )


def route_of(request_class: scenario.RequestClass) -> model.Route:
    """Return the route of a class of requests."""
    kind = model.RouteKind.NON_IDEMPOTENT
    if request_class.repeatable:
        kind = model.RouteKind.IDEMPOTENT
    service = ids.ServiceName(request_class.service)
    return model.Route(
        name=ids.RouteName(request_class.name),
        host='',
        prefix='/',
        kind=kind,
        shares=(model.ServiceShare(service, 1.0),),
        timeout_s=request_class.deadline_s,
        target_latency_s=request_class.aim_s,
        priority=request_class.priority,
        max_attempts=request_class.max_attempts,
    )


def _configuration(setup: scenario.Scenario) -> model.ServedConfiguration:
    """Return a configuration with one route for each class of requests."""
    return model.ServedConfiguration(
        1,
        tuple(route_of(request_class) for request_class in setup.classes),
        (),
    )


def _ignore_configuration(configuration: model.ServedConfiguration) -> None:
    """Do nothing: the configuration of an emulation never changes."""
