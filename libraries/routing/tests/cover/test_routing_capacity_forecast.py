"""Waiting requests when the targets limit how many they accept.

All targets of a service are backing off, or state a limit of requests per second that
is below the rate of arrivals.
"""

import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.routing import wait_queue


class Waiter:
    def __init__(self, request):
        self.request = request
        self.error = None

    def choose(self):
        """Find no free slot."""

    def grant(self, target_id):
        raise AssertionError

    def refuse(self, error):
        self.error = error


class Harness:
    def __init__(self, capacity_forecast):
        self.clock = clocks.ManualClock(100.0)
        self.capacity_forecast = capacity_forecast
        self.queue = wait_queue.WaitQueue(
            self.clock,
            100,
            random.Random(1),
            lambda: self.capacity_forecast,
        )

    def submit(self, priority=1, deadline_in_s=3.0):
        waiter = Waiter(
            wait_queue.QueuedRequest(
                priority, self.clock.monotonic_s() + deadline_in_s
            ),
        )
        self.queue.submit(waiter)
        return waiter


def test_requests_too_far_behind_in_the_queue_are_refused_at_once():
    """Guards against requests waiting for capacity that earlier ones will use."""
    harness = Harness(wait_queue.CapacityForecast(0.5, 1.0))
    waiters = [harness.submit() for _ in range(6)]
    assert not any(waiter.error for waiter in waiters[:3])
    assert all(waiter.error for waiter in waiters[3:])
    # A fourth request is accepted after the three before it.
    assert 3.5 <= waiters[3].error.retry_after_s <= 7


def test_the_end_of_a_backoff_gives_capacity_for_all():
    """Guards against applying the limit of one target to those that back off."""
    harness = Harness(wait_queue.CapacityForecast(0.5, 1.0, any_s=1.2))
    assert not any(harness.submit().error for _ in range(6))


def test_a_request_of_higher_priority_goes_before_the_waiting_ones():
    harness = Harness(wait_queue.CapacityForecast(0.5, 1.0))
    waiters = [harness.submit() for _ in range(3)]
    first = harness.submit(priority=0)
    harness.queue.dispatch()
    assert first.error is None
    assert [waiter.error is None for waiter in waiters] == [True, True, False]


@pytest.mark.parametrize('wait_s', [3.0, 30.0, float('inf')])
def test_waiting_requests_are_refused_when_targets_lose_capacity(wait_s):
    """Guards against requests that were queued before the targets set a limit."""
    harness = Harness(wait_queue.AVAILABLE_NOW)
    waiter = harness.submit()
    assert waiter.error is None
    harness.capacity_forecast = wait_queue.CapacityForecast(wait_s)
    harness.queue.dispatch()
    assert 0 < waiter.error.retry_after_s < float('inf')


def test_available_targets_are_limited_only_by_slots():
    harness = Harness(wait_queue.AVAILABLE_NOW)
    assert not any(harness.submit().error for _ in range(50))
