"""A zone of daemons in one process, on a network that the test cuts."""

import asyncio
import random

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, platform_state, service_registry
from sardinepier.health import failure_estimate
from sardinepier.membership import capacity, members
from sardinepier.platform import errors
from sardinepier.wire import memory_network, messages
from sardinepier.zones import (
    carriers,
    expired_entries,
    platform_reader,
    sharing,
    zone_load,
)
from sardinepier.zones import messages as zone_messages

SERVICE = ids.ServiceName('books')
HALF_A_CORE = capacity.Capacity(processor_millis=500)
"""What 110 requests a second take."""


def target(target_id, state=model.TargetState.READY, **changed):
    return model.ListedTarget(
        target_id=ids.TargetId(target_id),
        service=SERVICE,
        ip='127.0.0.1',
        port=1,
        zone=ids.ZoneName('z1'),
        slots=3,
        state=state,
        **changed,
    )


def target_list(revision, *names):
    return model.TargetList(revision, tuple(target(name) for name in names))


def configuration(version):
    return model.ServedConfiguration(version, (), ())


def member(number, zone='z1', able=HALF_A_CORE):
    name = f'{zone}-{number}'
    return members.Member(
        instance_id=ids.InstanceId(f'{name}~{number:016x}'),
        daemon_id=ids.DaemonId(name),
        zone=ids.ZoneName(zone),
        region=ids.RegionName('r'),
        peer_address=messages.PeerAddress(f'10.0.{len(zone)}.{number}', 7000),
        http_ip=f'10.0.{len(zone)}.{number}',
        http_port=8000,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=0.0,
        capacity=able,
    )


class Fleet:
    """The members that all daemons of a test know, changed by the test."""

    def __init__(self, *known):
        self.known = list(known)
        self.version = 1
        self.has_met = True

    def drop(self, gone):
        self.known = [one for one in self.known if one is not gone]
        self.version += 1

    def meet(self):
        """Let all know each other, after ``has_met`` was false."""
        self.has_met = True
        self.version += 1


class View:
    """The fleet as one of its daemons sees it."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self.own = own

    @property
    def version(self):
        return self._fleet.version

    def members(self):
        if not self._fleet.has_met:
            return (self.own,)
        return tuple(self._fleet.known)

    serving = members

    def find(self, instance_id):
        for one in self._fleet.known:
            if one.instance_id == instance_id:
                return one
        return None


class Platform:
    """A platform that the test fills, and takes away from some daemons.

    ``transfer_s`` is how long an answer takes on the link of a daemon.
    """

    def __init__(self, clock):
        self.clock = clock
        self.configuration = None
        self.targets = model.TargetList(0, ())
        self.refused = set()
        self.transfer_s = {}
        self.unusable = ()
        self.calls = 0
        self.fresh_calls = 0

    def for_daemon(self, name):
        return _Client(self, name)


class _Client:
    def __init__(self, platform, name):
        self._platform = platform
        self._name = name

    async def read(self, *, allow_stale):
        self._platform.calls += 1
        self._platform.fresh_calls += not allow_stale
        if self._name in self._platform.refused:
            raise errors.PlatformUnavailableError('turned away', 'wait')
        reading = platform_state.PlatformSnapshot(
            self._platform.configuration,
            self._platform.targets,
            self._platform.unusable,
        )
        clock = self._platform.clock
        arrives_s = clock.monotonic_s()
        arrives_s += self._platform.transfer_s.get(self._name, 0.0)
        while clock.monotonic_s() < arrives_s:
            await asyncio.sleep(0)
        return reading


class Daemon:
    """One daemon's part in the zone."""

    def __init__(self, zone, own):
        self.own = own
        self.requests_started = 0
        self.forwarded_bytes = 0
        self.per_s = 0
        self.clock = zone.clock
        self.held = service_registry.ServiceRegistry(
            own.zone,
            zone.clock,
            random.Random(own.instance_id),
            20.0,
            failure_estimate.EstimateOptions(),
        )
        self.network = zone.hub.network(
            messages.Sender(own.instance_id, own.peer_address),
        )
        self.carriers = carriers.Carriers(
            View(zone.fleet, own),
            zone.clock,
        )
        self.guard = expired_entries.ExpiredEntryGuard(zone.clock)
        self.sharing = sharing.ZoneSharing(
            self.network,
            self.carriers,
            self.held,
            self.guard,
            zone_load.ZoneLoad(zone.clock, self),
            zone.clock,
            random.Random(own.instance_id),
            lambda taken: None,
        )
        self.reading = platform_reader.PlatformReader(
            zone.platform.for_daemon(own.daemon_id),
            self.held,
            self.carriers,
            self.guard,
            self.sharing,
            zone.clock,
            random.Random(1),
        )
        self._reading_now = None

    def read_on(self):
        """Read the platform if that is due and no reading is on its way."""
        if self._reading_now is not None:
            if not self._reading_now.done():
                return
            self._reading_now.result()
        self._reading_now = asyncio.ensure_future(self.reading.step())

    @property
    def version(self):
        held = self.held.configuration
        return held.version if held else None

    @property
    def target_names(self):
        listed = self.held.targets
        return {one.target_id for one in listed.targets} if listed else set()


class Zone:
    """Daemons that take turns in steps of time which the test makes."""

    def __init__(self, count=6, zones=('z1',)):
        self.clock = clocks.ManualClock(1000.0)
        self.hub = memory_network.MemoryHub(
            zone_messages.KINDS,
            self.clock,
            random.Random(5),
        )
        self.platform = Platform(self.clock)
        self.fleet = Fleet(
            *(
                member(number, zone)
                for zone in zones
                for number in range(count)
            ),
        )
        self.daemons = [Daemon(self, own) for own in self.fleet.known]
        self.stopped = set()

    def carrier(self):
        first = self.daemons[0].carriers.of_own_zone()[0]
        return self.find(first)

    def find(self, wanted):
        for one in self.daemons:
            if one.own is wanted:
                return one
        raise LookupError(wanted)

    def stop(self, daemon):
        """Take a daemon's power; membership has not noticed yet."""
        self.stopped.add(daemon.own.instance_id)

    def living(self):
        return [
            one
            for one in self.daemons
            if one.own.instance_id not in self.stopped
        ]

    async def run(self, seconds, step_s=0.05):
        """Let all daemons do what they do within so many seconds."""
        for step in range(round(seconds / step_s)):
            for one in self.living():
                one.requests_started += one.per_s * step_s
                one.read_on()
                await asyncio.sleep(0)
                if step % 5 == 0:
                    one.sharing.step()
            self.hub.deliver()
            self.clock.advance(step_s)


async def with_targets(zone, *names):
    zone.platform.configuration = configuration(1)
    zone.platform.targets = target_list(1, *(names or ('t1', 't2')))
    await zone.run(2.0)


def fail(daemon, name):
    pool = daemon.held.pool(SERVICE)
    pool.failed(pool.targets.find(name), 0)


def failing(daemon, name):
    record = daemon.held.pool(SERVICE).targets.find(name)
    return record.estimate.failing_probability(daemon.clock.monotonic_s())


def crowd(zone, name):
    """Let the first carriers of a zone get more than one can carry."""
    for one in zone.daemons:
        if one.own.zone == name:
            one.per_s = 250
