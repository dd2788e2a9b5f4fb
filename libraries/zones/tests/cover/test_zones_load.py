"""The number of carriers of a zone by their reported loads."""

import pytest
from hypothesis import given, strategies
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity
from sardinepier.zones import messages, zone_load


class LoadBench:
    """The load measured and recorded by one daemon."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.requests_started = 0
        self.forwarded_bytes = 0
        self.load = zone_load.ZoneLoad(self.clock, self)

    def serve(self, per_s, seconds, answer_bytes=0):
        for _ in range(round(seconds * 4)):
            self.requests_started += per_s / 4
            self.forwarded_bytes += per_s / 4 * answer_bytes
            self.clock.advance(0.25)
            self.load.own()

    def receive(self, name, per_s, late_ms=0):
        self.load.record_load(
            ids.InstanceId(name),
            messages.Load(per_s, late_ms),
        )


def equal_capacities(count, processor_millis=500, link_kbit_per_s=1_000_000):
    """Return equal capacities, each for 110 requests a second by default."""
    single = capacity.Capacity(processor_millis, link_kbit_per_s)
    return (single,) * count


@pytest.fixture
def bench():
    return LoadBench()


def test_one_carrier_is_enough_for_little_traffic(bench):
    bench.serve(90, 5)
    assert bench.load.required_count(1, equal_capacities(10)) == 1


def test_the_number_increases_at_once(bench):
    bench.serve(380, 3)
    assert bench.load.required_count(1, equal_capacities(10)) == 4


def test_the_loads_of_all_carriers_count(bench):
    bench.serve(100, 3)
    bench.receive('a', 150)
    bench.receive('b', 100)
    assert bench.load.required_count(2, equal_capacities(10)) == 4


def test_there_are_no_more_carriers_than_daemons(bench):
    bench.serve(1500, 3)
    assert bench.load.required_count(1, equal_capacities(5)) == 5


def test_a_saturated_daemon_causes_spaced_increases(bench):
    bench.serve(10, 1)
    bench.receive('a', 20, late_ms=200)
    assert bench.load.required_count(2, equal_capacities(10)) == 3
    assert bench.load.required_count(3, equal_capacities(10)) == 3
    bench.clock.advance(1.6)
    bench.receive('a', 20, late_ms=200)
    assert bench.load.required_count(3, equal_capacities(10)) == 4


def test_the_load_of_a_silent_carrier_expires(bench):
    bench.receive('a', 700)
    bench.clock.advance(1.5)
    assert bench.load.required_count(1, equal_capacities(10)) == 1


def test_the_number_decreases_late_and_one_by_one(bench):
    bench.serve(380, 3)
    assert bench.load.required_count(1, equal_capacities(10)) == 4
    bench.serve(10, 2)
    assert bench.load.required_count(4, equal_capacities(10)) == 4
    bench.serve(10, 4)
    assert bench.load.required_count(4, equal_capacities(10)) == 3
    assert bench.load.required_count(3, equal_capacities(10)) == 3


STRONG = equal_capacities(2, 2150, 100_000)
WEAK = equal_capacities(8, 430, 5_000)


def test_a_strong_enough_carrier_is_the_only_one(bench):
    """A second, weak carrier would get half, as callers choose at random."""
    bench.serve(212, 3, answer_bytes=12_000)
    assert bench.load.required_count(1, STRONG + WEAK) == 1


def test_weak_links_need_more_carriers_than_their_processors(bench):
    """Twenty long responses a second fill three links of five megabits."""
    bench.serve(20, 3, answer_bytes=90_000)
    assert bench.load.required_count(1, equal_capacities(8, 500, 5_000)) == 6


def test_weak_daemons_replace_missing_strong_ones(bench):
    bench.serve(150, 3, answer_bytes=2_000)
    assert bench.load.required_count(1, WEAK) == 2
    assert bench.load.required_count(1, STRONG[:1] + WEAK) == 1


@given(
    per_s=strategies.floats(0, 5000),
    count=strategies.integers(1, 30),
    max_count=strategies.integers(1, 30),
    late_ms=strategies.integers(0, 500),
)
def test_the_number_stays_within_its_bounds(per_s, count, max_count, late_ms):
    bench = LoadBench()
    bench.serve(per_s, 2)
    bench.receive('a', 10, late_ms)
    required = bench.load.required_count(count, equal_capacities(max_count))
    assert 1 <= required <= max_count
    assert required >= min(count, max_count) - 1


@given(per_s=strategies.floats(0, 1500))
def test_a_steady_load_has_a_steady_number(per_s):
    bench = LoadBench()
    count = 1
    numbers = []
    for _ in range(120):
        bench.serve(per_s, 0.25)
        count = bench.load.required_count(count, equal_capacities(20))
        numbers.append(count)
    assert len(set(numbers[20:])) == 1
