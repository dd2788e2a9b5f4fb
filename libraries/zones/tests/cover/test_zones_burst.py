"""The burst of further attempts holds for the fleet, whatever becomes of a zone.

Every sequence of five events of one zone is played, 2.5 s apart, with carriers
that use whatever they may at once. The sum over all starts of daemons is looked at
in each window.
"""

import itertools

import pytest
from sardinepier.core import clock as clocks
from sardinepier.routing import budget
from sardinepier.zones import burst_share

_BURST = 1000
_ZONES = 4
_DAEMONS = 3
_STEP_S = 2.5
_WINDOW_S = 10.0
_DEPTH = 5
_EVENTS = ('rest', 'handover', 'restart', 'part', 'heal', 'grow', 'leave')


class Daemon:
    """One start of a daemon, and what it used when."""

    def __init__(self, clock):
        self.clock = clock
        self.share = burst_share.BurstShare(clock, _ZONES, _BURST)
        self.retries = budget.RetryBudget(clock, 0, floor=0)

    def use_all(self, *, is_carrier, count, living):
        part = self.share.part(
            is_carrier=is_carrier,
            count=count,
            living=living,
        )
        self.retries.set_burst(part)
        used = 0
        while self.retries.try_spend():
            used += 1
        return used


class Zone:
    """Daemons of which the first carries, and what all of them used."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.daemons = [Daemon(self.clock) for _ in range(_DAEMONS)]
        self.count = 1
        self.is_parted = False
        self.used = []
        # The first has carried for more than a window, and used nothing.
        for daemon in self.daemons[:1]:
            daemon.share.part(is_carrier=True, count=1, living=_DAEMONS)
        self.clock.advance(2 * _WINDOW_S)

    def rest(self):
        """Change nothing."""

    def handover(self):
        self.daemons.append(self.daemons.pop(0))

    def restart(self):
        """The carrier dies; another start of it comes back as the last."""
        self.daemons.pop(0)
        self.daemons.append(Daemon(self.clock))

    def leave(self):
        """All are killed at once and start again."""
        self.daemons = [Daemon(self.clock) for _ in range(_DAEMONS)]

    def part(self):
        self.is_parted = True

    def heal(self):
        self.is_parted = False

    def grow(self):
        self.count = min(self.count + 1, _DAEMONS)

    def step(self):
        """Let all use what they may, and the time pass."""
        for place, daemon in enumerate(self.daemons):
            used = daemon.use_all(**self._view(place))
            self.used.append((self.clock.monotonic_s(), used))
        self.clock.advance(_STEP_S)

    def most_used(self):
        """Return the most of any window that ends with a step."""
        ends = {moment for moment, _ in self.used}
        return max(
            sum(used for moment, used in self.used if 0 <= end - moment <= 9.9)
            for end in ends
        )

    def _view(self, place):
        """Return what a daemon sees; parted, the last one is alone."""
        if not self.is_parted:
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


def worst(events=_EVENTS):
    """Return the most that any sequence of ``events`` lets a zone use."""
    return max(
        played(sequence).most_used()
        for sequence in itertools.product(events, repeat=_DEPTH)
    )


def played(events):
    zone = Zone()
    for event in events:
        getattr(zone, event)()
        zone.step()
    return zone


def test_no_sequence_uses_more_than_the_zone_s_part_of_the_burst():
    assert worst() <= _BURST / _ZONES


@pytest.mark.parametrize(
    ('name', 'figure'),
    [('_RIPE_S', 0.001), ('_SHARE', 0.9)],
)
def test_the_check_finds_what_is_taken_out(monkeypatch, name, figure):
    """Without the growth from nothing, or with a larger share, it fails."""
    monkeypatch.setattr(burst_share, name, figure)
    found = worst(('rest', 'handover', 'restart', 'part', 'heal'))
    assert found > _BURST / _ZONES


def test_a_carrier_of_long_standing_has_nearly_half_of_the_burst():
    zone = played(('rest',))
    assert zone.most_used() >= 0.4 * _BURST / _ZONES
