"""Which lost connections say something about the request."""

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import lost_connections

TARGET = ids.TargetId('t1')


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def lost(clock):
    return lost_connections.LostConnections(clock)


def test_the_first_loss_stands_for_itself(lost):
    assert lost.record(TARGET)


def test_connections_cut_together_are_one_event(clock, lost):
    lost.record(TARGET)
    clock.advance(0.5)
    assert lost.record(TARGET)


def test_a_target_that_falls_again_says_nothing_of_the_request(clock, lost):
    lost.record(TARGET)
    clock.advance(3.0)
    assert not lost.record(TARGET)


def test_a_target_that_answered_since_is_fine_again(clock, lost):
    """Else the second of two requests that crash it is not held back."""
    lost.record(TARGET)
    clock.advance(3.0)
    lost.answered(TARGET)
    assert lost.record(TARGET)


def test_an_answer_that_was_on_its_way_does_not_end_the_event(clock, lost):
    lost.record(TARGET)
    clock.advance(0.2)
    lost.answered(TARGET)
    clock.advance(3.0)
    assert not lost.record(TARGET)


def test_targets_that_are_gone_are_forgotten(clock, lost):
    lost.record(TARGET)
    lost.keep(frozenset())
    clock.advance(3.0)
    assert lost.record(TARGET)
