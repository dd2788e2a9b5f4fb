"""Which of the requests that wait for retry budget may spend it now.

The plan has no state of its own and no I/O: it is computed anew from the
budget, the waiting requests and the share of requests that the targets accept.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.routing import budget, budget_forecast, retry_demand

_HOLD_BELOW: Final = 0.7
"""Accepted share below which scarce budget is held. A send that is likely shed
costs as much budget as one after the targets' recovery."""

_HELD_SHARE: Final = 0.25
"""Share of a window's budget that is held until the targets recover. Each held
attempt then serves one request in time, and less than half of one before. If
all of it were held, little would have returned to the budget by the time at
which the late requests need it."""

_HOLD_FROM_S: Final = 5.0
"""Time from its arrival to its deadline from which a request leaves that share.
Targets shed for seconds, so that a request with less time would mostly wait in
vain."""

_LATE_MARGIN: Final = 1.0
"""Typical service times before the preferred start from which a request counts
as late. At the preferred start itself four in ten answers would be late."""

_LAST_SEND_S: Final = 0.15
"""Time before its latest start at which a late request is sent although most
sends are shed: the queue is looked through every 0.05 s."""

_EXPECTED_TIMES_S: Final = (0.5, 1.0, 2.0, 4.0)
"""Times ahead at which the need of higher priorities is compared with what
returns to the budget until then."""


def _never() -> bool:
    """Act as ``is_given_up`` of a request whose caller stays."""
    return False


@dataclasses.dataclass(slots=True, eq=False)
class RetryRequest:
    """A request that needs a further attempt.

    A lower ``priority`` comes first. It arrived at ``arrived_s``. The answer
    must be complete by ``deadline_s``, and it is late unless the attempt begins by
    ``preferred_start_by_s``. ``can_wait`` is false if it gets an attempt now or
    never, as no target is left for it. ``is_given_up`` returns whether its caller has
    left. ``has_waited`` is set by the queue.
    """

    priority: int
    arrived_s: float
    deadline_s: float
    preferred_start_by_s: float = math.inf
    can_wait: bool = True
    is_given_up: Callable[[], bool] = _never
    has_waited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the plan depends on besides the budget and the requests.

    ``service_s`` is the typical service time, ``accepted_share`` the share of
    requests that the targets accept, 0 to 1, and ``max_sends`` how many may be
    sent now.
    """

    now_s: float
    service_s: float
    accepted_share: float = 1.0
    max_sends: float = math.inf


@dataclasses.dataclass(slots=True)
class RetryPlan:
    """The requests that may spend budget now, and those that are refused.

    ``refused`` holds the time at which there is budget for each of them. All
    others wait.
    """

    is_held: bool = False
    granted: set[RetryRequest] = dataclasses.field(default_factory=set)
    refused: dict[RetryRequest, float] = dataclasses.field(default_factory=dict)


def is_scarce(
    retry_budget: budget.RetryBudget,
    demand: retry_demand.RetryDemand,
    now_s: float,
) -> bool:
    """Return whether a window's budget is too small for the recent need."""
    needed = demand.per_s(now_s) * retry_budget.window_s
    return needed > retry_budget.allowed()


def reserve(
    forecast: budget_forecast.BudgetForecast,
    per_s: float,
    now_s: float,
) -> float:
    """Return how much a need of ``per_s`` takes beyond what returns."""
    available = forecast.available_by(now_s)
    shortages = (
        per_s * ahead_s + available - forecast.available_by(now_s + ahead_s)
        for ahead_s in _EXPECTED_TIMES_S
    )
    return max(0.0, *shortages)


def max_reserve(per_s: float) -> float:
    """Return the highest value of :func:`reserve`, for nothing returning."""
    return per_s * max(_EXPECTED_TIMES_S)


def make(
    retry_budget: budget.RetryBudget,
    demand: retry_demand.RetryDemand,
    waiting: Iterable[RetryRequest],
    conditions: Conditions,
) -> RetryPlan:
    """Return the plan for the ``waiting`` requests."""
    return _Planner(retry_budget, demand, conditions).plan(list(waiting))


class _Planner:
    """Goes through the requests in their order and divides the budget."""

    def __init__(
        self,
        retry_budget: budget.RetryBudget,
        demand: retry_demand.RetryDemand,
        conditions: Conditions,
    ) -> None:
        self._conditions = conditions
        self._demand = demand
        self._forecast = retry_budget.forecast()
        self._left = retry_budget.available()
        self._plan = RetryPlan(
            conditions.accepted_share < _HOLD_BELOW
            and is_scarce(retry_budget, demand, conditions.now_s)
        )
        self._held = 0.0
        if self._plan.is_held:
            self._held = _HELD_SHARE * retry_budget.allowed()
        self._unmet = 0

    def plan(self, waiting: list[RetryRequest]) -> RetryPlan:
        """Decide about each request, the most urgent first."""
        waiting.sort(key=self._rank)
        for priority in sorted({request.priority for request in waiting}):
            self._plan_priority(
                [request for request in waiting if request.priority == priority]
            )
        return self._plan

    def _plan_priority(self, requests: list[RetryRequest]) -> None:
        above_per_s = self._demand.per_s(
            self._conditions.now_s, requests[0].priority
        )
        reserved = self._unmet + reserve(
            self._forecast, above_per_s, self._conditions.now_s
        )
        for request in requests:
            left = self._left - reserved - self._held_from(request)
            if left >= 1 and self._may_send(request):
                self._left -= 1
                self._plan.granted.add(request)
            else:
                self._wait_or_refuse(request, above_per_s)

    def _held_from(self, request: RetryRequest) -> float:
        """Return how much budget ``request`` leaves until the recovery."""
        time_s = request.deadline_s - request.arrived_s
        return self._held if time_s >= _HOLD_FROM_S else 0.0

    def _wait_or_refuse(
        self, request: RetryRequest, above_per_s: float
    ) -> None:
        now_s = self._conditions.now_s
        latest_start_s = self._latest_start_s(request)
        needed = 1 + self._unmet + len(self._plan.granted)
        expected = above_per_s * max(0.0, latest_start_s - now_s)
        by_then = self._forecast.available_by(latest_start_s)
        if now_s < latest_start_s and by_then >= needed + expected:
            self._unmet += 1
        else:
            self._plan.refused[request] = needed

    def _may_send(self, request: RetryRequest) -> bool:
        now_s = self._conditions.now_s
        latest_start_s = self._latest_start_s(request)
        if now_s >= latest_start_s:
            return False
        if self._plan.is_held:
            if not self._held_from(request):
                return True
            is_last_moment = now_s >= latest_start_s - _LAST_SEND_S
            return is_last_moment or not self._is_late(request)
        return len(self._plan.granted) < self._conditions.max_sends

    def _latest_start_s(self, request: RetryRequest) -> float:
        return request.deadline_s - self._conditions.service_s

    def _is_late(self, request: RetryRequest) -> bool:
        margin_s = _LATE_MARGIN * self._conditions.service_s
        return self._conditions.now_s >= request.preferred_start_by_s - margin_s

    def _rank(self, request: RetryRequest) -> tuple[int, bool, float]:
        return request.priority, self._is_late(request), request.deadline_s
