"""Requests that wait for targets which want only so many.

The load this answers: all targets of a service ask for a pause, or name how many
requests a second they take, while more come.
"""

import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.routing import wait_queue


class Waiter:
    def __init__(self, work):
        self.request = work
        self.error = None

    def choose(self):
        """Find no free slot."""

    def grant(self, target_id):
        raise AssertionError

    def refuse(self, error):
        self.error = error


class Line:
    def __init__(self, capacity_forecast):
        self.clock = clocks.ManualClock(100.0)
        self.capacity_forecast = capacity_forecast
        self.line = wait_queue.WaitQueue(
            self.clock,
            100,
            random.Random(1),
            lambda: self.capacity_forecast,
        )

    def enter(self, priority=1, deadline_in_s=3.0):
        waiter = Waiter(
            wait_queue.QueuedRequest(
                priority, self.clock.monotonic_s() + deadline_in_s
            ),
        )
        self.line.submit(waiter)
        return waiter


def test_whoever_comes_too_late_in_the_line_is_refused_at_once():
    """Guards against requests that wait for room that others will have."""
    line = Line(wait_queue.CapacityForecast(0.5, 1.0))
    waiters = [line.enter() for _ in range(6)]
    assert not any(one.error for one in waiters[:3])
    assert all(one.error for one in waiters[3:])
    # There is room for a fourth when all before it had theirs.
    assert 3.5 <= waiters[3].error.retry_after_s <= 7


def test_a_rest_that_ends_soon_is_room_for_all():
    """Guards against a limit of one target that counts for those that only rest."""
    line = Line(wait_queue.CapacityForecast(0.5, 1.0, any_s=1.2))
    assert not any(line.enter().error for _ in range(6))


def test_an_urgent_request_goes_before_those_that_wait():
    line = Line(wait_queue.CapacityForecast(0.5, 1.0))
    waiters = [line.enter() for _ in range(3)]
    urgent = line.enter(priority=0)
    line.line.dispatch()
    assert urgent.error is None
    assert [one.error is None for one in waiters] == [True, True, False]


@pytest.mark.parametrize('wait_s', [3.0, 30.0, float('inf')])
def test_those_who_wait_are_refused_when_targets_close(wait_s):
    """Guards against requests that were queued before the targets asked for less."""
    line = Line(wait_queue.AVAILABLE_NOW)
    waiter = line.enter()
    assert waiter.error is None
    line.capacity_forecast = wait_queue.CapacityForecast(wait_s)
    line.line.dispatch()
    assert 0 < waiter.error.retry_after_s < float('inf')


def test_while_targets_are_open_only_slots_count():
    line = Line(wait_queue.AVAILABLE_NOW)
    assert not any(line.enter().error for _ in range(50))
