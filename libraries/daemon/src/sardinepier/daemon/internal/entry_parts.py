"""Builds the network, membership and request context of an entry instance."""

import dataclasses
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon import entry_events, entry_settings
from sardinepier.daemon.internal import peer_zones
from sardinepier.entry import (
    context,
    decision_log,
    model,
    request_metrics,
    service_registry,
)
from sardinepier.gateway import (
    active_requests,
    body_budget,
    buffer_budget,
    client,
)
from sardinepier.membership import (
    events,
    kinds,
    marks,
    members,
    membership,
    options,
)
from sardinepier.once import quarantine
from sardinepier.telemetry import logs
from sardinepier.wire import hooks, messages, zmq_network
from sardinepier.zones import messages as zone_messages

_BODY_MEMORY_DIVISOR: Final = 4
"""Divides the memory of the instance into the part for bodies of requests. A
process without any uses another quarter."""

_ANSWER_MEMORY_DIVISOR: Final = 8
"""The same for buffered answers. The two parts are apart, so that callers who
read slowly keep no body from being read."""

_ZONE_PEERS: Final = 3
"""Of the four peers that each daemon monitors, how many are in its zone."""

_NO_CONFIGURATION: Final = marks.ConfigurationMark(0, 0)
_Kinds = tuple[type[messages.Message], ...]
_KINDS: Final[_Kinds] = (*kinds.KINDS, *zone_messages.KINDS)


def build_network(
    settings: entry_settings.EntrySettings,
    instance_id: ids.InstanceId,
    clock: clocks.Clock,
) -> zmq_network.ZmqNetwork:
    """Return the network between daemons; nothing is bound yet."""
    return zmq_network.ZmqNetwork(
        _KINDS,
        messages.Sender(instance_id, settings.peer),
        settings.peer,
        clock,
        source_ip=settings.peer.ip,
    )


def started(settings: entry_settings.EntrySettings) -> entry_events.Started:
    """Return the event to log once the instance accepts connections."""
    return entry_events.Started(
        zone=settings.zone,
        front=f'{settings.front.ip}:{settings.front.port}',
        peer=f'{settings.peer.ip}:{settings.peer.port}',
    )


def build_context(
    settings: entry_settings.EntrySettings,
    services: service_registry.ServiceRegistry,
    activity: active_requests.ActiveRequests,
    clock: clocks.Clock,
) -> context.EntryContext:
    """Return the context of the request path; needs a running event loop."""
    return context.EntryContext(
        clock=clock,
        names=settings.names,
        client=client.TargetClient(),
        services=services,
        quarantine=quarantine.Quarantine(clock),
        activity=activity,
        decision_log=decision_log.DecisionLog(services, clock),
        metrics=request_metrics.RequestMetrics(),
        buffer_budget=buffer_budget.BufferBudget(
            settings.memory_bytes // _ANSWER_MEMORY_DIVISOR
        ),
        body_budget=body_budget.BodyBudget(
            settings.memory_bytes // _BODY_MEMORY_DIVISOR
        ),
    )


def build_membership(
    settings: entry_settings.EntrySettings,
    network: zmq_network.ZmqNetwork,
    clock: clocks.Clock,
    random_source: random.Random,
) -> membership.Membership:
    """Return a membership that knows only this daemon.

    The network counts messages by the zones that it knows.
    """
    own = members.Member(
        instance_id=network.sender.instance_id,
        daemon_id=settings.daemon_id,
        zone=settings.zone,
        region=settings.region,
        peer_address=settings.peer,
        http_ip=settings.front.ip,
        http_port=settings.front.port,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=clock.monotonic_s(),
        capacity=settings.capacity,
        relay_port=settings.relay.port if settings.relay else 0,
    )
    fleet = membership.Membership(
        own,
        network,
        clock,
        random_source,
        dataclasses.replace(options.FAST_START, zone_peers=_ZONE_PEERS),
        lambda: _NO_CONFIGURATION,
        _ignore_mark,
        _log_member_change,
    )
    zones = peer_zones.PeerZones(fleet, clock)
    network.use_hooks(hooks.NetworkHooks(crosses_zones=zones.crosses_zones))
    return fleet


def log_configuration(configuration: model.ServedConfiguration) -> None:
    """Log that the instance applied a newer configuration."""
    logs.write(
        entry_events.ConfigurationInForce(
            version=configuration.version,
            routes=len(configuration.routes),
            routes_of_unknown_kind=configuration.unknown_kinds(),
        ),
    )


def _log_member_change(event: events.MemberEvent) -> None:
    # At level debug, as each daemon logs the changes of the whole fleet.
    logs.write(
        entry_events.MemberChanged(
            change=type(event).__name__,
            member=event.instance_id,
        ),
        level=logs.Level.DEBUG,
    )


def _ignore_mark(
    sender: messages.Sender,
    mark: marks.ConfigurationMark,
) -> None:
    """Do nothing: zone beats announce configurations of entry instances."""
