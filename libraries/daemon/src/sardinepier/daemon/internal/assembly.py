"""Builds the parts of a daemon that need no configuration."""

import dataclasses
import functools
import random
from typing import Final, cast

from sardinepier.configuration import distributor as distributors
from sardinepier.configuration import messages as configuration_messages
from sardinepier.configuration import options as configuration_options
from sardinepier.configuration import store as stores
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon import identity
from sardinepier.daemon.internal import group_messages, translation
from sardinepier.health import events as health_events
from sardinepier.membership import events as membership_events
from sardinepier.membership import kinds, members, membership, options
from sardinepier.membership import marks as configuration_marks
from sardinepier.platform import http_platform
from sardinepier.settings import model
from sardinepier.telemetry import (
    events,
    file_events,
    logs,
    metrics,
    stamps,
    timeline,
)
from sardinepier.wire import hooks, messages, zmq_network

# The limit until the fleet file sets one. A daemon that starts without peers
# reads all files from the platform.
_PLATFORM_READS_PER_S: Final = 20.0
_RANDOM_SEED_BITS: Final = 64
_Kinds = tuple[type[messages.Message], ...]
_KINDS: Final[_Kinds] = (
    *kinds.KINDS,
    *configuration_messages.KINDS,
    *group_messages.KINDS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Recorder:
    """Writes each event to the timeline and to the log."""

    timeline: timeline.Timeline

    def record(self, event: events.Event) -> None:
        """Record a time-line event."""
        logs.timeline_entry(self.timeline.record(event))

    def file_changed(self, event: file_events.FileEvent) -> None:
        """Record an event of a configuration file or of the platform."""
        # Each subclass of FileEvent is a time-line event, which the type of
        # the base class does not express.
        self.record(cast(events.Event, event))

    def member_changed(self, event: membership_events.MemberEvent) -> None:
        """Record a change in membership."""
        self.record(translation.member_event(event))

    def target_changed(self, event: health_events.TargetChanged) -> None:
        """Record a change of a target's state."""
        self.record(translation.target_event(event))


@dataclasses.dataclass(frozen=True, slots=True)
class CoreParts:
    """The parts that work before any configuration is known."""

    settings: model.InstanceSettings
    instance_id: ids.InstanceId
    started_at_s: float
    clock: clocks.Clock
    random_source: random.Random
    recorder: Recorder
    metrics: metrics.Metrics
    network: zmq_network.ZmqNetwork
    membership: membership.Membership
    store: stores.Store
    platform: http_platform.HttpPlatform
    distributor: distributors.Distributor


def build_core(settings: model.InstanceSettings) -> CoreParts:
    """Open the port for peers and build the parts without configuration.

    Raises ``wire.errors.PortInUseError`` or ``AddressUnavailableError``.
    """
    clock = clocks.SystemClock()
    random_source = random.Random(
        random.SystemRandom().getrandbits(_RANDOM_SEED_BITS)
    )
    instance_id = identity.new_instance_id(
        settings.daemon_id,
        random.SystemRandom(),
    )
    recorder = Recorder(timeline.Timeline(instance_id, clock))
    network = _open_network(settings, instance_id, clock, recorder)
    store = stores.Store()
    own = _own_member(settings, instance_id, clock, network)
    # The membership passes the marks of its peers to the distributor, which
    # needs the membership itself. The relay breaks this cycle.
    marks = _MarkRelay()
    fleet = membership.Membership(
        own,
        network,
        clock,
        random_source,
        options.MembershipOptions(),
        store.mark,
        marks.receive,
        recorder.member_changed,
    )
    fleet.seed(_seeds(settings))
    platform = http_platform.HttpPlatform(
        settings.platform_urls,
        clock,
        _PLATFORM_READS_PER_S,
    )
    distributor = distributors.Distributor(
        store,
        platform,
        network,
        fleet,
        clock,
        random_source,
        configuration_options.DistributorOptions(),
        recorder.file_changed,
    )
    marks.distributor = distributor
    return CoreParts(
        settings=settings,
        instance_id=instance_id,
        started_at_s=own.started_at_s,
        clock=clock,
        random_source=random_source,
        recorder=recorder,
        metrics=metrics.Metrics(),
        network=network,
        membership=fleet,
        store=store,
        platform=platform,
        distributor=distributor,
    )


class _MarkRelay:
    """Passes configuration marks to the distributor, which is created later."""

    def __init__(self) -> None:
        self.distributor: distributors.Distributor | None = None

    def receive(
        self,
        sender: messages.Sender,
        mark: configuration_marks.ConfigurationMark,
    ) -> None:
        """Pass a mark on, or drop it: peers send their marks repeatedly."""
        if self.distributor is not None:
            self.distributor.receive_mark(sender, mark)


def _open_network(
    settings: model.InstanceSettings,
    instance_id: ids.InstanceId,
    clock: clocks.Clock,
    recorder: Recorder,
) -> zmq_network.ZmqNetwork:
    advertised = messages.PeerAddress(
        settings.advertised_peer_ip,
        settings.advertised_peer_port,
    )
    network = zmq_network.ZmqNetwork(
        _KINDS,
        messages.Sender(instance_id, advertised),
        messages.PeerAddress(settings.address_ip, settings.peer_port),
        clock,
        source_ip=settings.address_ip,
    )
    network.use_hooks(
        hooks.NetworkHooks(
            stamp_source=functools.partial(_stamp, recorder.timeline),
            on_stamp=functools.partial(_observe, recorder.timeline),
            on_handler_failure=_on_handler_failure,
        ),
    )
    network.open()
    return network


def _stamp(daemon_timeline: timeline.Timeline) -> hooks.Stamp:
    stamp = daemon_timeline.stamp()
    return stamp.wall_ms, stamp.logical


def _observe(daemon_timeline: timeline.Timeline, stamp: hooks.Stamp) -> None:
    daemon_timeline.observe(stamps.Stamp(*stamp))


def _on_handler_failure(message: messages.Message, error: Exception) -> None:
    logs.failure(
        'handler-failed',
        error,
        level=logs.Level.ERROR,
        message_kind=type(message).__name__,
    )


def _own_member(
    settings: model.InstanceSettings,
    instance_id: ids.InstanceId,
    clock: clocks.Clock,
    network: zmq_network.ZmqNetwork,
) -> members.Member:
    return members.Member(
        instance_id=instance_id,
        daemon_id=settings.daemon_id,
        zone=settings.zone,
        region=settings.region,
        peer_address=network.sender.address,
        http_ip=settings.address_ip,
        http_port=settings.http_port,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=clock.monotonic_s(),
    )


def _seeds(settings: model.InstanceSettings) -> list[messages.PeerAddress]:
    return [messages.PeerAddress(seed.ip, seed.port) for seed in settings.seeds]
