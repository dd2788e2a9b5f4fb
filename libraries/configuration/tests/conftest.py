"""A small fleet of distributors in one process, in virtual time.

The event loop's clock jumps to the next timer whenever nothing is left to
run. A minute passes in a moment, and every run is the same.
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
_DELIVERY_S = 0.005
_BURST = 5
_CALL_S = 3.0


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, 'All tasks wait for ever'
            self.now_s += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only by its own timers."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        self.reading_s = 0.006
        self.timers = collections.Counter()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s

    def call_at(self, when, callback, *arguments, context=None):
        """Count the timers of each kind of task."""
        task = asyncio.current_task(self)
        self.timers[task.get_coro().__qualname__ if task else ''] += 1
        return super().call_at(when, callback, *arguments, context=context)

    def run_in_executor(self, executor, work, *arguments):
        """Do the work at a moment of virtual time, while others go on."""
        done = self.create_future()

        def finish():
            if not done.cancelled():
                done.set_result(work(*arguments))

        self.call_later(self.reading_s, finish)
        return done

    def monotonic_s(self):
        return self._jumping.now_s

    def boot_s(self):
        return self._jumping.now_s

    def wall_ms(self):
        return int(self._jumping.now_s * 1000)


class Heartbeat(wire_messages.Message, frozen=True):
    """What membership would send: the mark of the sender."""

    mark: marks.ConfigurationMark


class FakeView:
    """A membership that knows at once who runs."""

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
        found = (
            one for one in self.members() if one.instance_id == instance_id
        )
        return next(found, None)


class Sight:
    """A daemon's way to the platform, which may be cut for it alone.

    It lets no more calls through than the client over HTTP would.
    """

    def __init__(self, platform, clock, reads_per_s):
        self.is_cut = False
        self.called_s = collections.defaultdict(list)
        self._platform = platform
        self._clock = clock
        self._bucket = token_bucket.TokenBucket(clock, reads_per_s, _BURST)

    def __getattr__(self, name):
        call = getattr(self._platform, name)

        async def meet(*arguments):
            await self._bucket.take(self._clock.monotonic_s() + _CALL_S)
            self.called_s[name].append(self._clock.monotonic_s())
            if self.is_cut:
                raise errors.PlatformUnavailableError('It is cut', 'Wait')
            return await call(*arguments)

        return meet


class Daemon:
    """One distributor, with the revisions that it has ever shown."""

    def __init__(self, fleet, number, start):
        name = f'd{number}'
        address = wire_messages.PeerAddress(
            f'10.0.{number // 200}.{number % 200 + 1}', 7000
        )
        self.member = members.Member(
            instance_id=ids.InstanceId(f'{name}~{start:016x}'),
            daemon_id=ids.DaemonId(name),
            zone=ids.ZoneName(_ZONES[number % len(_ZONES)]),
            region=ids.RegionName('r'),
            peer_address=address,
            http_ip=address.ip,
            http_port=8080,
            incarnation=start,
            state=members.MemberState.ALIVE,
            started_at_s=fleet.loop.time(),
        )
        self.store = store.Store()
        self.events = []
        self.instances = []
        self.lowered = []
        self.shown = {}
        self.took_s = {}
        self._fleet = fleet
        self.store.on_change(self._show)
        self.store.on_new_version(self._check)
        sender = wire_messages.Sender(self.member.instance_id, address)
        self.network = fleet.hub.network(sender)
        self.sight = Sight(
            platform_memory.in_process(fleet.platform, 0.5),
            fleet.loop,
            fleet.reads_per_s,
        )
        self.sent = collections.Counter()
        self._send = self.network.send
        self.network.send = self._count_and_send
        self.distributor = distributor.Distributor(
            self.store,
            self.sight,
            self.network,
            FakeView(fleet, self.member),
            fleet.loop,
            random.Random(f'{name} {start} {fleet.seed}'),
            fleet.options,
            self.events.append,
        )
        self.distributor.on_instances(self.instances.append)
        self.network.subscribe(
            Heartbeat,
            lambda sender, beat: self.distributor.receive_mark(
                sender, beat.mark
            ),
        )
        self.tasks = []

    def start(self):
        loop = self._fleet.loop
        self.tasks = [
            loop.create_task(self.distributor.run()),
            loop.create_task(self._beat()),
        ]

    async def stop(self):
        self._fleet.hub.detach(self.member.peer_address)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def in_force(self):
        """Return the revision in force of each file."""
        known = self.store.known().items()
        return {name: one.in_force_revision for name, one in known}

    def happened(self, kind):
        """Return the events of one kind."""
        return [one for one in self.events if type(one).__name__ == kind]

    def _count_and_send(self, peer, message):
        self.sent[type(message).__name__] += 1
        return self._send(peer, message)

    async def _beat(self):
        ring = random.Random(self.member.daemon_id)
        while True:
            await asyncio.sleep(ring.uniform(0.4, 0.6))
            if not self._fleet.has_heartbeats:
                continue
            others = [
                one for one in self._fleet.members if one is not self.member
            ]
            for peer in ring.sample(others, min(_HEARTBEAT_PEERS, len(others))):
                beat = Heartbeat(self.store.mark())
                self.network.send(peer.peer_address, beat)

    def _show(self, configuration):
        for name, revision in configuration.revisions.items():
            if revision < self.shown.get(name, 0):
                self.lowered.append((name, revision))
            self.shown[name] = revision

    def _check(self, name):
        revision = self.store.find(name).in_force_revision
        self.took_s.setdefault((name, revision), self._fleet.loop.time())


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
        self._pump = self.loop.create_task(self._deliver())
        self.daemons = {}
        self.starts = collections.Counter()
        self.version = 0
        self.has_heartbeats = True
        self.members = ()

    def start(self, *numbers):
        """Start daemons, or start them anew with nothing known."""
        for number in numbers:
            self.stop(number)
            self.starts[number] += 1
            daemon = Daemon(self, number, self.starts[number])
            self.daemons[number] = daemon
        self._renew_view()
        for number in numbers:
            self.daemons[number].start()

    def stop(self, number):
        daemon = self.daemons.pop(number, None)
        if daemon is not None:
            self.runner.run(daemon.stop())
            self._renew_view()

    def run(self, elapsed_s):
        """Let virtual time pass."""
        self.runner.run(asyncio.sleep(elapsed_s))

    def run_until(self, condition, limit_s):
        """Return the seconds until ``condition()``; fail beyond a limit."""
        began_s = self.loop.time()
        while not condition():
            assert self.loop.time() < began_s + limit_s, self.describe()
            self.run(0.05)
        return self.loop.time() - began_s

    def publish(self, name=SERVICE, comment=''):
        """Publish a valid file and return its revision."""
        if name == FLEET:
            return self.platform.publish(name, fleet_text(comment))
        service = name.removeprefix('service/')
        return self.platform.publish(name, service_text(service, comment))

    def settle(self):
        """Publish a fleet file and a service, and let all have them."""
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
        return {key: one.in_force() for key, one in self.daemons.items()}

    def close(self):
        for number in tuple(self.daemons):
            self.stop(number)
        self._pump.cancel()
        self.runner.close()

    async def _deliver(self):
        while True:
            await asyncio.sleep(_DELIVERY_S)
            self.hub.deliver()

    def _renew_view(self):
        self.version += 1
        self.members = tuple(one.member for one in self.daemons.values())


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
def world():
    """Give tests the names of this module and close the fleets they make."""
    made = []

    def make(count=0, seed=0, **limits):
        fleet = Fleet(seed, **limits)
        made.append(fleet)
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
    for fleet in made:
        fleet.close()
