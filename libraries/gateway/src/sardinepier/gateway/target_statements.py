"""What one target asked for, and when this daemon may send it a request.

A limit is one on the sum over all daemons. Each has a part of it, most of them none,
and spaces its requests evenly.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final

from sardinepier.gateway import statements
from sardinepier.routing import wait_queue

_KEPT_S: Final = 30.0
"""How long a limit is believed that nobody heard again. The daemon that sends to
the target hears it with each answer and passes it on, so that it only lapses
where nobody sends or passes on anything."""

_SPREAD: Final = 1.5


def retry_after_s(
    waits_s: Iterable[float],
    least_s: float,
    random_source: random.Random,
) -> float:
    """Return when a new try makes sense, by when each target wants a request.

    Beyond ``least_s`` it is spread, so that callers refused together don't
    return together. For example waits of 4 s and 9 s become 4 s to 6 s.
    """
    wait_s = min(waits_s, default=0.0)
    if wait_s <= least_s:
        return least_s
    return wait_s * random_source.uniform(1, _SPREAD)


def forecast(
    closed: Iterable['TargetStatements'],
    now_s: float,
) -> wait_queue.CapacityForecast:
    """Return when targets of which none wants a request now want some again."""
    first_s = math.inf
    any_s = math.inf
    per_s = 0.0
    for stated in closed:
        wait_s = stated.accepts_from_s(now_s) - now_s
        if stated.newest.limit_per_s is None:
            any_s = min(any_s, wait_s)
        else:
            first_s = min(first_s, wait_s)
            per_s += stated.own_per_s
    return wait_queue.CapacityForecast(
        first_s, 1 / per_s if per_s else 0.0, any_s
    )


class TargetStatements:
    """The statements of one start of a target, and the pace that they allow.

    For example::

        stated.apply(told, now_s)
        if stated.accepts_from_s(now_s) <= now_s:
            stated.take(now_s)

    ``newest`` was told at ``received_s``, to this daemon or to another one.
    ``part``, 0 to 1, is how much of the target's limit is this daemon's.
    ``backoff_until_s`` is until when it wants nothing from this daemon; no later
    statement shortens that. ``has_backed_off`` says that its newest answer to this
    daemon asked for rest.
    """

    def __init__(self) -> None:
        """Start with a target that asked for nothing."""
        self.newest = statements.EMPTY
        self.received_s = 0.0
        self.part = 1.0
        self.backoff_until_s = 0.0
        self.has_backed_off = False
        self._lapses_at_s = 0.0
        self._next_s = 0.0

    @property
    def interval_s(self) -> float:
        """Return the time between two requests, 0.0 without a limit."""
        limit_per_s = self.newest.limit_per_s
        return 0.0 if limit_per_s is None else 1 / limit_per_s

    @property
    def own_per_s(self) -> float:
        """Return what this daemon may send of the limit, 0.0 without one."""
        return self.part * (self.newest.limit_per_s or 0.0)

    def apply(self, statement: statements.Statement, received_s: float) -> bool:
        """Take in what the target told; tell whether that is anything new.

        What was told before what is known already is passed over, unless it is
        that the target leaves: no answer undoes that.
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
            self._next_s = received_s + 1 / statement.limit_per_s
        self.newest = statement
        self.received_s = received_s
        self._lapses_at_s = received_s + _KEPT_S
        self.backoff_until_s = max(
            self.backoff_until_s, statement.backoff_until_s
        )
        return is_new

    def answered(self, statement: statements.Statement) -> None:
        """Take in whether an answer to this daemon asked for rest."""
        self.has_backed_off = statement.backoff_until_s > 0

    def is_backing_off(self, now_s: float) -> bool:
        """Tell whether the target wants nothing from this daemon now."""
        return now_s < self.backoff_until_s

    def accepts_from_s(self, now_s: float) -> float:
        """Return from when on this daemon may send a request.

        It is infinite while others have all of the target's limit.
        """
        accepts_from_s = max(now_s, self.backoff_until_s)
        if self.newest.limit_per_s is None:
            return accepts_from_s
        if self.part or now_s >= self._lapses_at_s:
            return max(accepts_from_s, self._next_s)
        return math.inf

    def wait_s(self, now_s: float) -> float:
        """Return in how many seconds the target wants a request of anybody.

        When others send to it, that is taken to be its usual interval.
        """
        accepts_from_s = self.accepts_from_s(now_s)
        if math.isinf(accepts_from_s):
            return self.interval_s
        return max(0.0, accepts_from_s - now_s)

    def take(self, now_s: float) -> None:
        """Count a request that is about to be sent."""
        if self.newest.limit_per_s is not None:
            # One that comes late, for want of requests, may be made up for.
            interval_s = self._own_interval_s()
            self._next_s = max(self._next_s, now_s - interval_s) + interval_s

    def refund(self) -> None:
        """Return what was counted for a request that was not sent."""
        self._next_s -= self._own_interval_s()

    def _own_interval_s(self) -> float:
        return self.interval_s / (self.part or 1.0)
