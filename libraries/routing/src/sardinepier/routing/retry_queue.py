"""The queue of requests that wait for retry budget, through which all is spent."""

import contextlib
import math
import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock
from sardinepier.routing import (
    admission,
    errors,
    fleet_budget,
    queue_order,
    retry_demand,
    retry_plan,
)
from sardinepier.routing.internal import spread

RetryRequest = retry_plan.RetryRequest

_LENGTH: Final = 256
_PLAN_LIFETIME_S: Final = 0.01
"""How long a plan is used, so that looking through the queue computes one plan
and not one for each request."""

_RULES: Final = queue_order.QueueRules(estimates_waits=False)
"""The plan forecasts waits from the budget. Its attempts return in groups, so
that the time between past grants says nothing of the next ones."""


class RetryQueue:
    """Hands out the retry budget of one service.

    A request waits until the budget has an attempt for it, at the latest until
    its latest start. Requests of higher priority come first, then those that
    can be answered in time, then those with an earlier deadline. For example::

        spending = await queue.acquire(RetryRequest(1, deadline_s))
        ...
        queue.refund(spending)  # if no attempt was made
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        random_source: random.Random,
        retry_budget: fleet_budget.FleetBudget,
        service_time_s: Callable[[], float],
    ) -> None:
        """Spend ``retry_budget``.

        ``service_time_s`` returns the typical service time.
        """
        self._clock = local_clock
        self._random = random_source
        self._budget = retry_budget
        self._service_time_s = service_time_s
        self._demand = retry_demand.RetryDemand()
        # Keys only: a set that keeps the order of arrival.
        self._waiting: dict[RetryRequest, None] = {}
        self._plan = retry_plan.RetryPlan()
        self._plan_until_s = -math.inf
        self._queue: admission.SlotQueue[fleet_budget.Spending] = (
            admission.SlotQueue(
                local_clock,
                _LENGTH,
                random_source,
                self.refund,
                rules=_RULES,
            )
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    async def acquire(self, request: RetryRequest) -> fleet_budget.Spending:
        """Wait for an attempt, and spend it.

        Raises ``RetryBudgetError`` as soon as the budget has no attempt for it
        in time, ``QueueFullError`` if the queue is full, and ``GivenUpError``
        if the caller has left.
        """
        self._demand.record(self._clock.monotonic_s(), request.priority)
        self._waiting[request] = None
        self._plan_until_s = -math.inf
        with contextlib.ExitStack() as stack:
            stack.callback(self._waiting.pop, request, None)
            return await self._queue.acquire(
                admission.QueuedRequest(request.priority, request.deadline_s),
                lambda: self._choose(request),
            )

    def wake(self) -> None:
        """Hand out budget; the queue also does so every twentieth second."""
        self._plan_until_s = -math.inf
        self._queue.wake()

    def refund(self, spending: fleet_budget.Spending) -> None:
        """Return an attempt that was not made."""
        self._budget.refund(spending)

    def renew(
        self, spending: fleet_budget.Spending
    ) -> fleet_budget.Spending | None:
        """Return the spending of an attempt that begins now, None if late."""
        return self._budget.renew(spending)

    def can_spend(self, priority: int) -> bool:
        """Return whether a request of ``priority`` would not have to wait."""
        return self._left_for(priority) >= 1

    def try_spend_for_hedge(self) -> bool:
        """Spend an attempt that no waiting or expected retry needs."""
        if self._left_for(math.inf) >= 1:
            return self._budget.try_spend()
        self._budget.denied += 1
        return False

    def _left_for(self, priority: float) -> float:
        now_s = self._clock.monotonic_s()
        left = self._budget.available()
        if left < 1:
            return left
        left -= sum(request.priority <= priority for request in self._waiting)
        per_s = self._demand.per_s(now_s, priority)
        if left >= 1 + retry_plan.max_reserve(per_s):
            return left
        forecast = self._budget.forecast()
        return left - retry_plan.reserve(forecast, per_s, now_s)

    def _drop_given_up(self, request: RetryRequest) -> None:
        """Raise ``GivenUpError`` if the caller has left."""
        if request.is_given_up():
            self._waiting.pop(request, None)
            raise errors.GivenUpError(
                'The caller left while its request waited for a retry',
                'Nothing is to be done',
            )

    def _choose(self, request: RetryRequest) -> fleet_budget.Spending | None:
        if request not in self._waiting:
            # It was granted or refused, but its task has not run since.
            return None
        self._drop_given_up(request)
        now_s = self._clock.monotonic_s()
        if now_s >= self._plan_until_s:
            self._update_plan(now_s)
        if request in self._plan.granted:
            spending = self._budget.spend()
            # Since the plan was made, a hedge may have spent the attempt.
            if spending is not None:
                self._waiting.pop(request)
            return spending
        needed = self._plan.refused.get(request, 0 if request.can_wait else 1)
        if needed:
            self._waiting.pop(request)
            raise self._refusal(self._budget.forecast().next_s(needed) - now_s)
        request.has_waited = True
        return None

    def _update_plan(self, now_s: float) -> None:
        self._plan_until_s = now_s + _PLAN_LIFETIME_S
        self._plan = retry_plan.make(
            self._budget,
            self._demand,
            self._waiting,
            retry_plan.Conditions(now_s, self._service_time_s()),
        )

    def _refusal(self, wait_s: float) -> errors.RetryBudgetError:
        self._budget.denied += 1
        wait_s = min(wait_s, self._budget.window_s)
        return errors.RetryBudgetError(
            'No target accepted the request, and the retry budget has no '
            'further attempt for it in time',
            'Send it again after retry_after_s',
            spread.retry_after_s(wait_s, self._random),
        )
