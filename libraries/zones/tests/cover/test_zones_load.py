"""How many carriers a zone gets by what they say of their load."""

import pytest
from hypothesis import given, strategies
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity
from sardinepier.zones import messages, zone_load


class Bench:
    """One daemon's knowledge of its zone's load."""

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

    def hear(self, name, per_s, late_ms=0):
        self.load.heard(
            ids.InstanceId(name),
            messages.Load(per_s, late_ms),
        )


def able(count, processor_millis=500, link_kbit_per_s=1_000_000):
    """Return what so many equal instances can do: 110 requests a second."""
    one = capacity.Capacity(processor_millis, link_kbit_per_s)
    return (one,) * count


@pytest.fixture
def bench():
    return Bench()


def test_one_is_enough_for_little_traffic(bench):
    bench.serve(90, 5)
    assert bench.load.wanted(1, able(10)) == 1


def test_traffic_is_shared_out_at_once(bench):
    bench.serve(380, 3)
    assert bench.load.wanted(1, able(10)) == 4


def test_what_all_carriers_get_counts(bench):
    bench.serve(100, 3)
    bench.hear('a', 150)
    bench.hear('b', 100)
    assert bench.load.wanted(2, able(10)) == 4


def test_there_are_no_more_than_daemons(bench):
    bench.serve(1500, 3)
    assert bench.load.wanted(1, able(5)) == 5


def test_a_daemon_without_time_left_gets_help_once_a_while(bench):
    bench.serve(10, 1)
    bench.hear('a', 20, late_ms=200)
    assert bench.load.wanted(2, able(10)) == 3
    assert bench.load.wanted(3, able(10)) == 3
    bench.clock.advance(1.6)
    bench.hear('a', 20, late_ms=200)
    assert bench.load.wanted(3, able(10)) == 4


def test_what_a_silent_carrier_said_is_forgotten(bench):
    bench.hear('a', 700)
    bench.clock.advance(1.5)
    assert bench.load.wanted(1, able(10)) == 1


def test_carriers_go_one_by_one_and_late(bench):
    bench.serve(380, 3)
    assert bench.load.wanted(1, able(10)) == 4
    bench.serve(10, 2)
    assert bench.load.wanted(4, able(10)) == 4
    bench.serve(10, 4)
    assert bench.load.wanted(4, able(10)) == 3
    assert bench.load.wanted(3, able(10)) == 3


STRONG = able(2, 2150, 100_000)
WEAK = able(8, 430, 5_000)


def test_one_that_is_strong_enough_carries_alone(bench):
    """Callers choose at random, so that a weak one beside it would get half."""
    bench.serve(212, 3, answer_bytes=12_000)
    assert bench.load.wanted(1, STRONG + WEAK) == 1


def test_weak_links_share_what_a_processor_could_do_alone(bench):
    """Twenty long answers a second fill three links of five megabits."""
    bench.serve(20, 3, answer_bytes=90_000)
    assert bench.load.wanted(1, able(8, 500, 5_000)) == 6


def test_without_the_strong_ones_as_many_weak_ones_carry_as_it_takes(bench):
    bench.serve(150, 3, answer_bytes=2_000)
    assert bench.load.wanted(1, WEAK) == 2
    assert bench.load.wanted(1, STRONG[:1] + WEAK) == 1


@given(
    per_s=strategies.floats(0, 5000),
    count=strategies.integers(1, 30),
    most=strategies.integers(1, 30),
    late_ms=strategies.integers(0, 500),
)
def test_the_number_stays_within_its_bounds(per_s, count, most, late_ms):
    bench = Bench()
    bench.serve(per_s, 2)
    bench.hear('a', 10, late_ms)
    wanted = bench.load.wanted(count, able(most))
    assert 1 <= wanted <= most
    assert wanted >= min(count, most) - 1


@given(per_s=strategies.floats(0, 1500))
def test_a_steady_load_has_a_steady_number(per_s):
    bench = Bench()
    count = 1
    numbers = []
    for _ in range(120):
        bench.serve(per_s, 0.25)
        count = bench.load.wanted(count, able(20))
        numbers.append(count)
    assert len(set(numbers[20:])) == 1
