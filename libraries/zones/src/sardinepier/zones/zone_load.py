"""Number of carriers that a zone needs for its traffic.

With fewer carriers each observes more requests to a target, but each has
limited capacity. The first carrier of a zone adds up the reported loads of all
carriers and decides on the number; the others adopt it from its heartbeats.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.zones import messages, strength

_MAX_TIMER_DELAY_MS: Final = 30
"""Timer delay that shows a saturated processor; timers of idle daemons are late
by a few milliseconds."""

_SETTLING_TIME_S: Final = 1.5
"""Time after an increase before late timers cause another one: callers cache
the addresses of the directory for a second, some for three."""

_MIN_KEEP_TIME_S: Final = 5.0
"""Minimum time before the number decreases: traffic comes in bursts, and each
change costs new connections to targets."""

_DECREASE_UTILIZATION: Final = 0.8
"""Utilization that the remaining carriers may have at most after a decrease."""

_RATE_TIME_CONSTANT_S: Final = 0.5
_LOAD_VALID_S: Final = 1.0
_DELAY_SMOOTHING: Final = 0.3
_MS_PER_S: Final = 1000
_BITS_PER_BYTE: Final = 8
_BITS_PER_KBIT: Final = 1000


class Traffic(Protocol):
    """Counters of a daemon's traffic since its start, which only grow."""

    @property
    def requests_started(self) -> int:
        """Return the number of requests."""
        ...

    @property
    def forwarded_bytes(self) -> int:
        """Return the bytes of requests and responses, each counted once."""
        ...


class ZoneLoad:
    """Measures this daemon's load, and records that of the zone's carriers.

    For example::

        load = ZoneLoad(clock, activity)
        load.record_timer_delay(late_s=0.002)
        reported = load.own()  # for the next heartbeat
        count = load.required_count(count, carriers.capacities())
    """

    def __init__(
        self,
        clock: clocks.Clock,
        traffic: Traffic,
    ) -> None:
        """Measure the load by the counters of ``traffic``."""
        self._clock = clock
        self._traffic = traffic
        self._previous_requests = traffic.requests_started
        self._previous_bytes = traffic.forwarded_bytes
        self._measured_s = clock.monotonic_s()
        self._requests_per_s = 0.0
        self._kbit_per_s = 0.0
        self._late_ms = 0.0
        self._reported: dict[ids.InstanceId, tuple[float, messages.Load]] = {}
        self._next_growth_s = clock.monotonic_s()
        self._next_decrease_s = clock.monotonic_s()

    def record_timer_delay(self, late_s: float) -> None:
        """Record the delay of a timer of this daemon."""
        late_ms = max(0.0, late_s) * _MS_PER_S
        self._late_ms += _DELAY_SMOOTHING * (late_ms - self._late_ms)

    def own(self) -> messages.Load:
        """Measure and return this daemon's load."""
        self._measure()
        return messages.Load(
            round(self._requests_per_s),
            round(self._late_ms),
            round(self._kbit_per_s),
        )

    def record_load(self, sender: ids.InstanceId, load: messages.Load) -> None:
        """Record the load that another carrier reports."""
        self._reported[sender] = (self._clock.monotonic_s(), load)

    def required_count(
        self,
        count: int,
        candidates: Sequence[capacities.Capacity],
    ) -> int:
        """Return how many carriers the zone needs, if it has ``count``.

        ``candidates`` are the capacities of the daemons that can carry the
        zone, in the order in which they become carriers. The number increases
        at once, and decreases one by one.
        """
        now_s = self._clock.monotonic_s()
        max_count = max(1, len(candidates))
        count = min(count, max_count)
        loads = self._loads(now_s)
        needed = _required_count(loads, candidates, 1.0)
        is_saturated = any(load.late_ms > _MAX_TIMER_DELAY_MS for load in loads)
        if is_saturated and now_s >= self._next_growth_s:
            needed = max(needed, count + 1)
        needed = max(1, min(needed, max_count))
        if needed > count:
            self._next_growth_s = now_s + _SETTLING_TIME_S
            self._next_decrease_s = now_s + _MIN_KEEP_TIME_S
            return needed
        if is_saturated or now_s < self._next_decrease_s or count == 1:
            return count
        if _required_count(loads, candidates, _DECREASE_UTILIZATION) >= count:
            return count
        self._next_decrease_s = now_s + _MIN_KEEP_TIME_S
        return count - 1

    def _loads(self, now_s: float) -> list[messages.Load]:
        self._reported = {
            sender: (received_s, load)
            for sender, (received_s, load) in self._reported.items()
            if now_s - received_s < _LOAD_VALID_S
        }
        return [self.own(), *(load for _, load in self._reported.values())]

    def _measure(self) -> None:
        now_s = self._clock.monotonic_s()
        elapsed_s = now_s - self._measured_s
        if elapsed_s <= 0:
            return
        weight = 1 - math.exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
        requests_started = self._traffic.requests_started
        forwarded_bytes = self._traffic.forwarded_bytes
        per_s = (requests_started - self._previous_requests) / elapsed_s
        bits = _BITS_PER_BYTE * (forwarded_bytes - self._previous_bytes)
        self._requests_per_s += weight * (per_s - self._requests_per_s)
        self._kbit_per_s += weight * (
            bits / _BITS_PER_KBIT / elapsed_s - self._kbit_per_s
        )
        self._previous_requests = requests_started
        self._previous_bytes = forwarded_bytes
        self._measured_s = now_s


def _required_count(
    loads: Iterable[messages.Load],
    candidates: Sequence[capacities.Capacity],
    utilization: float,
) -> int:
    """Return the minimum number of carriers that can handle ``loads``.

    Callers choose among them at random, so that the weakest gets as much as
    the strongest. ``utilization`` is the part of each capacity that is used.
    If all candidates together are not enough, all of them are needed.
    """
    all_loads = list(loads)
    requests_per_s = sum(load.requests_per_s for load in all_loads)
    kbit_per_s = sum(load.kbit_per_s for load in all_loads)
    weakest_requests_per_s = math.inf
    weakest_kbit_per_s = math.inf
    for place, capacity in enumerate(candidates, start=1):
        weakest_requests_per_s = min(
            weakest_requests_per_s,
            utilization * strength.requests_per_s(capacity),
        )
        weakest_kbit_per_s = min(
            weakest_kbit_per_s,
            utilization * strength.kbit_per_s(capacity),
        )
        if requests_per_s > place * weakest_requests_per_s:
            continue
        if kbit_per_s <= place * weakest_kbit_per_s:
            return place
    return len(candidates)
