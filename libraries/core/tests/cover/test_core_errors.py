"""Errors state what went wrong and what to do; manual clocks."""

from sardinepier.core import clock, errors


def test_the_message_has_both_the_description_and_the_remedy():
    error = errors.InvalidArgumentError('The count is -1', 'Pass 0 or more')
    assert str(error) == 'The count is -1. Pass 0 or more.'
    assert isinstance(error, errors.SardinepierError)


def test_a_manual_clock_advances_only_on_request():
    manual = clock.ManualClock(start_s=1.5)
    assert manual.monotonic_s() == 1.5
    manual.advance(2.0)
    assert manual.monotonic_s() == 3.5
    assert manual.wall_ms() == 3500
