"""Requests that wait for a slot, in the order in which they get one.

The line is bounded and ordered by priority, then deadline. A request which
it gives up on is refused in that same call, never held back. It does no I/O
and knows no tasks; :mod:`sardinepier.routing.admission` puts it under
``asyncio``, and experiments drive it with simulated time.
"""

import bisect
import dataclasses
import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from sardinepier.core import clock, ids
from sardinepier.routing import errors
from sardinepier.routing.internal import checks, refusals, wait_estimate

_Rank = tuple[bool, int, float, int]

_CAUTION: Final = 1.5
"""The wait that is allowed for is so many times the likely one.

Without it, half of those queued to their deadline are sent so late that they
are cut off while a target runs them, and nobody knows whether they ran.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """What the line must know of a request.

    The lower ``priority``, the sooner its turn. ``deadline_s`` is a reading
    of the local monotonic clock by which the answer must be there. If it
    begins after ``preferred_start_by_s`` its answer comes late and is worth less.
    ``accepts_any_target`` is true when the request would take any free target: when
    it gets none, nobody behind it gets one, and the search ends. Leave it
    false for a request which refuses some targets, such as a second attempt.
    """

    priority: int
    deadline_s: float
    accepts_any_target: bool = False
    preferred_start_by_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityForecast:
    """When targets that want no request now want one again.

    The first is wanted in ``first_s`` seconds, and each further one after
    ``interval_s`` more; in ``any_s`` seconds any number is.
    """

    first_s: float
    interval_s: float = 0.0
    any_s: float = math.inf

    def min_wait_s(self, ahead: int) -> float:
        """Return how long a request waits at least behind ``ahead`` others."""
        return min(self.any_s, self.first_s + ahead * self.interval_s)


AVAILABLE_NOW: Final = CapacityForecast(0.0)


def always_available() -> CapacityForecast:
    """Return that targets want requests at any time."""
    return AVAILABLE_NOW


class Waiter(Protocol):
    """A request in the line. It ends by exactly one grant or refusal."""

    @property
    def request(self) -> QueuedRequest:
        """Return its priority and deadline."""
        ...

    def choose(self) -> ids.TargetId | None:
        """Reserve a slot and return its target, ``None`` if none is free."""
        ...

    def grant(self, target_id: ids.TargetId) -> None:
        """Take the reserved slot of ``target_id``."""
        ...

    def refuse(self, error: errors.RefusalError) -> None:
        """Give up with ``error``."""
        ...


@dataclasses.dataclass(slots=True)
class _Place:
    """A waiter and its rank."""

    rank: _Rank
    waiter: Waiter


class WaitQueue:
    """The bounded, ordered line of one service in one daemon."""

    def __init__(
        self,
        local_clock: clock.Clock,
        length: int,
        random_source: random.Random,
        capacity_forecast: Callable[[], CapacityForecast] = always_available,
    ) -> None:
        """Allow at most ``length`` waiters; 0 means that nobody waits.

        ``capacity_forecast`` tells when the targets want requests, whatever free slots
        they have. Raises :class:`errors.RoutingOptionError` when ``length`` is negative.
        """
        checks.not_negative('length', length)
        self._clock = local_clock
        self._length = length
        self._refusals = refusals.Refusals(random_source)
        self._places: list[_Place] = []
        self._arrivals = 0
        self._estimate = wait_estimate.WaitEstimate()
        self._next_late_s = math.inf
        self._opening = capacity_forecast

    def __len__(self) -> int:
        """Return how many wait now."""
        return len(self._places)

    def observe_service_time(self, service_s: float) -> None:
        """Learn how long a target took for one request, in seconds."""
        self._estimate.observe_service_time(service_s)

    def latest_start_s(self, work: QueuedRequest) -> float:
        """Return the local time from which ``work`` can't be finished."""
        return work.deadline_s - self._estimate.service_s

    def submit(self, waiter: Waiter) -> None:
        """Serve, queue or refuse a new waiter, at once.

        A waiter of lower priority may lose its place to it and is then
        refused in this call.
        """
        self.dispatch()
        if self._clock.monotonic_s() < waiter.request.deadline_s:
            # A free slot is used even when the estimate says that it is too
            # late: were nothing sent, the estimate would never be corrected.
            target_id = waiter.choose()
            if target_id is not None:
                waiter.grant(target_id)
                return
        is_late = (
            self._clock.monotonic_s() >= waiter.request.preferred_start_by_s
        )
        place = _Place(self._rank(waiter.request, is_late=is_late), waiter)
        ahead = bisect.bisect(self._places, place.rank, key=_rank_of)
        if self._is_too_late(waiter.request, ahead):
            waiter.refuse(self._refusals.late(self._likely_wait_s()))
        elif self._make_room(waiter):
            self._places.insert(ahead, place)
            self._expect_late(place)

    def remove(self, waiter: Waiter) -> None:
        """Take out a waiter that was cancelled. Unknown ones are ignored."""
        for position, place in enumerate(self._places):
            if place.waiter is waiter:
                self._places.pop(position)
                return

    def dispatch(self) -> None:
        """Refuse whom the deadline beats, then hand out the free slots."""
        self._refuse_hopeless()
        self._refuse_without_opening()
        self._put_late_ones_behind()
        position = 0
        while position < len(self._places):
            waiter = self._places[position].waiter
            target_id = waiter.choose()
            if target_id is None:
                if waiter.request.accepts_any_target:
                    break
                position += 1
            else:
                self._places.pop(position)
                self._estimate.granted(self._clock.monotonic_s())
                waiter.grant(target_id)
        if not self._places:
            self._estimate.emptied()

    def _rank(self, work: QueuedRequest, *, is_late: bool) -> _Rank:
        self._arrivals += 1
        return (is_late, work.priority, work.deadline_s, self._arrivals)

    def _expect_late(self, place: _Place) -> None:
        if not place.rank[0]:
            late_s = place.waiter.request.preferred_start_by_s
            self._next_late_s = min(self._next_late_s, late_s)

    def _put_late_ones_behind(self) -> None:
        """Let those whose best time is over wait behind all others.

        Under overload whoever waits longest would else get each slot, and all
        answers would come late: those that still come in time earn more.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._next_late_s:
            return
        self._next_late_s = math.inf
        for place in self._places:
            if now_s >= place.waiter.request.preferred_start_by_s:
                place.rank = (True, *place.rank[1:])
            self._expect_late(place)
        self._places.sort(key=_rank_of)

    def _is_too_late(self, work: QueuedRequest, ahead: int) -> bool:
        now_s = self._clock.monotonic_s()
        likely_s = _CAUTION * self._estimate.wait_s(ahead)
        least_s = self._opening().min_wait_s(ahead)
        return now_s + max(likely_s, least_s) >= self.latest_start_s(work)

    def _make_room(self, waiter: Waiter) -> bool:
        if len(self._places) < self._length:
            return True
        # An earlier deadline alone displaces nobody: equal callers would
        # push each other out in turn, and none would be served.
        last = self._places[-1].rank[:2] if self._places else None
        if last is None or (False, waiter.request.priority) >= last:
            error = self._refusals.full(self._likely_wait_s(), self._length)
            waiter.refuse(error)
            return False
        displaced = self._places.pop()
        displaced.waiter.refuse(
            self._refusals.displaced(self._likely_wait_s()),
        )
        return True

    def _refuse_hopeless(self) -> None:
        """Refuse whom the deadline beats.

        Within a rank the earliest deadline comes first, so only the first of
        each needs a look.
        """
        now_s = self._clock.monotonic_s()
        position = 0
        while position < len(self._places):
            place = self._places[position]
            if now_s < self.latest_start_s(place.waiter.request):
                position = self._first_after(place.rank)
            else:
                late = self._places.pop(position)
                late.waiter.refuse(self._refusals.late(self._likely_wait_s()))

    def _refuse_without_opening(self) -> None:
        """Refuse those who come too late, however soon a slot is free."""
        capacity_forecast = self._opening()
        if capacity_forecast is AVAILABLE_NOW:
            return
        now_s = self._clock.monotonic_s()
        position = 0
        while position < len(self._places):
            waiter = self._places[position].waiter
            start_s = now_s + capacity_forecast.min_wait_s(position)
            if start_s < self.latest_start_s(waiter.request):
                position += 1
            else:
                self._places.pop(position)
                waiter.refuse(self._refusals.late(self._likely_wait_s()))

    def _first_after(self, rank: _Rank) -> int:
        return bisect.bisect(
            self._places,
            (rank[0], rank[1], math.inf, 0),
            key=_rank_of,
        )

    def _likely_wait_s(self) -> float:
        behind_all_s = self._estimate.wait_s(len(self._places) + 1)
        least_s = self._opening().min_wait_s(len(self._places))
        if math.isinf(least_s):
            least_s = 0.0
        return max(behind_all_s, least_s, self._estimate.service_s)


def _rank_of(place: _Place) -> _Rank:
    return place.rank
