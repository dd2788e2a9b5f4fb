"""Rate limits of the callers, so that one can't use up the others' share."""

import random
from typing import Final

import xxhash

from sardinepier.core import clock, ids
from sardinepier.routing import errors
from sardinepier.routing.internal import checks, spread

_MAX_DROPPED_PER_CALL: Final = 2
_SEED_BITS: Final = 64
_ROUNDING: Final = 1e-6
"""Part of a token that may be missing, so that rounding causes no refusal."""


class CallerLimits:
    """A token bucket for each caller, with bounded memory.

    Each caller may send ``burst`` requests at once and ``rate_per_s`` on
    average. A bucket is stored as one number, the time at which it will be
    full again. Full buckets are dropped, because a caller without a bucket
    counts as having a full one. No other bucket is dropped, since that would
    grant its caller a second burst.

    Callers are stored by a seeded 64-bit hash instead of their name, which
    bounds the memory whatever the length of the names. The probability that
    any two of 150,000 callers share a bucket is below one in a thousand
    million.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        rate_per_s: float,
        burst: int,
        capacity: int,
        random_source: random.Random,
    ) -> None:
        """Store buckets of at most ``capacity`` callers.

        Raises :class:`errors.RoutingOptionError` unless all are positive.
        """
        checks.positive('rate_per_s', rate_per_s)
        checks.positive('burst', burst)
        checks.positive('capacity', capacity)
        self._clock = local_clock
        self._token_s = 1 / rate_per_s
        self._burst_s = burst / rate_per_s
        self._capacity = capacity
        self._random = random_source
        self._seed = random_source.getrandbits(_SEED_BITS)
        self._full_at_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of callers with a bucket."""
        return len(self._full_at_s)

    def admit(self, caller: ids.CallerId) -> None:
        """Take a token from the caller's bucket.

        Raises :class:`errors.CallerLimitError` if there is none left, and
        :class:`errors.CallerTableFullError` if the caller is new, the table is
        full and no bucket in it can be dropped.
        """
        now_s = self._clock.monotonic_s()
        self._drop_full_buckets(now_s)
        key = xxhash.xxh3_64_intdigest(caller.encode(), self._seed)
        full_at_s = self._full_at_s.get(key)
        if full_at_s is None:
            self._check_capacity(now_s)
        filled_s = max(now_s, full_at_s or now_s) + self._token_s
        wait_s = filled_s - self._burst_s - now_s
        if wait_s > self._token_s * _ROUNDING:
            raise self._limited(wait_s)
        # Insert it again, so that the dictionary stays ordered by last use and
        # the buckets of idle callers are dropped first.
        self._full_at_s.pop(key, None)
        self._full_at_s[key] = filled_s

    def _drop_full_buckets(self, now_s: float) -> None:
        for _ in range(_MAX_DROPPED_PER_CALL):
            oldest = next(iter(self._full_at_s), None)
            if oldest is None or self._full_at_s[oldest] > now_s:
                return
            self._full_at_s.pop(oldest)

    def _check_capacity(self, now_s: float) -> None:
        if len(self._full_at_s) < self._capacity:
            return
        oldest = next(iter(self._full_at_s))
        wait_s = self._full_at_s[oldest] - now_s
        raise errors.CallerTableFullError(
            f'The table of {self._capacity} limited callers is full',
            'Send it again after retry_after_s, or to another address',
            spread.retry_after_s(wait_s, self._random),
        )

    def _limited(self, wait_s: float) -> errors.CallerLimitError:
        return errors.CallerLimitError(
            'The caller has sent more than its share of requests',
            'Send fewer requests; the next one after retry_after_s',
            spread.retry_after_s(wait_s, self._random),
        )
