"""A whole fleet on one virtual event loop, with callers and failing targets."""

import asyncio
import collections
import dataclasses
import functools
import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import kinds, members
from sardinepier.wire import counters, memory_network
from sardinepier.workbench.policy import virtual_loop
from sardinepier.workbench.zone_traffic import callers, scenario
from sardinepier.workbench.zone_traffic import daemon as daemons
from sardinepier.zones import messages as zone_messages

_SEEDS: Final = 3
_WATCH_INTERVAL_S: Final = 0.05
_JOINED_SHARE: Final = 0.95
_NEVER_S: Final = 60.0
_RANDOM_BITS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What all daemons sent since the start, to other zones and their own.

    ``messages`` and ``bytes`` are those to other zones, by kind.
    ``within_bytes`` stayed within zones. ``forwarded`` maps whether zones
    were crossed to bytes of requests and answers.
    """

    bytes: collections.Counter[str]
    messages: collections.Counter[str]
    within_bytes: int
    forwarded: collections.Counter[bool]

    def since(self, earlier: 'Traffic') -> 'Traffic':
        """Return what was sent after ``earlier``."""
        return Traffic(
            self.bytes - earlier.bytes,
            self.messages - earlier.messages,
            self.within_bytes - earlier.within_bytes,
            self.forwarded - earlier.forwarded,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Detection:
    """When the last daemon no longer saw lost ones as serving, and as members.

    Both are times since the loss.
    """

    unserved_s: float
    dead_s: float


class Simulation:
    """Daemons that start together, and the requests of their callers.

    Needs a running virtual loop. Equal seeds give equal requests.
    """

    def __init__(self, count: int, zones: int, seed: int) -> None:
        """Prepare ``count`` daemons in ``zones``; nothing runs yet."""
        self._clock = virtual_loop.VirtualClock(asyncio.get_running_loop())
        self._random = random.Random(seed)
        self._fleet = scenario.fleet(count, zones, random.Random(seed + 2))
        self._hub = memory_network.MemoryHub(
            (*kinds.KINDS, *zone_messages.KINDS),
            self._clock,
            random.Random(seed + 1),
            automatic=True,
        )
        self._hub.faults = memory_network.LinkFaults(
            delay_s=scenario.LINK_DELAY_S
        )
        self._daemons = {
            own.instance_id: self._daemon(own) for own in self._fleet.members
        }
        self._counted = tuple(self._daemons.values())
        self.callers = callers.Callers(
            self._daemons, self._fleet, self._clock, self._random
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the daemons and the callers."""
        self._tasks.append(asyncio.ensure_future(self._watch()))
        self._tasks.extend(
            asyncio.ensure_future(self._start_later(started))
            for started in self._counted
        )
        self.callers.start()

    async def stop(self) -> None:
        """End all daemons and callers."""
        self.callers.stop()
        for started in self._daemons.values():
            started.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)

    def traffic(self) -> Traffic:
        """Return what all daemons have sent so far."""
        total = Traffic(
            collections.Counter(),
            collections.Counter(),
            0,
            collections.Counter(),
        )
        within_bytes = 0
        for started in self._counted:
            total.forwarded.update(started.forwarded_bytes)
            for sent in started.network.counters().traffic:
                if sent.crossing is counters.ZoneCrossing.CROSSES:
                    total.bytes[sent.kind] += sent.bytes
                    total.messages[sent.kind] += sent.messages
                else:
                    within_bytes += sent.bytes
        return dataclasses.replace(total, within_bytes=within_bytes)

    def joined_s(self) -> list[float]:
        """Return when the daemons knew nearly all others, sorted."""
        return sorted(
            _NEVER_S if started.joined_s is None else started.joined_s
            for started in self._counted
        )

    def of_zone(self, zone: ids.ZoneName) -> list[members.Member]:
        """Return the running daemons of a zone."""
        return [
            started.own
            for started in self._daemons.values()
            if started.own.zone == zone
        ]

    async def lose(self, lost: Iterable[members.Member]) -> Detection:
        """Crash daemons of one zone, and wait until other zones notice."""
        gone = {member.instance_id: member for member in lost}
        zones = {member.zone for member in gone.values()}
        for instance_id, lost_member in gone.items():
            self._hub.detach(lost_member.peer_address)
            self._daemons.pop(instance_id).stop()
        observers = [
            started
            for started in self._daemons.values()
            if started.own.zone not in zones
        ]
        lost_at_s = self._clock.monotonic_s()
        times_s = []
        for seen_ids in (
            daemons.SimulatedDaemon.serving_ids,
            daemons.SimulatedDaemon.member_ids,
        ):
            await self._wait_until(
                functools.partial(_none_seen, gone.keys(), observers, seen_ids)
            )
            times_s.append(self._clock.monotonic_s() - lost_at_s)
        return Detection(*times_s)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        until_s = self._clock.monotonic_s() + _NEVER_S
        while not condition() and self._clock.monotonic_s() < until_s:
            await asyncio.sleep(_WATCH_INTERVAL_S)

    def _daemon(self, own: members.Member) -> daemons.SimulatedDaemon:
        crossings = {
            other.peer_address: other.zone != own.zone
            for other in self._fleet.members
        }
        return daemons.SimulatedDaemon(
            own,
            self._hub,
            self._clock,
            random.Random(self._random.getrandbits(_RANDOM_BITS)),
            crossings.get,
        )

    async def _start_later(self, started: daemons.SimulatedDaemon) -> None:
        await asyncio.sleep(self._random.uniform(0, scenario.START_SPREAD_S))
        started.services.offer_targets(self._fleet.targets)
        started.services.limits.set(self._fleet.limits())
        started.start(
            [seed.peer_address for seed in self._fleet.members[:_SEEDS]]
        )

    async def _watch(self) -> None:
        """Record when each daemon knows nearly all others."""
        enough = _JOINED_SHARE * len(self._counted)
        waiting = set(self._counted)
        while waiting:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            for started in tuple(waiting):
                if len(started.membership.members()) >= enough:
                    started.joined_s = self._clock.monotonic_s()
                    waiting.discard(started)


def _none_seen(
    names: Iterable[ids.InstanceId],
    observers: Iterable[daemons.SimulatedDaemon],
    seen_ids: Callable[[daemons.SimulatedDaemon], set[ids.InstanceId]],
) -> bool:
    gone = frozenset(names)
    return all(gone.isdisjoint(seen_ids(observer)) for observer in observers)
