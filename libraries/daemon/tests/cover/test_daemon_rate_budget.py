"""Reports stay within their rate limit."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import rate_budget

_RATE = 100
_BURST = 400


@given(
    st.lists(
        st.tuples(
            st.integers(min_value=0, max_value=50),
            st.integers(min_value=0, max_value=1000),
        ),
        max_size=40,
    ),
)
def test_spending_stays_within_the_burst_and_the_rate(steps):
    clock = clocks.ManualClock()
    budget = rate_budget.RateBudget(clock, _RATE, _BURST)
    spent = 0
    largest = 0
    for tenths, amount in steps:
        clock.advance(tenths / 10)
        if budget.can_spend(amount):
            budget.spend(amount)
            spent += amount
            largest = max(largest, amount)
    overdraft = max(0, largest - _BURST)
    assert spent <= _BURST + _RATE * clock.monotonic_s() + overdraft + 1e-6


def test_a_full_bucket_allows_a_message_larger_than_the_burst():
    clock = clocks.ManualClock()
    budget = rate_budget.RateBudget(clock, _RATE, _BURST)
    assert budget.can_spend(10 * _BURST)
    budget.spend(10 * _BURST)
    assert not budget.can_spend(1)
    clock.advance(10 * _BURST / _RATE)
    assert budget.can_spend(1)
