"""Who waits beyond its best time lets those go first that still have theirs.

The load this answers: more requests than free slots for some seconds. Served
in the order of their deadlines, each waits until its best time is over.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock as clocks
from sardinepier.routing import wait_queue


class Waiter:
    def __init__(self, line, work):
        self.request = work
        self.line = line
        self.ended = ''

    def choose(self):
        if not self.line.free:
            return None
        self.line.free -= 1
        return 't1'

    def grant(self, target_id):
        self.ended = 'granted'
        self.line.granted.append(self)

    def refuse(self, error):
        self.ended = type(error).__name__


class Line:
    def __init__(self, length=100):
        self.clock = clocks.ManualClock(100.0)
        self.line = wait_queue.WaitQueue(
            self.clock,
            length,
            random.Random(1),
        )
        self.free = 0
        self.granted = []

    def enter(self, priority=1, best_in_s=1.0, deadline_in_s=5.0):
        now_s = self.clock.monotonic_s()
        work = wait_queue.QueuedRequest(
            priority,
            now_s + deadline_in_s,
            accepts_any_target=True,
            preferred_start_by_s=now_s + best_in_s,
        )
        waiter = Waiter(self, work)
        self.line.submit(waiter)
        return waiter

    def serve(self, slots):
        self.free = slots
        self.line.dispatch()
        return self.granted


def test_one_that_is_late_waits_behind_one_that_is_not():
    line = Line()
    late = line.enter()
    line.clock.advance(1.5)
    fresh = line.enter()
    assert line.serve(1) == [fresh]
    assert line.serve(1) == [fresh, late]


def test_late_ones_keep_their_order_among_themselves():
    line = Line()
    low = line.enter(priority=2)
    high = line.enter(priority=1)
    line.clock.advance(1.5)
    assert line.serve(2) == [high, low]


def test_a_late_one_is_refused_when_its_deadline_comes():
    line = Line()
    late = line.enter(deadline_in_s=2.0)
    line.clock.advance(1.5)
    fresh = line.enter()
    line.clock.advance(0.6)
    line.line.dispatch()
    assert (late.ended, fresh.ended) == ('QueueDeadlineError', '')


def test_a_full_line_gives_the_place_of_a_late_one_to_one_in_time():
    line = Line(length=1)
    late = line.enter()
    line.clock.advance(1.5)
    line.line.dispatch()
    fresh = line.enter()
    assert late.ended == 'DisplacedError'
    assert line.serve(1) == [fresh]


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
def test_each_ends_once_and_nobody_late_goes_before_one_in_time(arrivals):
    line = Line(length=8)
    known = []
    for gap_s, priority, best_in_s, slots in arrivals:
        line.clock.advance(gap_s)
        known.append(line.enter(priority, best_in_s))
        now_s = line.clock.monotonic_s()
        waiting = [one for one in known if not one.ended]
        before = len(line.granted)
        line.serve(slots)
        served = line.granted[before:]
        line.free = 0
        in_time_left = any(
            now_s < one.request.preferred_start_by_s
            for one in waiting
            if not one.ended
        )
        if in_time_left:
            assert all(
                now_s < one.request.preferred_start_by_s for one in served
            )
    line.clock.advance(10.0)
    line.line.dispatch()
    assert all(one.ended for one in known)
    assert len(line.granted) == len(set(map(id, line.granted)))
