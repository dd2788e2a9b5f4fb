"""Which of the requests that wait for retry budget may spend it now.

The plan has no state of its own and no I/O: it is computed anew from the
budget and the waiting requests. Budget is spent as soon as there is some, also
while the targets shed most requests.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.routing import budget_forecast, fleet_budget, retry_demand

_LATE_MARGIN: Final = 1.0
"""Typical service times before the preferred start from which a request counts
as late. At the preferred start itself four in ten answers would be late."""

_EXPECTED_TIMES_S: Final = (0.5, 1.0, 2.0, 4.0)
"""Times ahead at which the need of higher priorities is compared with what
returns to the budget until then."""


def _never() -> bool:
    """Act as ``is_given_up`` of a request whose caller stays."""
    return False


@dataclasses.dataclass(slots=True, eq=False)
class RetryRequest:
    """A request that needs a further attempt.

    A lower ``priority`` comes first. The answer must be complete by
    ``deadline_s``, and it is late unless the attempt begins by
    ``preferred_start_by_s``. ``can_wait`` is false if it gets an attempt now or
    never, as no target is left for it. ``is_given_up`` returns whether its caller has
    left. ``has_waited`` is set by the queue.
    """

    priority: int
    deadline_s: float
    preferred_start_by_s: float = math.inf
    can_wait: bool = True
    is_given_up: Callable[[], bool] = _never
    has_waited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the plan depends on besides the budget and the requests.

    ``service_s`` is the typical service time.
    """

    now_s: float
    service_s: float


@dataclasses.dataclass(slots=True)
class RetryPlan:
    """The requests that may spend budget now, and those that are refused.

    ``refused`` holds the time at which there is budget for each of them. All
    others wait.
    """

    granted: set[RetryRequest] = dataclasses.field(default_factory=set)
    refused: dict[RetryRequest, float] = dataclasses.field(default_factory=dict)


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
    retry_budget: fleet_budget.FleetBudget,
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
        retry_budget: fleet_budget.FleetBudget,
        demand: retry_demand.RetryDemand,
        conditions: Conditions,
    ) -> None:
        self._conditions = conditions
        self._demand = demand
        self._forecast = retry_budget.forecast()
        self._left = retry_budget.available()
        self._plan = RetryPlan()
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
            can_start = self._conditions.now_s < self._latest_start_s(request)
            if can_start and self._left - reserved >= 1:
                self._left -= 1
                self._plan.granted.add(request)
            else:
                self._wait_or_refuse(request, above_per_s)

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

    def _latest_start_s(self, request: RetryRequest) -> float:
        return request.deadline_s - self._conditions.service_s

    def _is_late(self, request: RetryRequest) -> bool:
        margin_s = _LATE_MARGIN * self._conditions.service_s
        return self._conditions.now_s >= request.preferred_start_by_s - margin_s

    def _rank(self, request: RetryRequest) -> tuple[int, bool, float]:
        return request.priority, self._is_late(request), request.deadline_s
