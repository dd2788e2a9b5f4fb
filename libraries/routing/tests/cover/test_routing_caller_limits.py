"""A caller never exceeds its rate and never affects other callers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.routing import caller_limits, errors

_GAPS_S = st.lists(
    st.sampled_from([0.0, 0.0, 0.01, 0.1, 0.3, 1.0, 30.0]), max_size=80
)


def _limits(rate_per_s=4.0, burst=3, capacity=1000):
    manual = clock.ManualClock(start_s=1000.0)
    source = random.Random(1)
    return manual, caller_limits.CallerLimits(
        manual, rate_per_s, burst, capacity, source
    )


def _admits(limits, caller):
    try:
        limits.admit(caller)
    except errors.CallerLimitError as error:
        assert error.retry_after_s > 0
        return False
    return True


@given(_GAPS_S, st.sampled_from([0.5, 4.0, 100.0]), st.integers(1, 7))
def test_no_period_exceeds_rate_and_burst(gaps_s, rate_per_s, burst):
    manual, limits = _limits(rate_per_s, burst)
    admitted_at_s = []
    for gap_s in gaps_s:
        manual.advance(gap_s)
        if _admits(limits, 'c1'):
            admitted_at_s.append(manual.monotonic_s())
    for first, start_s in enumerate(admitted_at_s):
        for last, end_s in enumerate(admitted_at_s[first:], start=1):
            assert last <= rate_per_s * (end_s - start_s) + burst + 1e-3


@given(st.lists(st.integers(0, 5), max_size=60), st.integers(1, 7))
def test_a_flood_by_one_caller_does_not_affect_others(callers, burst):
    manual, limits = _limits(burst=burst)
    flooded_manual, flooded = _limits(burst=burst)
    for caller in callers:
        manual.advance(0.05)
        flooded_manual.advance(0.05)
        for _ in range(20):
            _admits(flooded, 'flooder')
        name = f'c{caller}'
        assert _admits(limits, name) == _admits(flooded, name)


@given(_GAPS_S)
def test_a_caller_is_admitted_after_the_stated_wait(gaps_s):
    manual, limits = _limits()
    for gap_s in gaps_s:
        manual.advance(gap_s)
        try:
            limits.admit('c1')
        except errors.CallerLimitError as error:
            manual.advance(error.retry_after_s)
            limits.admit('c1')


@given(st.lists(st.tuples(st.integers(0, 30), _GAPS_S.map(len)), max_size=80))
def test_the_table_is_bounded_and_dropping_gives_no_second_burst(arrivals):
    manual, limits = _limits(rate_per_s=2.0, burst=2, capacity=5)
    admitted = {}
    for name, elapsed in arrivals:
        manual.advance(elapsed / 100)
        if _admits(limits, f'c{name}'):
            admitted.setdefault(name, []).append(manual.monotonic_s())
        assert len(limits) <= 5
    for times_s in admitted.values():
        for first, start_s in enumerate(times_s):
            count = len(times_s) - first
            assert count <= 2.0 * (times_s[-1] - start_s) + 2 + 1e-3


def test_a_full_table_refuses_new_callers_until_a_bucket_is_full():
    manual, limits = _limits(rate_per_s=1.0, burst=1, capacity=2)
    limits.admit('c1')
    limits.admit('c2')
    with pytest.raises(errors.CallerTableFullError):
        limits.admit('c3')
    manual.advance(0.99)
    assert not _admits(limits, 'c3')
    manual.advance(0.01)
    limits.admit('c3')


def test_idle_callers_are_dropped_by_requests_of_others():
    manual, limits = _limits(burst=1)
    for number in range(1000):
        limits.admit(f'c{number}')
    manual.advance(60)
    for _ in range(600):
        manual.advance(1)
        limits.admit('c1')
    assert len(limits) == 1


@pytest.mark.parametrize(
    'options', [{'rate_per_s': 0}, {'burst': 0}, {'capacity': 0}]
)
def test_invalid_options_are_rejected(options):
    with pytest.raises(errors.RoutingOptionError):
        _limits(**options)
