"""How fast a change of configuration is in force everywhere, and its calls.

Whole fleets of real distributors run in this process, in virtual time, over
the memory network with lost messages. Time counts links and timers, not the
processor.
"""

import asyncio
import random
import statistics
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import (
    distributor,
    messages,
    options,
    store,
)
from sardinepier.core import ids
from sardinepier.membership import marks, members
from sardinepier.standins import platform_memory, platform_standin
from sardinepier.wire import memory_network
from sardinepier.wire import messages as wire_messages
from sardinepier.workbench.capacity import (
    parts,
    parts_membership,
    texts,
    units,
    virtual_loop,
)

_SIZES: Final = (48, 150, 500, 1500)
_LOSSES: Final = (0.0, 0.1, 0.3)
_STEPS: Final = (1, 7, 31, 113)
_BEAT_S: Final = (0.9, 1.1)
_CHANGES: Final = 3
_DELIVERY_S: Final = 0.005
_DELAY_S: Final = 0.01
_CALL_TIMEOUT_S: Final = 0.5
_POLL_S: Final = 0.05
_LIMIT_S: Final = 60.0
_PERCENT: Final = 100
_SERVICE: Final = ids.FileName('service/small')
_FLEET: Final = ids.FileName('fleet')
_Member = members.Member
_Members = tuple[members.Member, ...]
_SMALL_FILE: Final = """[service]
name = small
[shed-reply]
status = 503
header_name = Shed
header_value = yes
[target worker-0]
ip = 10.0.0.1
port = 9000
zone = region-0-zone-0
slots = 3
[route find]
method = GET
path = /find
idempotent = yes
deadline_ms = 2000
"""


class Heartbeat(wire_messages.Message, frozen=True):
    """What membership would send: the mark of the sender."""

    mark: marks.ConfigurationMark


class _WholeView:
    """A membership that knows all daemons."""

    version = 1

    def __init__(
        self,
        fleet: _Members,
        own: _Member,
    ) -> None:
        self._fleet = fleet
        self.own = own

    def members(self) -> _Members:
        return self._fleet

    def serving(self) -> _Members:
        return self._fleet

    def find(self, instance_id: ids.InstanceId) -> _Member | None:
        found = (one for one in self._fleet if one.instance_id == instance_id)
        return next(found, None)


class _Daemon:
    """One distributor with its store and a heartbeat that bears its mark."""

    def __init__(self, world: 'World', number: int) -> None:
        self.store = store.Store()
        self.took_s: dict[int, float] = {}
        self._world = world
        self._own = world.members[number]
        self._random = random.Random(number)
        self._network = world.hub.network(
            wire_messages.Sender(
                self._own.instance_id,
                self._own.peer_address,
            ),
        )
        self._distributor = distributor.Distributor(
            self.store,
            platform_memory.in_process(world.platform, _CALL_TIMEOUT_S),
            self._network,
            _WholeView(world.members, self._own),
            world.loop,
            self._random,
            options.DistributorOptions(),
            lambda event: None,
        )
        self._network.subscribe(Heartbeat, self._heard)
        self.store.on_news(self._note)

    async def run(self) -> None:
        """Run the distributor and the heartbeats until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._distributor.run())
            tasks.create_task(self._beat())

    def revision(self) -> int:
        """Return the revision of the service's file in force."""
        return self.store.find(_SERVICE).in_force_revision

    def _heard(self, sender: wire_messages.Sender, beat: Heartbeat) -> None:
        self._distributor.heard_mark(sender, beat.mark)

    def _note(self, name: ids.FileName) -> None:
        self.took_s.setdefault(self.revision(), self._world.loop.time())

    async def _beat(self) -> None:
        # Four peers get heartbeats and four others get answers to theirs.
        known = self._world.members
        place = known.index(self._own)
        heard_by = [
            known[(place + step * way) % len(known)]
            for step in _STEPS
            for way in (1, -1)
        ]
        while True:
            await asyncio.sleep(self._random.uniform(*_BEAT_S))
            beat = Heartbeat(self.store.mark())
            for peer in heard_by:
                self._network.send(peer.peer_address, beat)


class World:
    """Daemons, a platform and the network between them."""

    def __init__(self, loop: virtual_loop.VirtualLoop, size: int) -> None:
        """Make ``size`` daemons; nothing runs yet."""
        self.loop = loop
        self.platform = platform_standin.PlatformStandin()
        self.hub = memory_network.MemoryHub(
            (*messages.KINDS, Heartbeat),
            loop,
            random.Random(size),
        )
        self.members = tuple(
            parts_membership.member(number, 0.0) for number in range(size)
        )
        self.daemons = [_Daemon(self, number) for number in range(size)]

    async def run(self, part: parts.Part) -> None:
        """Start all, then measure changes at each share of lost messages."""
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._deliver()),
                *(tasks.create_task(daemon.run()) for daemon in self.daemons),
            ]
            self.platform.publish(_FLEET, texts.fleet_text())
            await self._change()
            for loss in _LOSSES:
                self.hub.faults = memory_network.LinkFaults(
                    loss=loss,
                    delay_s=_DELAY_S,
                    reorder_s=_DELAY_S,
                )
                await self._measure(part, loss)
            for task in running:
                task.cancel()

    async def _measure(self, part: parts.Part, loss: float) -> None:
        size = len(self.daemons)
        lost = f'{loss * _PERCENT:.0f}% lost'
        calls = self.platform.counts.total
        began_s = self.loop.time()
        taken = [await self._change() for _ in range(_CHANGES)]
        passed_s = self.loop.time() - began_s
        part.amount(
            f'in force everywhere, {lost}',
            size,
            max(taken),
            units.SECONDS,
            statistics.pstdev(taken),
        )
        part.amount(
            f'platform calls, {lost}',
            size,
            (self.platform.counts.total - calls) / passed_s,
            'calls/s',
        )

    async def _change(self) -> float:
        """Publish once; return the seconds until the last daemon has it."""
        began_s = self.loop.time()
        text = f'# {began_s}\n{_SMALL_FILE}'
        revision = self.platform.publish(_SERVICE, text)
        await self._until(lambda: self._all_have(revision))
        last_s = max(daemon.took_s[revision] for daemon in self.daemons)
        await asyncio.sleep(1)
        return last_s - began_s

    def _all_have(self, revision: int) -> bool:
        return all(daemon.revision() >= revision for daemon in self.daemons)

    async def _until(self, is_done: Callable[[], bool]) -> None:
        deadline_s = self.loop.time() + _LIMIT_S
        while not is_done() and self.loop.time() < deadline_s:
            await asyncio.sleep(_POLL_S)

    async def _deliver(self) -> None:
        while True:
            await asyncio.sleep(_DELIVERY_S)
            self.hub.deliver()


def measure(quick: bool) -> parts.Part:
    """Measure fleets of growing size."""
    part = parts.Part('spread')
    for size in _SIZES[: 1 if quick else None]:
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            loop = runner.get_loop()
            assert isinstance(loop, virtual_loop.VirtualLoop)
            runner.run(World(loop, size).run(part))
    return part
