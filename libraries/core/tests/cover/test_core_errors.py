"""Every error says what was wrong and what to do."""

from sardinepier.core import clock, errors


def test_message_holds_both_the_fact_and_the_remedy():
    error = errors.InvalidArgumentError('The count is -1', 'Pass 0 or more')
    assert str(error) == 'The count is -1. Pass 0 or more.'
    assert isinstance(error, errors.SardinepierError)


def test_manual_clock_moves_only_when_told():
    manual = clock.ManualClock(start_s=1.5)
    assert manual.monotonic_s() == 1.5
    manual.advance(2.0)
    assert manual.monotonic_s() == 3.5
    assert manual.wall_ms() == 3500
