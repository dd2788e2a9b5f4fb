"""A simulated fleet over the memory network, with a manual clock."""

import collections
import random

import pytest

from sardinepier.core import clock, ids
from sardinepier.membership import (
    events,
    kinds,
    marks,
    members,
    membership,
    options,
)
from sardinepier.membership.internal import schedule
from sardinepier.wire import memory_network, messages


class Fleet:
    """Daemons that tick one after another, each once per interval."""

    def __init__(self, size, zones=3, seed=1, **overrides):
        self.clock = clock.ManualClock(start_s=1000)
        self.random = random.Random(seed)
        self.hub = memory_network.MemoryHub(
            kinds.KINDS, self.clock, self.random
        )
        self.zones = zones
        self.options = options.MembershipOptions(**overrides)
        self.running = {}
        self.intervals_s = {}
        self.due_s = {}
        self.networks = {}
        self.paused = set()
        self.events = collections.defaultdict(list)
        self.received_marks = collections.Counter()
        for index in range(size):
            self.start(index)

    def address(self, index):
        return messages.PeerAddress(f'10.0.{index // 200}.{index % 200}', 7000)

    def start(self, index, seeds=(0, 1, 2)):
        address = self.address(index)
        instance_id = ids.InstanceId(
            f'entry-{index}~{self.random.getrandbits(64):016x}'
        )
        network = self.hub.network(messages.Sender(instance_id, address))
        own = members.Member(
            instance_id=instance_id,
            daemon_id=members.daemon_of(instance_id),
            zone=ids.ZoneName(f'zone-{index % self.zones}'),
            region=ids.RegionName('region-1'),
            peer_address=address,
            http_ip=address.ip,
            http_port=8080,
            incarnation=0,
            state=members.MemberState.ALIVE,
            started_at_s=self.clock.monotonic_s(),
        )
        started = membership.Membership(
            own,
            network,
            self.clock,
            random.Random(self.random.getrandbits(64)),
            self.options,
            lambda: marks.ConfigurationMark(index, 2**64 - 1),
            lambda sender, mark: self.received_marks.update(
                [mark.newest_revision]
            ),
            self.events[instance_id].append,
        )
        started.seed(self.address(seed) for seed in seeds)
        self.running[index] = started
        self.networks[index] = network
        return started

    def crash(self, index):
        self.resume(index)
        self.hub.detach(self.address(index))
        self.networks.pop(index)
        return self.running.pop(index)

    def pause(self, index):
        self.paused.add(index)
        self.hub.pause(self.address(index))

    def resume(self, index):
        self.paused.discard(index)
        self.hub.resume(self.address(index))

    def cut(self, sources, destinations):
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.hub.cut(
                        self.address(source), self.address(destination)
                    )

    def partition(self, left, right):
        self.cut(left, right)
        self.cut(right, left)

    def tick(self, count=1, check=None):
        interval_s = self.options.heartbeat_interval_s
        for _ in range(count):
            for index in tuple(self.running):
                self.clock.advance(interval_s / len(self.running))
                if index not in self.paused:
                    self.running[index].tick()
                self.hub.deliver()
            if check:
                check()

    def configure(self, index, **overrides):
        new_options = options.MembershipOptions(**overrides)
        self.running[index].configure(new_options)
        self.intervals_s[index] = new_options.heartbeat_interval_s

    def run_for(self, seconds):
        """Run the fleet, with each daemon ticking at its configured interval."""
        end_s = self.clock.monotonic_s() + seconds
        while True:
            due_s, index = min(self._due(index) for index in self.running)
            if due_s > end_s:
                self.clock.advance(end_s - self.clock.monotonic_s())
                return
            self.clock.advance(due_s - self.clock.monotonic_s())
            self.due_s[index] = due_s + self._interval_s(index)
            if index not in self.paused:
                self.running[index].tick()
            self.hub.deliver()

    def ticks_until(self, condition, limit):
        for ticks in range(limit):
            if condition():
                return ticks
            self.tick()
        raise AssertionError(f'not within {limit} ticks')

    def names(self, indexes=None):
        chosen = self.running if indexes is None else indexes
        return {self.running[index].own.instance_id for index in chosen}

    def sees(self, index):
        return {member.instance_id for member in self.running[index].serving()}

    def agree(self, indexes=None):
        """Return whether each of ``indexes`` sees exactly those as serving."""
        chosen = self.running if indexes is None else indexes
        names = self.names(chosen)
        return all(self.sees(index) == names for index in chosen)

    def reported(self, index, *kinds_of_event):
        """Return the ids that one daemon reported in events of these kinds."""
        return {
            event.instance_id
            for event in self.events[self.running[index].own.instance_id]
            if isinstance(event, kinds_of_event)
        }

    def reported_by_any(self, *kinds_of_event):
        """Return the ids that any running daemon reported in such events."""
        reported_by_each = [
            self.reported(index, *kinds_of_event) for index in self.running
        ]
        return set().union(*reported_by_each)

    def died(self):
        return self.reported_by_any(events.MemberDied, events.MemberReplaced)

    def sent(self):
        """Return the messages and bytes sent so far by each running daemon."""
        counts = [network.counters() for network in self.networks.values()]
        return [(count.messages_sent, count.bytes_sent) for count in counts]

    def _interval_s(self, index):
        default_s = schedule.interval_s(self.running[index]._known)
        return self.intervals_s.get(index, default_s)

    def _due(self, index):
        now_s = self.clock.monotonic_s()
        latest_s = now_s + self._interval_s(index)
        if index not in self.due_s:
            self.due_s[index] = self.random.uniform(now_s, latest_s)
        self.due_s[index] = min(max(self.due_s[index], now_s), latest_s)
        return self.due_s[index], index


@pytest.fixture
def new_fleet():
    return Fleet


@pytest.fixture
def settled_fleet():
    def settled(size, **arguments):
        fleet = Fleet(size, **arguments)
        fleet.ticks_until(fleet.agree, limit=40)
        fleet.tick(20)
        return fleet

    return settled
