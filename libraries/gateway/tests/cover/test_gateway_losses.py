"""Which lost connections count as a first crash of a target."""

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import lost_connections

TARGET = ids.TargetId('t1')


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def losses(clock):
    return lost_connections.LostConnections(clock)


def test_the_first_loss_is_a_first_event(losses):
    assert losses.record(TARGET)


def test_connections_cut_together_are_one_event(clock, losses):
    losses.record(TARGET)
    clock.advance(0.5)
    assert losses.record(TARGET)


def test_a_second_event_soon_after_is_not_a_first_event(clock, losses):
    losses.record(TARGET)
    clock.advance(3.0)
    assert not losses.record(TARGET)


def test_an_answer_makes_the_next_loss_a_first_event(clock, losses):
    """Else the second of two requests that crash it isn't quarantined."""
    losses.record(TARGET)
    clock.advance(3.0)
    losses.record_answer(TARGET)
    assert losses.record(TARGET)


def test_an_answer_during_the_event_does_not_end_it(clock, losses):
    losses.record(TARGET)
    clock.advance(0.2)
    losses.record_answer(TARGET)
    clock.advance(3.0)
    assert not losses.record(TARGET)


def test_targets_that_are_gone_are_forgotten(clock, losses):
    losses.record(TARGET)
    losses.keep(frozenset())
    clock.advance(3.0)
    assert losses.record(TARGET)
