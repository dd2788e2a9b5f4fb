"""The statements of one target, and when this daemon may send it a request.

A limit applies to the sum over all daemons. Each daemon has a share of it, most
daemons have none, and each spaces its requests evenly.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final

from sardinepier.gateway import statements
from sardinepier.routing import wait_queue

_LIMIT_VALID_S: Final = 30.0
"""How long a limit applies after its last report. The daemon that sends to the
target receives the limit with each answer and shares it, so it expires only
when no daemon sends requests or shares reports."""

_MAX_SPREAD: Final = 1.5


def retry_after_s(
    waits_s: Iterable[float],
    min_s: float,
    random_source: random.Random,
) -> float:
    """Return the retry delay, given the wait until each target accepts one.

    A delay above ``min_s`` is randomized, so that callers that were refused
    together don't return together: waits of 4 s and 9 s become 4 s to 6 s.
    """
    wait_s = min(waits_s, default=0.0)
    if wait_s <= min_s:
        return min_s
    return wait_s * random_source.uniform(1, _MAX_SPREAD)


def forecast(
    waiting: Iterable['TargetStatements'],
    now_s: float,
) -> wait_queue.CapacityForecast:
    """Forecast when targets that accept no requests now accept them again."""
    limited_wait_s = math.inf
    unlimited_wait_s = math.inf
    per_s = 0.0
    for stated in waiting:
        wait_s = stated.accepts_from_s(now_s) - now_s
        if stated.newest.limit_per_s is None:
            unlimited_wait_s = min(unlimited_wait_s, wait_s)
        else:
            limited_wait_s = min(limited_wait_s, wait_s)
            per_s += stated.own_per_s
    return wait_queue.CapacityForecast(
        limited_wait_s, 1 / per_s if per_s else 0.0, unlimited_wait_s
    )


class TargetStatements:
    """The statements of one incarnation of a target, and the allowed pace.

    For example::

        stated.apply(statement, now_s)
        if stated.accepts_from_s(now_s) <= now_s:
            stated.take(now_s)

    This daemon or another daemon received ``newest`` at ``received_s``.
    ``limit_share``, 0 to 1, is this daemon's share of the target's limit. The
    target accepts nothing from this daemon before ``backoff_until_s``, which no
    later statement shortens. ``has_backed_off`` says that the newest answer to
    this daemon asked for backoff.
    """

    def __init__(self) -> None:
        """Start without a statement."""
        self.newest = statements.EMPTY
        self.received_s = 0.0
        self.limit_share = 1.0
        self.backoff_until_s = 0.0
        self.has_backed_off = False
        self._limit_expires_s = 0.0
        self._next_request_s = 0.0

    @property
    def interval_s(self) -> float:
        """Return the time between two requests, 0.0 without a limit."""
        limit_per_s = self.newest.limit_per_s
        return 0.0 if limit_per_s is None else 1 / limit_per_s

    @property
    def own_per_s(self) -> float:
        """Return the rate of this daemon's share, 0.0 without a limit."""
        return self.limit_share * (self.newest.limit_per_s or 0.0)

    def apply(self, statement: statements.Statement, received_s: float) -> bool:
        """Apply a statement; return whether it changes anything.

        A statement older than the newest one is ignored, unless it says that
        the target is leaving: no other answer revokes that.
        """
        if received_s < self.received_s and not statement.is_leaving:
            return False
        if self.newest.is_leaving:
            statement = dataclasses.replace(statement, is_leaving=True)
        is_new = statement != self.newest
        if (
            self.newest.limit_per_s is None
            and statement.limit_per_s is not None
        ):
            self._next_request_s = received_s + 1 / statement.limit_per_s
        self.newest = statement
        self.received_s = received_s
        self._limit_expires_s = received_s + _LIMIT_VALID_S
        self.backoff_until_s = max(
            self.backoff_until_s, statement.backoff_until_s
        )
        return is_new

    def answered(self, statement: statements.Statement) -> None:
        """Record whether an answer to this daemon asked for backoff."""
        self.has_backed_off = statement.backoff_until_s > 0

    def is_backing_off(self, now_s: float) -> bool:
        """Return whether the target accepts nothing from this daemon now."""
        return now_s < self.backoff_until_s

    def accepts_from_s(self, now_s: float) -> float:
        """Return from when on this daemon may send a request.

        It is infinite while other daemons have all of the target's limit.
        """
        accepts_from_s = max(now_s, self.backoff_until_s)
        if self.newest.limit_per_s is None:
            return accepts_from_s
        if self.limit_share or now_s >= self._limit_expires_s:
            return max(accepts_from_s, self._next_request_s)
        return math.inf

    def wait_s(self, now_s: float) -> float:
        """Return in how many seconds the target accepts any request.

        If only other daemons may send to it, the limit's interval is assumed.
        """
        accepts_from_s = self.accepts_from_s(now_s)
        if math.isinf(accepts_from_s):
            return self.interval_s
        return max(0.0, accepts_from_s - now_s)

    def take(self, now_s: float) -> None:
        """Count a request that is about to be sent."""
        if self.newest.limit_per_s is not None:
            # One interval that passed without a request may be made up for.
            interval_s = self._own_interval_s()
            self._next_request_s = (
                max(self._next_request_s, now_s - interval_s) + interval_s
            )

    def refund(self) -> None:
        """Undo :meth:`take` for a request that was not sent."""
        self._next_request_s -= self._own_interval_s()

    def _own_interval_s(self) -> float:
        return self.interval_s / (self.limit_share or 1.0)
