"""Requests past their preferred start wait behind those that can be in time.

If there are more requests than free slots for some seconds and they are served
in the order of their deadlines, each waits until its preferred start is over.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock as clocks
from sardinepier.routing import wait_queue


class Waiter:
    def __init__(self, harness, request):
        self.request = request
        self.harness = harness
        self.outcome = ''

    def choose(self):
        if not self.harness.free:
            return None
        self.harness.free -= 1
        return 't1'

    def grant(self, target_id):
        self.outcome = 'granted'
        self.harness.granted.append(self)

    def refuse(self, error):
        self.outcome = type(error).__name__


class Harness:
    def __init__(self, length=100):
        self.clock = clocks.ManualClock(100.0)
        self.queue = wait_queue.WaitQueue(
            self.clock,
            length,
            random.Random(1),
        )
        self.free = 0
        self.granted = []

    def submit(self, priority=1, preferred_in_s=1.0, deadline_in_s=5.0):
        now_s = self.clock.monotonic_s()
        request = wait_queue.QueuedRequest(
            priority,
            now_s + deadline_in_s,
            accepts_any_target=True,
            preferred_start_by_s=now_s + preferred_in_s,
        )
        waiter = Waiter(self, request)
        self.queue.submit(waiter)
        return waiter

    def dispatch(self, slots):
        self.free = slots
        self.queue.dispatch()
        return self.granted


def test_a_late_request_waits_behind_one_in_time():
    harness = Harness()
    late = harness.submit()
    harness.clock.advance(1.5)
    in_time = harness.submit()
    assert harness.dispatch(1) == [in_time]
    assert harness.dispatch(1) == [in_time, late]


def test_late_requests_keep_their_order():
    harness = Harness()
    low = harness.submit(priority=2)
    high = harness.submit(priority=1)
    harness.clock.advance(1.5)
    assert harness.dispatch(2) == [high, low]


def test_a_late_request_is_refused_at_its_deadline():
    harness = Harness()
    late = harness.submit(deadline_in_s=2.0)
    harness.clock.advance(1.5)
    in_time = harness.submit()
    harness.clock.advance(0.6)
    harness.queue.dispatch()
    assert (late.outcome, in_time.outcome) == ('QueueDeadlineError', '')


def test_a_request_in_time_displaces_a_late_one_from_a_full_queue():
    harness = Harness(length=1)
    late = harness.submit()
    harness.clock.advance(1.5)
    harness.queue.dispatch()
    in_time = harness.submit()
    assert late.outcome == 'DisplacedError'
    assert harness.dispatch(1) == [in_time]


ARRIVALS = st.lists(
    st.tuples(
        st.floats(0, 0.5),
        st.integers(0, 2),
        st.sampled_from([0.2, 1.0, 4.0]),
        st.integers(0, 2),
    ),
    max_size=30,
)


@given(ARRIVALS)
def test_each_request_ends_once_and_late_ones_come_last(arrivals):
    harness = Harness(length=8)
    waiters = []
    for gap_s, priority, preferred_in_s, slots in arrivals:
        harness.clock.advance(gap_s)
        waiters.append(harness.submit(priority, preferred_in_s))
        now_s = harness.clock.monotonic_s()
        waiting = [waiter for waiter in waiters if not waiter.outcome]
        granted_before = len(harness.granted)
        harness.dispatch(slots)
        granted = harness.granted[granted_before:]
        harness.free = 0
        in_time_left = any(
            now_s < waiter.request.preferred_start_by_s
            for waiter in waiting
            if not waiter.outcome
        )
        if in_time_left:
            assert all(
                now_s < waiter.request.preferred_start_by_s
                for waiter in granted
            )
    harness.clock.advance(10.0)
    harness.queue.dispatch()
    assert all(waiter.outcome for waiter in waiters)
    assert len(harness.granted) == len(set(map(id, harness.granted)))


def test_late_payments_are_not_reported_as_waiting():
    """Guards against slots left to payments that come after look-ups."""
    harness = Harness()
    for priority in (0, 0, 2):
        harness.submit(priority)
    assert harness.queue.waiting_by_priority() == {0: 2, 2: 1}
    harness.clock.advance(1.2)
    assert not harness.queue.waiting_by_priority()
