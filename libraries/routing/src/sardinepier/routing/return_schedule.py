"""When refused requests return, one after another."""

import dataclasses
import itertools
import random
from typing import Final

from sardinepier.core import ids

_HORIZON_S: Final = 20.0
"""Latest return. The rates by which it is forecast change within seconds."""

_MIN_WAIT_S: Final = 0.05
_EARLY_S: Final = 0.05
"""A request that returns by this much too early is recognised. ``Retry-After``
has milliseconds, and the clocks of callers differ in rate."""

_GRACE_S: Final = 5.0
"""For this time after its return time, a request is recognised. Callers may
round ``Retry-After`` up to whole seconds or add a random delay of their own."""

_MAX_LIFETIME_S: Final = _HORIZON_S + _GRACE_S
_CAPACITY: Final = 4096
"""Entries, each of about 300 bytes: the refusals of 20 s at 200 a second."""

_MAX_DROPPED_PER_CALL: Final = 2
_JITTER: Final = 0.25

_Lane = tuple[ids.CustomerName, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    refused_s: float
    return_s: float


class ReturnSchedule:
    """Gives each refused request a return time, and recognises it then.

    The return times of one customer and priority follow each other at the
    given interval. For example::

        retry_after_s = schedule.refuse(
            customer, 1, fingerprint, now_s, first_s=0.3, interval_s=0.1
        )
        ...
        schedule.has_returned(customer, fingerprint, now_s)

    Equal requests of one customer share an entry, the latest one.
    """

    def __init__(
        self,
        random_source: random.Random,
        capacity: int = _CAPACITY,
    ) -> None:
        """Keep at most ``capacity`` refused requests, the latest ones."""
        self._random = random_source
        self._capacity = capacity
        # In the order of their refusals, so that the oldest are dropped first.
        self._entries: dict[tuple[ids.CustomerName, int], _Entry] = {}
        self._last_return_s: dict[_Lane, float] = {}

    def __len__(self) -> int:
        """Return the number of refused requests that may return."""
        return len(self._entries)

    def refuse(
        self,
        customer: ids.CustomerName,
        priority: int,
        fingerprint: int,
        now_s: float,
        *,
        first_s: float,
        interval_s: float,
    ) -> float:
        """Return after how many seconds the refused request is to return.

        That is not before ``first_s`` seconds from now, and ``interval_s``
        after the return before it. The interval varies at random, so that
        returns at several daemons don't coincide.
        """
        self._drop_expired(now_s)
        lane = (customer, priority)
        last_s = self._last_return_s.get(lane, 0.0)
        jitter = 1 + _JITTER * (2 * self._random.random() - 1)
        return_s = max(
            now_s + max(first_s, _MIN_WAIT_S),
            last_s + jitter * interval_s,
        )
        if return_s > now_s + _HORIZON_S:
            # The schedule is full, and the request returns in its second half.
            return_s = now_s + _HORIZON_S * (1 - self._random.random() / 2)
        else:
            self._last_return_s[lane] = return_s
        key = (customer, fingerprint)
        self._entries.pop(key, None)
        self._entries[key] = _Entry(now_s, return_s)
        return return_s - now_s

    def has_returned(
        self,
        customer: ids.CustomerName,
        fingerprint: int,
        now_s: float,
    ) -> bool:
        """Return whether a refused request returns at its time; forget it.

        One that returns too early has no precedence, and keeps its entry.
        """
        entry = self._entries.get((customer, fingerprint))
        if entry is None or now_s < entry.return_s - _EARLY_S:
            return False
        del self._entries[customer, fingerprint]
        return now_s <= entry.return_s + _GRACE_S

    def _drop_expired(self, now_s: float) -> None:
        for _ in range(_MAX_DROPPED_PER_CALL):
            oldest = next(iter(self._entries), None)
            if oldest is None:
                break
            age_s = now_s - self._entries[oldest].refused_s
            if age_s <= _MAX_LIFETIME_S and len(self._entries) < self._capacity:
                break
            del self._entries[oldest]
        lanes = itertools.islice(self._last_return_s, _MAX_DROPPED_PER_CALL)
        for lane in tuple(lanes):
            # Insert it again, so that the next call looks at other lanes.
            last_s = self._last_return_s.pop(lane)
            if last_s > now_s:
                self._last_return_s[lane] = last_s
