"""How many daemons a zone needs to carry its traffic.

Few carriers know most of each target, but each has only its share of a
processor. The first carrier of a zone adds up what all of them tell of their
load, and decides on the number; the others take it over from its beats.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.zones import messages, strength

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
"""Part of what the carriers can do that the traffic may take when there is one
less of them."""

_RATE_TIME_S: Final = 0.5
_HEARD_S: Final = 1.0
_LATE_SMOOTHING: Final = 0.3
_MS_PER_S: Final = 1000
_BITS: Final = 8
_BITS_A_KBIT: Final = 1000


class Traffic(Protocol):
    """What a daemon has had to do since its start; numbers that only grow."""

    @property
    def requests_started(self) -> int:
        """Return the requests."""
        ...

    @property
    def forwarded_bytes(self) -> int:
        """Return the bytes of requests and answers, each counted once."""
        ...


class ZoneLoad:
    """Measures this daemon's load and knows that of the zone's carriers.

    For example::

        load = ZoneLoad(clock, activity)
        load.woke(late_s=0.002)
        told = load.own()  # goes out with the next beat
        count = load.wanted(count, carriers.capacities())
    """

    def __init__(
        self,
        clock: clocks.Clock,
        traffic: Traffic,
    ) -> None:
        """Take what passed since the start from ``traffic``."""
        self._clock = clock
        self._traffic = traffic
        self._begun_before = traffic.requests_started
        self._bytes_before = traffic.forwarded_bytes
        self._measured_s = clock.monotonic_s()
        self._requests_per_s = 0.0
        self._kbit_per_s = 0.0
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
        return messages.Load(
            round(self._requests_per_s),
            round(self._late_ms),
            round(self._kbit_per_s),
        )

    def heard(self, sender: ids.InstanceId, load: messages.Load) -> None:
        """Take in what another carrier tells of its load."""
        self._heard[sender] = (self._clock.monotonic_s(), load)

    def wanted(
        self,
        count: int,
        able: Sequence[capacities.Capacity],
    ) -> int:
        """Return how many carriers there should be, now that there are some.

        ``able`` is what those can do that may carry the zone, in the order in
        which they are chosen. More come at once, and one after the other
        goes.
        """
        now_s = self._clock.monotonic_s()
        most = max(1, len(able))
        count = min(count, most)
        loads = self._loads(now_s)
        needed = _needed(loads, able, 1.0)
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
        if _needed(loads, able, _SPARE) >= count:
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
        weight = 1 - math.exp(-passed_s / _RATE_TIME_S)
        begun = self._traffic.requests_started
        passed_bytes = self._traffic.forwarded_bytes
        per_s = (begun - self._begun_before) / passed_s
        bits = _BITS * (passed_bytes - self._bytes_before)
        self._requests_per_s += weight * (per_s - self._requests_per_s)
        self._kbit_per_s += weight * (
            bits / _BITS_A_KBIT / passed_s - self._kbit_per_s
        )
        self._begun_before = begun
        self._bytes_before = passed_bytes
        self._measured_s = now_s


def _needed(
    loads: Iterable[messages.Load],
    able: Sequence[capacities.Capacity],
    share: float,
) -> int:
    """Return the least number of carriers that bear ``loads`` together.

    Callers choose at random among them, so that the weakest gets as much as
    the strongest. ``share`` is how much of what each can do is used. Without
    enough of them all have to carry.
    """
    known = list(loads)
    requests_per_s = sum(load.requests_per_s for load in known)
    kbit_per_s = sum(load.kbit_per_s for load in known)
    weakest_requests_per_s = math.inf
    weakest_kbit_per_s = math.inf
    for place, capacity in enumerate(able, start=1):
        weakest_requests_per_s = min(
            weakest_requests_per_s,
            share * strength.requests_per_s(capacity),
        )
        weakest_kbit_per_s = min(
            weakest_kbit_per_s,
            share * strength.kbit_per_s(capacity),
        )
        if requests_per_s > place * weakest_requests_per_s:
            continue
        if kbit_per_s <= place * weakest_kbit_per_s:
            return place
    return len(able)
