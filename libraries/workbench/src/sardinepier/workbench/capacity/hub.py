"""Whole fleets of real memberships in one process, in virtual time.

Only membership runs here, over the memory network, so that fleets fit which
the machine could not hold as processes. Bytes are those of the real codec.
"""

import collections
import random
import statistics
import time
from typing import Final

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.membership import (
    events,
    kinds,
    marks,
    membership,
    options,
)
from sardinepier.wire import memory_network, messages
from sardinepier.workbench.capacity import parts, parts_membership, units

_SIZES: Final = (48, 150, 300)
_START_S: Final = 1000.0
_SEEDS: Final = (0, 1, 2)
_TICK_S: Final = 1.0
_MOST_TICKS: Final = 240
_QUIET_TICKS: Final = 30
_PARTED_TICKS: Final = 40
_US_PER_S: Final = 1_000_000
_ZONES: Final = 9


class Traffic(msgspec.Struct, frozen=True):
    """What one daemon sent in one tick."""

    sent_messages: int
    sent_bytes: int


class Hub:
    """Daemons that tick one after the other, each once a second."""

    def __init__(self, size: int, seed: int) -> None:
        """Start ``size`` daemons that know three seeds."""
        self.size = size
        self.clock = clocks.ManualClock(start_s=_START_S)
        self._random = random.Random(seed)
        self._hub = memory_network.MemoryHub(
            kinds.KINDS,
            self.clock,
            self._random,
        )
        self.running: dict[int, membership.Membership] = {}
        self._networks: dict[int, memory_network.MemoryNetwork] = {}
        self.changes: collections.Counter[str] = collections.Counter()
        for number in range(size):
            self.start(number)

    def start(self, number: int, start: int = 0) -> None:
        """Start daemon ``number``, the ``start``-th time."""
        own = parts_membership.member(
            number,
            self.clock.monotonic_s(),
            start,
        )
        network = self._hub.network(
            messages.Sender(own.instance_id, own.peer_address),
        )
        started = membership.Membership(
            own,
            network,
            self.clock,
            random.Random(self._random.random()),
            options.MembershipOptions(),
            lambda: marks.ConfigurationMark(1, 1),
            lambda sender, mark: None,
            self._note,
        )
        started.seed(parts_membership.peer_address(seed) for seed in _SEEDS)
        self.running[number] = started
        self._networks[number] = network

    def crash(self, number: int) -> None:
        """Take a daemon away without a word."""
        self._hub.detach(parts_membership.peer_address(number))
        self.running.pop(number)
        self._networks.pop(number)

    def part(self) -> None:
        """Cut all links between the two halves, both ways."""
        half = self.size // 2
        for first in range(half):
            for second in range(half, self.size):
                one = parts_membership.peer_address(first)
                other = parts_membership.peer_address(second)
                self._hub.cut(one, other)
                self._hub.cut(other, one)

    def rejoin(self) -> None:
        """Heal all links."""
        self._hub.heal_all()

    def tick(self) -> list[Traffic]:
        """Let a second pass; return what each daemon sent meanwhile."""
        before = {
            number: network.counters()
            for number, network in self._networks.items()
        }
        order = list(self.running)
        self._random.shuffle(order)
        for turn in order:
            self.clock.advance(_TICK_S / len(order))
            self.running[turn].tick()
            self._hub.deliver()
        return [
            _traffic(counted, self._networks[name])
            for name, counted in before.items()
        ]

    def agrees(self, expected: int) -> bool:
        """Tell whether all see the same number of serving members."""
        return all(
            len(each.serving()) == expected for each in self.running.values()
        )

    def _note(self, event: events.MemberEvent) -> None:
        self.changes[type(event).__name__] += 1


class Episode(msgspec.Struct, frozen=True):
    """Ticks until all agreed, and the traffic of each tick."""

    settled_after_s: float
    peak_messages: int
    peak_bytes: int
    mean_peak_bytes: float


def run_until_agreed(hub: Hub, expected: int) -> Episode:
    """Tick until all views agree on ``expected`` members."""
    ticks: list[list[Traffic]] = []
    while len(ticks) < _MOST_TICKS:
        ticks.append(hub.tick())
        if hub.agrees(expected):
            break
    return Episode(
        len(ticks) * _TICK_S,
        max(each.sent_messages for tick in ticks for each in tick),
        max(each.sent_bytes for tick in ticks for each in tick),
        max(
            statistics.fmean(each.sent_bytes for each in tick) for tick in ticks
        ),
    )


def measure(seed: int, quick: bool) -> parts.Part:
    """Measure quiet running and the events of a bad day, by size."""
    part = parts.Part('memberships')
    for size in _SIZES[: 1 if quick else None]:
        hub = Hub(size, seed)
        _note_episode(part, size, 'start of all', run_until_agreed(hub, size))
        _measure_quiet(part, hub)
        _measure_losses(part, hub)
        hub.part()
        for _ in range(_PARTED_TICKS):
            hub.tick()
        hub.rejoin()
        _note_episode(part, size, 'halves rejoin', run_until_agreed(hub, size))
    return part


def _measure_losses(part: parts.Part, hub: Hub) -> None:
    size = hub.size
    for event, lost in (
        ('a daemon', range(size - 1, size)),
        ('a zone', range(len(_SEEDS), size, _ZONES)),
    ):
        for number in lost:
            hub.crash(number)
        left = size - len(lost)
        _note_episode(part, size, f'{event} dies', run_until_agreed(hub, left))
        for again in lost:
            hub.start(again, 1)
        _note_episode(
            part,
            size,
            f'{event} comes back',
            run_until_agreed(hub, size),
        )


def _measure_quiet(part: parts.Part, hub: Hub) -> None:
    for _ in range(_QUIET_TICKS):
        hub.tick()
    began_s = time.process_time()
    ticks = [hub.tick() for _ in range(_QUIET_TICKS)]
    taken_s = time.process_time() - began_s
    sent = [each for tick in ticks for each in tick]
    part.amount(
        'quiet: sent',
        hub.size,
        statistics.fmean(each.sent_messages for each in sent),
        units.MESSAGES_PER_S,
        statistics.pstdev(each.sent_messages for each in sent),
    )
    part.amount(
        'quiet: sent',
        hub.size,
        statistics.fmean(each.sent_bytes for each in sent),
        units.BYTES_PER_S,
        statistics.pstdev(each.sent_bytes for each in sent),
    )
    part.amount(
        'quiet: processor time without sockets',
        hub.size,
        taken_s * _US_PER_S / len(sent),
        'us/s',
    )


def _note_episode(
    part: parts.Part,
    size: int,
    name: str,
    episode: Episode,
) -> None:
    part.amount(f'{name}: all agree', size, episode.settled_after_s, 's')
    part.amount(
        f'{name}: highest of one daemon',
        size,
        episode.peak_messages,
        units.MESSAGES_PER_S,
    )
    part.amount(
        f'{name}: highest of one daemon',
        size,
        episode.peak_bytes,
        units.BYTES_PER_S,
    )
    part.amount(
        f'{name}: highest mean of a second',
        size,
        episode.mean_peak_bytes,
        units.BYTES_PER_S,
    )


def _traffic(
    before: object,
    network: memory_network.MemoryNetwork,
) -> Traffic:
    now = network.counters()
    return Traffic(
        now.messages_sent - getattr(before, 'messages_sent', 0),
        now.bytes_sent - getattr(before, 'bytes_sent', 0),
    )
