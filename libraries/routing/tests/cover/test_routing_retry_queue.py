"""Requests wait for retry budget in order, and no attempt is lost or doubled."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.routing import errors, fleet_budget, retry_queue

_WINDOW_S = 10.0
_SERVICE_S = 0.4


class _Service:
    """A queue with a burst of attempts, and how its requests ended."""

    def __init__(self, burst=2, percent=0):
        self.clock = clock.ManualClock(100.0)
        self.budget = fleet_budget.FleetBudget(self.clock, percent)
        self.budget.set_burst(burst)
        self.queue = retry_queue.RetryQueue(
            self.clock,
            random.Random(1),
            self.budget,
            lambda: _SERVICE_S,
        )
        self.tasks = []

    def send(self, priority=1, timeout_s=8.0, preferred_s=2.0, **options):
        """Let a request wait for budget; return its task."""
        now_s = self.clock.monotonic_s()
        request = retry_queue.RetryRequest(
            priority, now_s + timeout_s, now_s + preferred_s, **options
        )
        task = asyncio.create_task(self.queue.acquire(request))
        self.tasks.append(task)
        return task

    async def advance(self, seconds):
        """Advance the time in the steps in which the queue is looked through."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            await self.settle()

    async def settle(self):
        for _ in range(3):
            self.queue.wake()
            await asyncio.sleep(0)

    def granted(self):
        """Return the numbers of the requests that got an attempt."""
        return [
            number
            for number, task in enumerate(self.tasks)
            if task.done() and not task.cancelled() and not task.exception()
        ]


async def _used_up(burst=2, **options):
    """Return a service whose budget is used up and returns in 3 s."""
    service = _Service(burst, **options)
    for _ in range(burst):
        assert service.budget.try_spend()
    service.clock.advance(7.0)
    return service


async def test_with_budget_a_retry_does_not_wait():
    """Guards against a delay where no target sheds."""
    service = _Service()
    service.send()
    await asyncio.sleep(0)
    assert service.granted() == [0]


async def test_a_shed_request_waits_for_budget_that_returns_in_time():
    """It was refused at once, 15 s before its deadline."""
    service = await _used_up()
    service.send()
    await service.advance(2.5)
    assert not service.tasks[0].done()
    await service.advance(0.6)
    assert service.granted() == [0]


async def test_without_budget_in_time_a_request_is_refused_at_once():
    """Guards against a wait until the deadline that can't help."""
    service = await _used_up()
    refused = service.send(timeout_s=3.0)
    await service.settle()
    assert isinstance(refused.exception(), errors.RetryBudgetError)
    assert 3.0 <= refused.exception().retry_after_s <= 7.0
    assert not len(service.queue)


async def test_more_requests_than_attempts_return_are_refused_at_once():
    """Guards against a queue that is longer than what the budget can serve."""
    service = await _used_up(burst=3)
    for _ in range(5):
        service.send()
    await service.settle()
    assert [task.done() for task in service.tasks].count(True) == 2
    await service.advance(3.1)
    assert service.granted() == [0, 1, 2]


async def test_returning_budget_goes_to_the_highest_priority():
    """Guards against bookings that retry while payments go without."""
    service = await _used_up(burst=1)
    service.send(priority=1)
    await service.settle()
    service.send(priority=0, timeout_s=9.0)
    await service.settle()
    assert isinstance(service.tasks[0].exception(), errors.RetryBudgetError)
    await service.advance(3.1)
    assert service.granted() == [1]


async def test_budget_is_left_to_the_expected_requests_of_higher_priority():
    """With steady retries of payments the last attempts are theirs."""
    service = _Service(burst=20)
    for _ in range(10):
        service.send(priority=0)
        await service.advance(0.1)
    assert service.granted() == list(range(10))
    service.send(priority=1)
    await service.settle()
    assert not service.queue.can_spend(1)
    assert not service.queue.try_spend_for_hedge()
    assert 10 not in service.granted()
    service.send(priority=0)
    await service.settle()
    assert 11 in service.granted()


async def test_a_cancelled_wait_leaves_its_attempt_to_others():
    """Guards against attempts that are lost with callers that leave."""
    service = await _used_up(burst=1)
    first = service.send()
    await service.settle()
    service.clock.advance(3.1)
    service.queue.wake()
    # It was granted, but its task has not run since.
    first.cancel()
    await service.settle()
    service.send()
    await service.settle()
    assert first.cancelled() and service.granted() == [1]
    assert not service.budget.can_spend()


async def test_a_request_without_its_caller_spends_nothing():
    """A non-idempotent request that was shed goes on when its caller left."""
    service = await _used_up(burst=1)
    has_left = asyncio.Event()
    task = service.send(is_given_up=has_left.is_set)
    await service.settle()
    has_left.set()
    await service.advance(3.1)
    assert isinstance(task.exception(), errors.GivenUpError)
    assert service.budget.can_spend()


async def test_a_planned_request_whose_attempt_is_gone_waits_on():
    """It was forgotten, and held until its deadline although budget returned."""
    service = await _used_up()
    hedges = [True]

    def spend_for_a_hedge():
        if service.budget.can_spend() and hedges:
            hedges.clear()
            assert service.budget.try_spend()
        return False

    service.send()
    service.send(timeout_s=20.0, is_given_up=spend_for_a_hedge)
    await service.advance(3.1)
    assert not hedges and service.granted() == [0]
    service.queue.refund(service.tasks[0].result())
    await service.settle()
    assert service.granted() == [0, 1]


async def test_the_wait_is_forecast_by_the_budget_and_not_by_past_grants():
    """Attempts return in groups: slow grants before say nothing of the next.

    The load: a grant each 0.8 s, then 30 attempts that return in 1 s.
    """
    service = _Service(burst=40)
    steady_s = [100.4 + 0.8 * number for number in range(10)]
    returns_s = [*steady_s, *(109.0 for _ in range(30))]
    service.budget._spent_s.extend(at_s - _WINDOW_S for at_s in returns_s)
    for _ in range(35):
        service.send(timeout_s=20.0)
    await service.advance(8.2)
    assert len(service.granted()) == 10
    service.send(timeout_s=12.5)
    await service.settle()
    assert not service.tasks[-1].done()


async def test_an_attempt_counts_from_when_it_is_made():
    """Guards against twice the budget in a window after waits for a slot."""
    service = _Service(burst=1)
    task = service.send()
    await service.settle()
    service.clock.advance(6.0)
    assert service.queue.renew(task.result()).spent_s == 106.0
    service.clock.advance(6.0)
    assert not service.queue.can_spend(1)
    service.clock.advance(4.1)
    assert service.queue.can_spend(1)


async def test_a_request_without_another_target_does_not_wait():
    service = await _used_up()
    task = service.send(can_wait=False)
    await service.settle()
    assert isinstance(task.exception(), errors.RetryBudgetError)


@pytest.mark.parametrize(
    ('interval_s', 'timeout_s', 'preferred_s'),
    [(0.05, 8.0, 2.0), (0.05, 8.0, 0.0), (0.05, 2.5, 2.0), (1.0, 8.0, 2.0)],
)
async def test_budget_is_spent_at_once_on_1_and_20_sheds_a_second(
    interval_s, timeout_s, preferred_s
):
    """Guards against a part of scarce budget that is held while targets shed.

    At 20 sheds a second, 40 attempts a window are a fifth of the need. Requests
    that can only be late, or that have little time, get them at once as well.
    """
    service = _Service(burst=40)
    count = 40 if interval_s < 1 else 6
    for number in range(count):
        service.send(timeout_s=timeout_s, preferred_s=preferred_s)
        await service.settle()
        assert service.granted() == list(range(number + 1))
        service.clock.advance(interval_s)


async def test_all_budget_that_returns_is_spent_in_one_pass_over_8_requests():
    """Guards against a limit on the sends, which would make some late."""
    service = await _used_up(burst=8)
    for _ in range(8):
        service.send()
    await service.settle()
    assert not service.granted()
    service.clock.advance(3.1)
    service.queue.wake()
    await asyncio.sleep(0)
    assert service.granted() == list(range(8))


async def test_budget_goes_to_requests_in_time_then_to_the_first_deadline():
    """Guards against attempts for late answers while others become late."""
    service = await _used_up(burst=2)
    service.send(timeout_s=5.0, preferred_s=0.3)
    service.send(timeout_s=9.0, preferred_s=8.0)
    service.send(timeout_s=8.0, preferred_s=8.0)
    await service.settle()
    # One attempt returns before the other.
    service.budget.refund(fleet_budget.Spending(100.0))
    await service.settle()
    assert service.granted() == [2]
    await service.advance(3.1)
    assert service.granted() == [1, 2]


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(['send', 'send', 'cancel', 'refund', 'advance']),
        st.integers(0, 2),
        st.sampled_from([0.0, 0.05, 0.8, 3.0, 9.9]),
    ),
    max_size=40,
)


@given(_STEPS, st.integers(0, 4))
def test_budgets_hold_over_sends_cancellations_and_refunds(steps, burst):
    """Guards against attempts beyond the budget, and requests without an end."""

    asyncio.run(_play(steps, burst))


async def _play(steps, burst):
    service = _Service(burst, percent=20)
    for kind, number, seconds in steps:
        _step(service, kind, number, seconds)
        service.clock.advance(seconds)
        await service.settle()
        windows = 1 + (service.clock.monotonic_s() - 100.0) // _WINDOW_S
        allowed = burst * windows + 0.2 * service.budget.requested
        assert service.budget.granted <= allowed
    service.clock.advance(20.0)
    await service.settle()
    assert all(task.done() for task in service.tasks)
    assert not len(service.queue)


def _step(service, kind, number, seconds):
    granted = service.granted()
    if kind == 'send':
        service.budget.record_request()
        service.send(priority=number, timeout_s=seconds + 0.5)
    elif kind == 'cancel' and number < len(service.tasks):
        service.tasks[number].cancel()
    elif kind == 'refund' and granted:
        service.queue.refund(service.tasks.pop(granted[0]).result())


def test_a_forecast_counts_what_returns_and_what_requests_earn():
    manual = clock.ManualClock(100.0)
    retries = fleet_budget.FleetBudget(manual, 10, window_s=_WINDOW_S)
    retries.set_burst(3)
    for _ in range(200):
        retries.record_request()
        manual.advance(0.05)
    while retries.try_spend():
        """Spend what the last second earned, and the burst."""
    forecast = retries.forecast()
    now_s = manual.monotonic_s()
    assert forecast.available_by(now_s + 5.0) == pytest.approx(10, abs=1)
    assert forecast.available_by(now_s + 10.0) == pytest.approx(23, abs=1)
    assert forecast.next_s(8) == pytest.approx(now_s + 4.0, abs=0.6)
