"""A token bucket that limits the rate of calls."""

import asyncio
import math

from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.platform import errors


class TokenBucket:
    """Allows ``rate_per_s`` calls a second, in bursts of up to ``burst``.

    Waiting calls start in order, because each takes its token before it
    waits. The balance may thus be negative; divided by the rate it is the
    length of the queue in seconds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rate_per_s: float,
        burst: int,
    ) -> None:
        """Start with a full bucket.

        Raises :class:`sardinepier.core.errors.InvalidArgumentError` when the
        rate is not above zero or the burst is below one.
        """
        _check_rate(rate_per_s)
        _check_burst(burst)
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s = clock.monotonic_s()

    def set_rate(self, rate_per_s: float) -> None:
        """Allow ``rate_per_s`` calls a second from now on.

        Raises :class:`sardinepier.core.errors.InvalidArgumentError` when the
        rate is not above zero.
        """
        _check_rate(rate_per_s)
        self._refill(self._clock.monotonic_s())
        self._rate_per_s = rate_per_s

    async def take(self, deadline_s: float) -> None:
        """Wait for a token.

        Raises :class:`errors.PlatformBudgetError` at once when none becomes
        available before ``deadline_s`` on the clock.
        """
        wait_s = self.reserve(deadline_s)
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def reserve(self, deadline_s: float) -> float:
        """Take a token and return how many seconds the call must wait.

        Raises :class:`errors.PlatformBudgetError` without taking a token when
        the wait would end after ``deadline_s``.
        """
        now_s = self._clock.monotonic_s()
        self._refill(now_s)
        wait_s = max(0.0, (1 - self._tokens) / self._rate_per_s)
        if now_s + wait_s > deadline_s:
            raise errors.PlatformBudgetError(
                f'The next call to the platform may start in {wait_s:.2f} s, '
                + 'which is too late for this one',
                'Try again later, or raise platform_reads_per_s',
            )
        self._tokens -= 1
        return wait_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._tokens = min(
            float(self._burst),
            self._tokens + elapsed_s * self._rate_per_s,
        )


def _check_rate(rate_per_s: float) -> None:
    if not 0 < rate_per_s < math.inf:
        raise core_errors.InvalidArgumentError(
            f'The rate of platform calls is {rate_per_s} a second',
            'Pass a finite rate above 0',
        )


def _check_burst(burst: int) -> None:
    if burst < 1:
        raise core_errors.InvalidArgumentError(
            f'The burst of platform calls is {burst}',
            'Pass 1 or more',
        )
