"""The fleet's retry budget, summed over all daemons and their incarnations.

In any window of ten seconds a service may get at most a fifth of its requests,
and the burst, as further attempts. The requests are counted in that window, in
the one before it or in the one half a window before, whichever has most. Here
every daemon spends all that it may, at once, while events move the callers.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinepier.core import clock as clocks
from sardinepier.daemon import entry_process
from sardinepier.entry import service_retries
from sardinepier.zones import burst_share

_RATIO = 0.2
_BURST = 58
_WINDOW_S = 10.0
_STEP_S = 0.1
_STEPS_A_WINDOW = 100
_ZONES = 3
_DAEMONS_A_ZONE = 8
_FAULT_S = 20.0
_END_S = 45.0


class Daemon:
    """One incarnation of a daemon: its retry budget and its burst."""

    def __init__(self, clock, random_source):
        self.share = burst_share.BurstShare(clock, _ZONES, _BURST)
        self.budget = service_retries.ServiceRetries(
            clock,
            random_source,
            100 * _RATIO * entry_process._RETRY_RATIO_SHARE,
            lambda: 0.3,
        ).budget

    def update_burst(self, *, is_carrier, count):
        self.budget.set_burst(
            self.share.part(
                is_carrier=is_carrier, count=count, living=_DAEMONS_A_ZONE
            )
        )


class Zone:
    """Daemons in the order in which they carry the zone's callers."""

    def __init__(self, clock, random_source, per_s, carriers):
        self.clock = clock
        self.random = random_source
        self.per_s = per_s
        self.carriers = carriers
        self.surge_until_s = 0.0
        self.are_split = False
        self.due = random_source.random()
        self.daemons = [self.new_daemon() for _ in range(_DAEMONS_A_ZONE)]

    def new_daemon(self):
        return Daemon(self.clock, self.random)

    def move(self):
        """Hand the zone over to daemons that had no callers."""
        self.daemons = (
            self.daemons[self.carriers :] + self.daemons[: self.carriers]
        )

    def kill(self):
        """End the carriers; the next ones take over, new processes come last."""
        ended = range(self.carriers)
        self.daemons = self.daemons[self.carriers :] + [
            self.new_daemon() for _ in ended
        ]

    def kill_all(self):
        """End all daemons, which start again."""
        self.daemons = [self.new_daemon() for _ in self.daemons]

    def grow(self):
        """Spread the callers over one more carrier."""
        self.carriers = min(self.carriers + 1, _DAEMONS_A_ZONE // 2)

    def split(self):
        """Let half of the callers use the next daemons, or end that."""
        self.are_split = not self.are_split

    def surge(self):
        """Let 1.7 times the usual callers come for three seconds."""
        self.surge_until_s = self.clock.monotonic_s() + 3.0

    def step(self, *, is_faulty):
        """Return the requests of one step, and the retries spent in it."""
        used = self.daemons[: self.carriers * (1 + self.are_split)]
        for daemon in self.daemons:
            daemon.update_burst(is_carrier=daemon in used, count=self.carriers)
        is_surging = self.clock.monotonic_s() < self.surge_until_s
        self.due += self.per_s * (1 + 0.7 * is_surging) * _STEP_S
        requests = int(self.due)
        self.due -= requests
        spent = 0
        for _ in range(requests):
            self.random.choice(used).budget.record_request()
        if is_faulty:
            for daemon in self.daemons:
                while daemon.budget.try_spend():
                    spent += 1
        return requests, spent


class Fleet:
    """Zones with callers, and what they sent and spent in each step."""

    def __init__(self, seed, rates, carriers=1):
        random_source = random.Random(seed)
        self.clock = clocks.ManualClock(100.0)
        self.zones = [
            Zone(self.clock, random_source, per_s, carriers) for per_s in rates
        ]
        self.requests = []
        self.spent = []

    def play(self, events, fault_s=_FAULT_S):
        """Play ``events``: seconds, a zone, and the name of its method."""
        upcoming = sorted(events, reverse=True)
        for number in range(round(_END_S / _STEP_S)):
            now_s = number * _STEP_S
            while upcoming and upcoming[-1][0] <= now_s:
                _, zone, event = upcoming.pop()
                getattr(self.zones[zone], event)()
            steps = [
                zone.step(is_faulty=now_s >= fault_s) for zone in self.zones
            ]
            self.requests.append(sum(requests for requests, _ in steps))
            self.spent.append(sum(spent for _, spent in steps))
            self.clock.advance(_STEP_S)
        return self

    def excess(self):
        """Return by how much the worst window exceeds what is allowed."""
        return max(
            _sum(self.spent, end) - self.allowed(end)
            for end in range(1, len(self.spent) + 1)
        )

    def allowed(self, end):
        half = _STEPS_A_WINDOW // 2
        requests = max(
            _sum(self.requests, end - shift)
            for shift in (0, half, _STEPS_A_WINDOW)
        )
        return _RATIO * requests + _BURST


def _sum(counts, end):
    return sum(counts[max(0, end - _STEPS_A_WINDOW) : max(0, end)])


_RATES = (25.4, 34.9, 25.0)


@pytest.mark.parametrize('carriers', [1, 2, 4])
@pytest.mark.parametrize('event', ['move', 'kill', 'kill_all'])
@pytest.mark.parametrize('zones', [1, 2, 3])
@pytest.mark.parametrize('seed', [1, 2])
def test_callers_that_move_during_a_fault_bring_no_second_budget(
    carriers, event, zones, seed
):
    """Guards against a daemon whose spending counts no more once it is left.

    Its successor had a full budget for the same seconds: up to 1.5 times the
    allowed retries, a second after all targets began to fail.
    """
    events = [(_FAULT_S + 1.0, zone, event) for zone in range(zones)]
    assert Fleet(seed, _RATES, carriers).play(events).excess() <= 0


_EVENTS = st.lists(
    st.tuples(
        st.floats(_FAULT_S - 4.0, _FAULT_S + 18.0),
        st.integers(0, _ZONES - 1),
        st.sampled_from(['move', 'kill', 'kill_all', 'grow', 'split', 'surge']),
    ),
    max_size=12,
)


@settings(max_examples=60)
@given(
    _EVENTS,
    st.lists(st.floats(1.0, 60.0), min_size=_ZONES, max_size=_ZONES),
    st.integers(1, 4),
    st.integers(0, 1000),
)
def test_no_window_has_more_retries_than_allowed_under_any_events(
    events, rates, carriers, seed
):
    """Guards against sums over daemons that no single daemon sees."""
    assert Fleet(seed, rates, carriers).play(events).excess() <= 0


def test_a_fault_without_events_uses_most_of_the_budget():
    """Guards against a bound that holds since nothing is retried."""
    fleet = Fleet(1, _RATES).play([])
    window = slice(-_STEPS_A_WINDOW, None)
    assert sum(fleet.spent[window]) >= 0.8 * _RATIO * sum(
        fleet.requests[window]
    )
