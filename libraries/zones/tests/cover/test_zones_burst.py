"""The fleet's limit on bursts of further attempts, under any events of a zone.

The tests run every sequence of five events of one zone, 2.5 s apart, with
daemons that use their whole allowance at once. They check the sum over all
incarnations of daemons in each window.
"""

import itertools

import pytest
from sardinepier.core import clock as clocks
from sardinepier.routing import fleet_budget
from sardinepier.zones import burst_share

_BURST = 1000
_ZONES = 4
_DAEMONS = 3
_STEP_S = 2.5
_WINDOW_S = 10.0
_DEPTH = 5
_EVENTS = (
    'no_change',
    'handover',
    'restart',
    'partition',
    'heal',
    'grow',
    'restart_all',
)


class Daemon:
    """One incarnation of a daemon, with its retry budget."""

    def __init__(self, clock):
        self.clock = clock
        self.share = burst_share.BurstShare(clock, _ZONES, _BURST)
        self.retries = fleet_budget.FleetBudget(clock, 0)

    def use_all(self, *, is_carrier, count, living):
        allowance = self.share.part(
            is_carrier=is_carrier,
            count=count,
            living=living,
        )
        self.retries.set_burst(allowance)
        used = 0
        while self.retries.try_spend():
            used += 1
        return used


class Zone:
    """Daemons of one zone, first the carriers, and the attempts they used."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.daemons = [Daemon(self.clock) for _ in range(_DAEMONS)]
        self.count = 1
        self.is_partitioned = False
        self.used = []
        # The first has been a carrier for more than a window without attempts.
        for daemon in self.daemons[:1]:
            daemon.share.part(is_carrier=True, count=1, living=_DAEMONS)
        self.clock.advance(2 * _WINDOW_S)

    def no_change(self):
        """Change nothing."""

    def handover(self):
        self.daemons.append(self.daemons.pop(0))

    def restart(self):
        """Restart the carrier, which becomes the last daemon."""
        self.daemons.pop(0)
        self.daemons.append(Daemon(self.clock))

    def restart_all(self):
        """Restart all daemons at once."""
        self.daemons = [Daemon(self.clock) for _ in range(_DAEMONS)]

    def partition(self):
        self.is_partitioned = True

    def heal(self):
        self.is_partitioned = False

    def grow(self):
        self.count = min(self.count + 1, _DAEMONS)

    def step(self):
        """Let all daemons use their allowance, and advance the clock."""
        for place, daemon in enumerate(self.daemons):
            used = daemon.use_all(**self._view(place))
            self.used.append((self.clock.monotonic_s(), used))
        self.clock.advance(_STEP_S)

    def max_used(self):
        """Return the maximum use in any window that ends with a step."""
        ends = {moment for moment, _ in self.used}
        return max(
            sum(used for moment, used in self.used if 0 <= end - moment <= 9.9)
            for end in ends
        )

    def _view(self, place):
        """Return a daemon's view; in a partition the last one is alone."""
        if not self.is_partitioned:
            return {
                'is_carrier': place < self.count,
                'count': self.count,
                'living': _DAEMONS,
            }
        if place == _DAEMONS - 1:
            return {'is_carrier': True, 'count': 1, 'living': 1}
        return {
            'is_carrier': place < self.count,
            'count': self.count,
            'living': _DAEMONS - 1,
        }


def max_over_sequences(events=_EVENTS):
    """Return the maximum use of a zone over all sequences of ``events``."""
    return max(
        run_events(sequence).max_used()
        for sequence in itertools.product(events, repeat=_DEPTH)
    )


def run_events(events):
    zone = Zone()
    for event in events:
        getattr(zone, event)()
        zone.step()
    return zone


def test_no_sequence_uses_more_than_the_zone_s_share_of_the_burst():
    assert max_over_sequences() <= _BURST / _ZONES


@pytest.mark.parametrize(
    ('name', 'figure'),
    [('_GROWTH_TIME_S', 0.001), ('_CARRIER_SHARE', 0.9)],
)
def test_the_check_fails_without_each_rule(monkeypatch, name, figure):
    """The check fails without the growth of the share or with a larger one."""
    monkeypatch.setattr(burst_share, name, figure)
    max_use = max_over_sequences(
        ('no_change', 'handover', 'restart', 'partition', 'heal')
    )
    assert max_use > _BURST / _ZONES


def test_an_established_carrier_has_nearly_half_of_the_burst():
    zone = run_events(('no_change',))
    assert zone.max_used() >= 0.4 * _BURST / _ZONES
