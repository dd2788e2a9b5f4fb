"""The queue of requests that wait for a slot, without I/O.

The queue is bounded and ordered by priority, then by deadline. A request that
can't be served in time is refused as soon as that is known. The queue does not
depend on ``asyncio``: :mod:`sardinepier.routing.admission` adapts it to tasks,
and experiments run it with simulated time.
"""

import bisect
import collections
import dataclasses
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, Generic, Protocol, TypeVar

from sardinepier.core import clock
from sardinepier.routing import errors, queue_order
from sardinepier.routing.internal import checks, refusals, wait_estimate

QueuedRequest = queue_order.QueuedRequest

GrantT = TypeVar('GrantT')
"""What a waiter gets, for example the id of a target with a free slot."""

_WAIT_SAFETY_FACTOR: Final = 1.5
"""Factor between the estimated wait and the one that must fit the deadline.

Without it, half of the requests that wait until their deadline would be sent
so late that they are cut off while a target runs them, and it would be unknown
whether they ran.
"""


class Forecast(Protocol):
    """When the requests of a queue can be served."""

    def min_wait_s(
        self,
        ahead: int,
        request: QueuedRequest | None = None,
    ) -> float:
        """Return the minimum wait of ``request`` behind ``ahead`` requests.

        Without a request, it is that of one with the lowest priority.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityForecast:
    """When targets that accept no request now will accept requests again.

    They accept the first in ``first_s`` seconds, each further one after
    another ``interval_s``, and any number in ``any_s`` seconds.
    """

    first_s: float
    interval_s: float = 0.0
    any_s: float = math.inf

    def min_wait_s(
        self,
        ahead: int,
        request: QueuedRequest | None = None,
    ) -> float:
        """Return the minimum wait of any request behind ``ahead`` requests."""
        return min(self.any_s, self.first_s + ahead * self.interval_s)


AVAILABLE_NOW: Final = CapacityForecast(0.0)


def always_available() -> Forecast:
    """Return the forecast that targets accept requests now."""
    return AVAILABLE_NOW


class Waiter(Protocol[GrantT]):
    """A request in the queue; it ends with exactly one grant or refusal."""

    @property
    def request(self) -> QueuedRequest:
        """The properties of the request, such as its priority and deadline."""
        ...

    def choose(self) -> GrantT | None:
        """Reserve what the request needs; return ``None`` if none is free."""
        ...

    def grant(self, reserved: GrantT) -> None:
        """Use what :meth:`choose` has reserved."""
        ...

    def refuse(self, error: errors.RefusalError) -> None:
        """End the request with ``error``."""
        ...


@dataclasses.dataclass(slots=True)
class _Place(Generic[GrantT]):
    """A waiter and its rank."""

    rank: queue_order.Rank
    waiter: Waiter[GrantT]
    is_late: bool

    @property
    def group(self) -> queue_order.Group:
        """The part of the rank within which deadlines are in order."""
        return self.rank[:3]


class WaitQueue(Generic[GrantT]):
    """A bounded, ordered queue in one daemon, such as that of one service.

    ``GrantT`` is what the requests wait for.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        length: int,
        random_source: random.Random,
        capacity_forecast: Callable[[], Forecast] = always_available,
        rules: queue_order.QueueRules = queue_order.SLOT_RULES,
    ) -> None:
        """Allow at most ``length`` waiters; 0 means that none waits.

        ``capacity_forecast`` returns when the targets accept requests,
        independent of their free slots. Raises
        :class:`errors.RoutingOptionError` if ``length`` is negative.
        """
        checks.not_negative('length', length)
        self._clock = local_clock
        self._length = length
        self._refusals = refusals.Refusals(random_source)
        self._places: list[_Place[GrantT]] = []
        self._arrivals = 0
        self._estimate = wait_estimate.WaitEstimate()
        self._next_late_s = math.inf
        self._capacity_forecast = capacity_forecast
        self._rules = rules
        self._next_forecast_s = -math.inf

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._places)

    def waiting_by_priority(self) -> Mapping[int, int]:
        """Return how many requests wait, by priority.

        Only those count that accept any target and are not late: the others
        are not served before those of lower priority.
        """
        now_s = self._clock.monotonic_s()
        return collections.Counter(
            place.waiter.request.priority
            for place in self._places
            if place.waiter.request.accepts_any_target
            and now_s < place.waiter.request.preferred_start_by_s
        )

    def observe_service_time(self, service_s: float) -> None:
        """Record how long a target took for one request, in seconds."""
        self._estimate.observe_service_time(service_s)

    def latest_start_s(self, request: QueuedRequest) -> float:
        """Return the local time from which ``request`` can't finish in time."""
        return request.deadline_s - self._estimate.service_s

    def next_end_s(self) -> float:
        """Return when the first waiter can't finish in time any more."""
        return min(
            (
                self.latest_start_s(place.waiter.request)
                for place in self._places
            ),
            default=math.inf,
        )

    def submit(self, waiter: Waiter[GrantT]) -> None:
        """Grant, queue or refuse a new waiter immediately.

        If it displaces a waiter of lower priority, that one is refused in the
        same call.
        """
        self.dispatch()
        if self._clock.monotonic_s() < waiter.request.deadline_s:
            # Use a free slot even if the estimate says that it is too late:
            # without requests the estimate would never be corrected.
            reserved = waiter.choose()
            if reserved is not None:
                waiter.grant(reserved)
                return
        is_late = (
            self._clock.monotonic_s() >= waiter.request.preferred_start_by_s
        )
        self._arrivals += 1
        rank = self._rules.rank(waiter.request, self._arrivals, is_late=is_late)
        place = _Place(rank, waiter, is_late)
        ahead = bisect.bisect(self._places, place.rank, key=_rank_of)
        if self._is_too_late(waiter.request, ahead):
            waiter.refuse(self._refusals.late(self._likely_wait_s()))
        elif len(self) < self._length or self.displace_last(waiter.request):
            self._places.insert(ahead, place)
            self._update_next_late(place)
        else:
            error = self._refusals.full(self._likely_wait_s(), self._length)
            waiter.refuse(error)

    def displace_last(self, request: QueuedRequest) -> bool:
        """Refuse the last waiter if ``request`` has precedence over it.

        Returns whether it was refused. An earlier deadline alone is no
        precedence: requests of equal priority would displace each other, and
        none would be served.
        """
        rank = self._rules.rank(request, 0, is_late=False)
        if not self._places or rank[:2] >= self._places[-1].rank[:2]:
            return False
        displaced = self._places.pop()
        displaced.waiter.refuse(
            self._refusals.displaced(self._likely_wait_s()),
        )
        return True

    def remove(self, waiter: Waiter[GrantT]) -> None:
        """Remove a waiter that was cancelled; ignore unknown ones."""
        for position, place in enumerate(self._places):
            if place.waiter is waiter:
                self._places.pop(position)
                return

    def dispatch(self) -> None:
        """Refuse waiters that are too late, then hand out the free slots."""
        self._refuse_too_late()
        self._refuse_without_capacity()
        self._demote_late_waiters()
        position = 0
        while position < len(self._places):
            waiter = self._places[position].waiter
            reserved = waiter.choose()
            if reserved is None:
                if waiter.request.accepts_any_target:
                    break
                position += 1
            else:
                self._places.pop(position)
                self._estimate.granted(self._clock.monotonic_s())
                waiter.grant(reserved)
        if not self._places:
            self._estimate.emptied()

    def _update_next_late(self, place: _Place[GrantT]) -> None:
        if not place.is_late:
            late_s = place.waiter.request.preferred_start_by_s
            self._next_late_s = min(self._next_late_s, late_s)

    def _demote_late_waiters(self) -> None:
        """Move waiters past their preferred start behind those before it.

        Otherwise, under overload, each slot would go to the longest waiter and
        all answers would be late. Answers in time have more value.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._next_late_s:
            return
        self._next_late_s = math.inf
        for place in self._places:
            request = place.waiter.request
            if now_s >= request.preferred_start_by_s:
                place.is_late = True
                place.rank = self._rules.rank(
                    request, place.rank[-1], is_late=True
                )
            self._update_next_late(place)
        self._places.sort(key=_rank_of)

    def _is_too_late(self, request: QueuedRequest, ahead: int) -> bool:
        now_s = self._clock.monotonic_s()
        likely_s = _WAIT_SAFETY_FACTOR * self._rules.wait_s(
            self._estimate, ahead
        )
        min_wait_s = self._capacity_forecast().min_wait_s(ahead, request)
        return now_s + max(likely_s, min_wait_s) >= self.latest_start_s(request)

    def _refuse_too_late(self) -> None:
        """Refuse waiters that can't finish before their deadline.

        Within a group, waiters are ordered by deadline, so it suffices to
        check the first ones of each group.
        """
        now_s = self._clock.monotonic_s()
        position = 0
        while position < len(self._places):
            place = self._places[position]
            if now_s < self.latest_start_s(place.waiter.request):
                position = _group_end(self._places, place.group)
            else:
                refused = self._places.pop(position)
                refused.waiter.refuse(
                    self._refusals.late(self._likely_wait_s())
                )

    def _refuse_without_capacity(self) -> None:
        """Refuse waiters for which the targets have no capacity in time."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_forecast_s:
            return
        forecast = self._capacity_forecast()
        if forecast is AVAILABLE_NOW:
            return
        self._next_forecast_s = now_s + self._rules.forecast_interval_s
        position = 0
        while position < len(self._places):
            waiter = self._places[position].waiter
            start_s = now_s + forecast.min_wait_s(position, waiter.request)
            if start_s < self.latest_start_s(waiter.request):
                position += 1
            else:
                self._places.pop(position)
                waiter.refuse(self._refusals.late(self._likely_wait_s()))

    def _likely_wait_s(self) -> float:
        wait_s = self._rules.wait_s(self._estimate, len(self._places) + 1)
        min_wait_s = self._capacity_forecast().min_wait_s(len(self._places))
        if math.isinf(min_wait_s):
            min_wait_s = 0.0
        return max(wait_s, min_wait_s, self._estimate.service_s)


def _rank_of(place: _Place[Any]) -> queue_order.Rank:
    return place.rank


def _group_end(places: Sequence[_Place[Any]], group: queue_order.Group) -> int:
    """Return the position behind the last place of a group."""
    return bisect.bisect(places, (*group, math.inf, 0), key=_rank_of)
