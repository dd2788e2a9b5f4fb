"""A small fleet of distributors in one process, in virtual time.

The event loop's clock advances to the next timer whenever no task is ready,
so tests do not wait for real time and every run is deterministic.
"""

import asyncio
import collections
import random
import selectors
import types

import pytest

from sardinepier.configuration import distributor, messages, options, store
from sardinepier.core import ids
from sardinepier.membership import marks, members
from sardinepier.platform import errors, interface
from sardinepier.platform.internal import token_bucket
from sardinepier.standins import platform_memory, platform_standin
from sardinepier.wire import memory_network
from sardinepier.wire import messages as wire_messages

FLEET = ids.FileName('fleet')
SERVICE = ids.FileName('service/search')
_ZONES = ('a', 'b', 'c')
_HEARTBEAT_PEERS = 4
_DELIVERY_INTERVAL_S = 0.005
_BURST_CALLS = 5
_CALL_TIMEOUT_S = 3.0


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, 'No task is ready and no timer is set'
            self.now_s += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only to its next timer."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        self.parse_s = 0.006
        self.timers = collections.Counter()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now_s

    def call_at(self, when, callback, *arguments, context=None):
        """Count the timers that each coroutine sets."""
        task = asyncio.current_task(self)
        self.timers[task.get_coro().__qualname__ if task else ''] += 1
        return super().call_at(when, callback, *arguments, context=context)

    def run_in_executor(self, executor, function, *arguments):
        """Call the function after ``parse_s``; other tasks run meanwhile."""
        done = self.create_future()

        def finish():
            if not done.cancelled():
                done.set_result(function(*arguments))

        self.call_later(self.parse_s, finish)
        return done

    def monotonic_s(self):
        return self._virtual_selector.now_s

    def boot_s(self):
        return self._virtual_selector.now_s

    def wall_ms(self):
        return int(self._virtual_selector.now_s * 1000)


class Heartbeat(wire_messages.Message, frozen=True):
    """A heartbeat of membership, reduced to the sender's mark."""

    mark: marks.ConfigurationMark


class FakeView:
    """A membership view that is always up to date."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self.own = own

    @property
    def version(self):
        return self._fleet.version

    def members(self):
        return self._fleet.members

    def serving(self):
        return self._fleet.members

    def find(self, instance_id):
        matches = (
            member
            for member in self.members()
            if member.instance_id == instance_id
        )
        return next(matches, None)


class PlatformAccess:
    """One daemon's connection to the platform, which a test may cut.

    It limits the rate of calls like the HTTP client.
    """

    def __init__(self, platform, clock, reads_per_s):
        self.is_cut = False
        self.called_s = collections.defaultdict(list)
        self._platform = platform
        self._clock = clock
        self._bucket = token_bucket.TokenBucket(
            clock, reads_per_s, _BURST_CALLS
        )

    def __getattr__(self, name):
        call = getattr(self._platform, name)

        async def limited_call(*arguments):
            await self._bucket.take(self._clock.monotonic_s() + _CALL_TIMEOUT_S)
            self.called_s[name].append(self._clock.monotonic_s())
            if self.is_cut:
                raise errors.PlatformUnavailableError(
                    'The platform is unreachable', 'Wait'
                )
            return await call(*arguments)

        return limited_call


class Daemon:
    """One distributor, with a record of its events and revisions."""

    def __init__(self, fleet, number, incarnation):
        name = f'd{number}'
        address = wire_messages.PeerAddress(
            f'10.0.{number // 200}.{number % 200 + 1}', 7000
        )
        self.member = members.Member(
            instance_id=ids.InstanceId(f'{name}~{incarnation:016x}'),
            daemon_id=ids.DaemonId(name),
            zone=ids.ZoneName(_ZONES[number % len(_ZONES)]),
            region=ids.RegionName('r'),
            peer_address=address,
            http_ip=address.ip,
            http_port=8080,
            incarnation=incarnation,
            state=members.MemberState.ALIVE,
            started_at_s=fleet.loop.time(),
        )
        self.store = store.Store()
        self.events = []
        self.instances = []
        self.lowered_revisions = []
        self.applied_revisions = {}
        self.arrived_s = {}
        self._fleet = fleet
        self.store.on_change(self._record_revisions)
        self.store.on_new_version(self._record_arrival)
        sender = wire_messages.Sender(self.member.instance_id, address)
        self.network = fleet.hub.network(sender)
        self.platform_access = PlatformAccess(
            platform_memory.in_process(fleet.platform, 0.5),
            fleet.loop,
            fleet.reads_per_s,
        )
        self.sent = collections.Counter()
        self._send = self.network.send
        self.network.send = self._count_and_send
        self.distributor = distributor.Distributor(
            self.store,
            self.platform_access,
            self.network,
            FakeView(fleet, self.member),
            fleet.loop,
            random.Random(f'{name} {incarnation} {fleet.seed}'),
            fleet.options,
            self.events.append,
        )
        self.distributor.on_instances(self.instances.append)
        self.network.subscribe(
            Heartbeat,
            lambda sender, heartbeat: self.distributor.receive_mark(
                sender, heartbeat.mark
            ),
        )
        self.tasks = []

    def start(self):
        loop = self._fleet.loop
        self.tasks = [
            loop.create_task(self.distributor.run()),
            loop.create_task(self._send_heartbeats()),
        ]

    async def stop(self):
        self._fleet.hub.detach(self.member.peer_address)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def in_force(self):
        """Return the revision in force of each file."""
        known = self.store.known().items()
        return {name: file.in_force_revision for name, file in known}

    def events_of(self, kind):
        """Return the events of one kind."""
        return [event for event in self.events if type(event).__name__ == kind]

    def _count_and_send(self, peer, message):
        self.sent[type(message).__name__] += 1
        return self._send(peer, message)

    async def _send_heartbeats(self):
        peer_random = random.Random(self.member.daemon_id)
        while True:
            await asyncio.sleep(peer_random.uniform(0.4, 0.6))
            if not self._fleet.has_heartbeats:
                continue
            peers = [
                member
                for member in self._fleet.members
                if member is not self.member
            ]
            for peer in peer_random.sample(
                peers, min(_HEARTBEAT_PEERS, len(peers))
            ):
                heartbeat = Heartbeat(self.store.mark())
                self.network.send(peer.peer_address, heartbeat)

    def _record_revisions(self, configuration):
        for name, revision in configuration.revisions.items():
            if revision < self.applied_revisions.get(name, 0):
                self.lowered_revisions.append((name, revision))
            self.applied_revisions[name] = revision

    def _record_arrival(self, name):
        revision = self.store.find(name).in_force_revision
        self.arrived_s.setdefault((name, revision), self._fleet.loop.time())


class Fleet:
    """Daemons, a platform and the network between them."""

    def __init__(self, seed=0, reads_per_s=1000, **limits):
        self.seed = seed
        self.reads_per_s = reads_per_s
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.loop = self.runner.get_loop()
        self.options = options.DistributorOptions(**limits)
        self.platform = platform_standin.PlatformStandin()
        self.hub = memory_network.MemoryHub(
            (*messages.KINDS, Heartbeat),
            self.loop,
            random.Random(seed),
        )
        self._delivery = self.loop.create_task(self._deliver())
        self.daemons = {}
        self.incarnations = collections.Counter()
        self.version = 0
        self.has_heartbeats = True
        self.members = ()

    def start(self, *numbers):
        """Start daemons with empty stores; restart those that run."""
        for number in numbers:
            self.stop(number)
            self.incarnations[number] += 1
            daemon = Daemon(self, number, self.incarnations[number])
            self.daemons[number] = daemon
        self._update_view()
        for number in numbers:
            self.daemons[number].start()

    def stop(self, number):
        daemon = self.daemons.pop(number, None)
        if daemon is not None:
            self.runner.run(daemon.stop())
            self._update_view()

    def run(self, elapsed_s):
        """Advance virtual time."""
        self.runner.run(asyncio.sleep(elapsed_s))

    def run_until(self, condition, limit_s):
        """Return the seconds until ``condition()``; fail beyond a limit."""
        started_s = self.loop.time()
        while not condition():
            assert self.loop.time() < started_s + limit_s, self.describe()
            self.run(0.05)
        return self.loop.time() - started_s

    def publish(self, name=SERVICE, comment=''):
        """Publish a valid file and return its revision."""
        if name == FLEET:
            return self.platform.publish(name, fleet_text(comment))
        service = name.removeprefix('service/')
        return self.platform.publish(name, service_text(service, comment))

    def settle(self):
        """Publish a fleet file and a service; wait until all daemons have them."""
        self.publish(FLEET)
        revision = self.publish()
        self.run_until(lambda: self.all_have(SERVICE, revision), 10)

    def set_mode(self, mode):
        self.platform.set_mode(platform_standin.PlatformMode(mode))

    def all_have(self, name, revision):
        return all(
            daemon.in_force().get(name, 0) >= revision
            for daemon in self.daemons.values()
        )

    def marks(self):
        return {daemon.store.mark() for daemon in self.daemons.values()}

    def describe(self):
        return {
            number: daemon.in_force() for number, daemon in self.daemons.items()
        }

    def close(self):
        for number in tuple(self.daemons):
            self.stop(number)
        self._delivery.cancel()
        self.runner.close()

    async def _deliver(self):
        while True:
            await asyncio.sleep(_DELIVERY_INTERVAL_S)
            self.hub.deliver()

    def _update_view(self):
        self.version += 1
        self.members = tuple(daemon.member for daemon in self.daemons.values())


def fleet_text(comment=''):
    """Return a valid fleet file."""
    zones = ''.join(f'[zone {zone}]\nregion = r\n' for zone in _ZONES)
    return f'# {comment}\n[fleet]\nname = tesis\n{zones}'


def service_text(name, comment=''):
    """Return a valid file of a service."""
    return f"""# {comment}
[service]
name = {name}
floor_percent = 70
[shed-reply]
status = 503
header_name = Shed
header_value = yes
[target w1]
ip = 127.0.0.1
port = 9001
zone = a
slots = 3
[route find]
method = GET
path = /find
idempotent = yes
deadline_ms = 2000
"""


@pytest.fixture
def support():
    """Return the helpers of this module; close the fleets at the end."""
    fleets = []

    def make(count=0, seed=0, **limits):
        fleet = Fleet(seed, **limits)
        fleets.append(fleet)
        if count:
            fleet.start(*range(count))
        return fleet

    yield types.SimpleNamespace(
        make=make,
        fleet=FLEET,
        service=SERVICE,
        fleet_text=fleet_text,
        service_text=service_text,
        instances=interface.InstanceList,
    )
    for fleet in fleets:
        fleet.close()
