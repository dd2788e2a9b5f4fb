"""The requests of one customer that wait for a token at one daemon."""

import collections
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.routing import (
    admission,
    customer_demand,
    fleet_limits,
    queue_order,
    wait_queue,
)
from sardinepier.routing.internal import arrival_rates, token_forecast

_LENGTH: Final = 256
"""Requests that may wait: a second of the excess of a large customer."""

_MIN_RECHECK_S: Final = 0.005
_MAX_RECHECK_S: Final = 1.0
"""Bounds of the time between two checks of the queue. The upper one bounds how
late it notices that requests get no token in time any more."""

_SHARED_RECHECK_S: Final = 0.1
"""Time between two checks while requests also wait elsewhere. It bounds how late
the queue notices that no tokens have to be left for them any more."""

_MIN_FORECAST_INTERVAL_S: Final = 0.05
"""A request that can't be served any more is refused so much later at most."""

_TOKEN_RULES: Final = queue_order.QueueRules(
    late_go_last=False,
    estimates_waits=False,
    forecast_interval_s=_MIN_FORECAST_INTERVAL_S,
)


class CustomerQueue:
    """A slot queue for tokens, and the rates of arrivals by priority.

    ``used_s`` is when a request last had to wait.
    """

    def __init__(
        self,
        customer: ids.CustomerName,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: fleet_limits.FleetLimits,
        peers: customer_demand.PeerDemands,
    ) -> None:
        """Start without requests."""
        now_s = clock.monotonic_s()
        self.customer = customer
        self.used_s = now_s
        self.rates = arrival_rates.ArrivalRates(now_s)
        self._waiting: collections.Counter[int] = collections.Counter()
        self._clock = clock
        self._limits = limits
        self._peers = peers
        self._slots: admission.SlotQueue[ids.CustomerName] = (
            admission.SlotQueue(
                clock,
                _LENGTH,
                random_source,
                limits.refund,
                self._forecast,
                recheck_after_s=self._recheck_after_s,
                rules=_TOKEN_RULES,
            )
        )

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._slots)

    async def acquire(self, request: wait_queue.QueuedRequest) -> bool:
        """Take a token, and return whether the request had to wait for it.

        Raises the refusals of :class:`admission.SlotQueue`.
        """
        attempt = _TokenAttempt(self, request.priority, self._waiting)
        with attempt:
            await self._slots.acquire(request, attempt.choose)
        return attempt.has_waited

    def make_room(self, request: wait_queue.QueuedRequest) -> bool:
        """Let ``request`` in though no more requests of all queues may wait.

        Returns true if it gets a token without a wait, or if a request of
        lower precedence was refused in its place.
        """
        self.wake()
        wait_s = self._limits.wait_s(
            self.customer, self._leave(request.priority)
        )
        return not wait_s or self._slots.displace_last(request)

    def take(self, priority: int) -> ids.CustomerName | None:
        """Take a token; return None if there is none for this priority."""
        if self._limits.take(self.customer, self._leave(priority)):
            self.used_s = self._clock.monotonic_s()
            return None
        return self.customer

    def wake(self) -> None:
        """Hand out tokens, and refuse requests that get none in time."""
        self._slots.wake()

    def demands(self) -> tuple[customer_demand.Demand, ...]:
        """Return the waiting and arriving requests by priority."""
        per_s = self.rates.per_s(self._clock.monotonic_s())
        waiting = +self._waiting
        return tuple(
            customer_demand.Demand(
                priority,
                waiting[priority],
                per_s.get(priority, 0.0),
            )
            for priority in sorted(per_s.keys() | waiting.keys())
        )

    def token_forecast(self) -> token_forecast.TokenForecast:
        """Return the forecast for the tokens."""
        now_s = self._clock.monotonic_s()
        elsewhere = self._peers.of(self.customer, now_s)
        demands = tuple(elsewhere.values())
        return token_forecast.TokenForecast(
            now_s,
            self._limits.supply(self.customer, elsewhere.keys()),
            token_forecast.arrivals_per_s(self.rates.per_s(now_s), demands),
            demands,
        )

    def waiting_up_to(self, priority: int) -> int:
        """Return how many requests of this or a higher priority wait here."""
        return sum(
            count
            for waiting, count in self._waiting.items()
            if waiting <= priority
        )

    def _forecast(self) -> wait_queue.Forecast:
        if self._limits.is_limited(self.customer):
            return self.token_forecast()
        return wait_queue.AVAILABLE_NOW

    def _recheck_after_s(self) -> float:
        priorities = (+self._waiting).keys()
        leave = self._leave(min(priorities, default=0))
        wait_s = self._limits.wait_s(self.customer, leave)
        is_shared = self._peers.of(self.customer, self._clock.monotonic_s())
        max_s = _SHARED_RECHECK_S if is_shared else _MAX_RECHECK_S
        return min(max_s, max(_MIN_RECHECK_S, wait_s))

    def _leave(self, priority: int) -> float:
        """Return the tokens to leave for requests of higher priority.

        These are for the requests that wait elsewhere, and for those expected
        at any daemon until the next report.
        """
        now_s = self._clock.monotonic_s()
        own_per_s = sum(
            per_s
            for other, per_s in self.rates.per_s(now_s).items()
            if other < priority
        )
        waiting, others_per_s = self._peers.above(
            self.customer, priority, now_s
        )
        return waiting + token_forecast.RESERVED_S * (own_per_s + others_per_s)


class _TokenAttempt:
    """Takes a token for one request, which counts as waiting meanwhile."""

    def __init__(
        self,
        queue: CustomerQueue,
        priority: int,
        waiting: collections.Counter[int],
    ) -> None:
        self.has_waited = False
        self._queue = queue
        self._priority = priority
        self._waiting = waiting

    def __enter__(self) -> None:
        """Count the request as waiting."""
        self._waiting[self._priority] += 1

    def __exit__(self, *error: object) -> None:
        """Count the request no longer, however its wait ended."""
        self._waiting[self._priority] -= 1

    def choose(self) -> ids.CustomerName | None:
        """Take a token; return None if there is none."""
        taken = self._queue.take(self._priority)
        self.has_waited = self.has_waited or taken is None
        return taken
