"""How many daemons a zone needs to carry its traffic.

Few carriers know most of each target, but each has only its share of a
processor. The first carrier of a zone adds up what all of them tell of their
load, and decides on the number; the others take it over from its beats.
"""

import math
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.zones import messages

_REQUESTS_A_CARRIER: Final = 110.0
"""Requests a second that one daemon shall carry. Measured, a carrier that
gets a hundred serves them without delay and one that gets twice as many on
the smallest instances, of less than half a processor, no more. Where there
is no need, a second carrier of a zone costs 0.02 to 0.05 of worth, since each
sees less of every target."""

_LATE_MS: Final = 30
"""A timer that is late by so much shows a daemon without any time left:
idle ones are late by a few milliseconds."""

_SETTLES_S: Final = 1.5
"""How long after a change its effect is waited for: callers keep what the
directory told them for a second, some for three."""

_KEPT_S: Final = 5.0
"""How long carriers are kept that are no longer needed: traffic comes in
bursts, and each change costs new connections to targets."""

_SPARE: Final = 0.8
"""Part of the room of one carrier less that the traffic may take."""

_RATE_TIME_S: Final = 0.5
_HEARD_S: Final = 1.0
_LATE_SMOOTHING: Final = 0.3
_MS_PER_S: Final = 1000


class ZoneLoad:
    """Measures this daemon's load and knows that of the zone's carriers.

    For example::

        load = ZoneLoad(clock, begun=lambda: activity.begun)
        load.woke(late_s=0.002)
        told = load.own()  # goes out with the next beat
        count = load.wanted(count, most=8)
    """

    def __init__(
        self,
        clock: clocks.Clock,
        begun: Callable[[], int],
    ) -> None:
        """Take the number of requests since the start from ``begun``."""
        self._clock = clock
        self._begun = begun
        self._begun_before = begun()
        self._measured_s = clock.monotonic_s()
        self._requests_per_s = 0.0
        self._late_ms = 0.0
        self._heard: dict[ids.InstanceId, tuple[float, messages.Load]] = {}
        self._next_growth_s = clock.monotonic_s()
        self._next_decrease_s = clock.monotonic_s()

    def woke(self, late_s: float) -> None:
        """Take in by how much a timer of this daemon was late."""
        late_ms = max(0.0, late_s) * _MS_PER_S
        self._late_ms += _LATE_SMOOTHING * (late_ms - self._late_ms)

    def own(self) -> messages.Load:
        """Return what this daemon tells of its load."""
        self._measure()
        return messages.Load(round(self._requests_per_s), round(self._late_ms))

    def heard(self, sender: ids.InstanceId, load: messages.Load) -> None:
        """Take in what another carrier tells of its load."""
        self._heard[sender] = (self._clock.monotonic_s(), load)

    def wanted(self, count: int, most: int) -> int:
        """Return how many carriers there should be, now that there are some.

        More come at once, as far as ``most``, and one after the other goes.
        """
        now_s = self._clock.monotonic_s()
        count = min(count, most)
        loads = self._loads(now_s)
        total_per_s = sum(load.requests_per_s for load in loads)
        needed = math.ceil(total_per_s / _REQUESTS_A_CARRIER)
        is_late = any(load.late_ms > _LATE_MS for load in loads)
        if is_late and now_s >= self._next_growth_s:
            needed = max(needed, count + 1)
        needed = max(1, min(needed, most))
        if needed > count:
            self._next_growth_s = now_s + _SETTLES_S
            self._next_decrease_s = now_s + _KEPT_S
            return needed
        if is_late or now_s < self._next_decrease_s or count == 1:
            return count
        if total_per_s > _SPARE * _REQUESTS_A_CARRIER * (count - 1):
            return count
        self._next_decrease_s = now_s + _KEPT_S
        return count - 1

    def _loads(self, now_s: float) -> list[messages.Load]:
        self._heard = {
            sender: (heard_s, load)
            for sender, (heard_s, load) in self._heard.items()
            if now_s - heard_s < _HEARD_S
        }
        return [self.own(), *(load for _, load in self._heard.values())]

    def _measure(self) -> None:
        now_s = self._clock.monotonic_s()
        passed_s = now_s - self._measured_s
        if passed_s <= 0:
            return
        begun = self._begun()
        per_s = (begun - self._begun_before) / passed_s
        weight = 1 - math.exp(-passed_s / _RATE_TIME_S)
        self._requests_per_s += weight * (per_s - self._requests_per_s)
        self._begun_before = begun
        self._measured_s = now_s
