"""Further attempts stay within their percentage of the requests."""

import random

import budget_fleet
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.routing import budget, errors, hedging

_FLOOR = 2
_WINDOW_S = 10.0
_STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.0, 0.0, 0.3, 0.99, 1.0, 9.9, 25.0]),
        st.integers(0, 30),
        st.integers(0, 60),
    ),
    max_size=60,
)


@given(_STEPS, st.sampled_from([0.0, 5.0, 10.0, 50.0]))
def test_attempts_are_bounded_over_arbitrary_arrivals(steps, percent):
    manual = clock.ManualClock()
    retries = budget.RetryBudget(
        manual, percent, floor=_FLOOR, window_s=_WINDOW_S
    )
    requests = 0
    spent = 0
    for gap_s, arriving, tried in steps:
        manual.advance(gap_s)
        for _ in range(arriving):
            retries.record_request()
        requests += arriving
        spent += sum(retries.try_spend() for _ in range(tried))
        windows = manual.monotonic_s() // _WINDOW_S + 1
        assert spent <= percent / 100 * requests + _FLOOR * (windows + 1)


_FLEET_STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.0, 0.2, 0.9, 4.0]),
        st.integers(0, budget_fleet.SIZE - 1),
        st.sampled_from(['requests', 'tries', 'restart']),
        st.integers(1, 20),
    ),
    max_size=80,
)


@given(_FLEET_STEPS)
def test_each_start_of_a_daemon_adds_at_most_its_floor(steps):
    """Guards the sum over daemons that restart.

    This budget limits one daemon: what is spent in a window may depend on
    requests of the window before. ``FleetBudget`` limits a fleet.
    """
    fleet = budget_fleet.BudgetFleet(
        lambda fleet_clock: budget.RetryBudget(fleet_clock, 18, floor=1)
    )
    for _ in fleet.play(steps):
        bound = 0.18 * fleet.within(fleet.requested_s, 2 * _WINDOW_S)
        bound += budget_fleet.SIZE + fleet.within(
            fleet.started_s, 2 * _WINDOW_S
        )
        assert fleet.within(fleet.spent_s, _WINDOW_S) <= bound


def test_retries_amplify_the_load_by_at_most_a_tenth():
    manual = clock.ManualClock()
    retries = budget.RetryBudget(manual, 10)
    attempts = 0
    for _ in range(20_000):
        manual.advance(0.001)
        retries.record_request()
        attempts += 1
        while retries.try_spend():
            attempts += 1
    assert 1.09 < attempts / 20_000 <= 1.1


def test_old_requests_grant_nothing_and_the_floor_stays():
    manual = clock.ManualClock()
    retries = budget.RetryBudget(manual, 10, floor=1)
    for _ in range(100):
        retries.record_request()
    manual.advance(10)
    assert [retries.try_spend() for _ in range(3)] == [True, False, False]
    assert not retries.can_spend()
    manual.advance(10)
    assert retries.try_spend()


@pytest.mark.parametrize(
    ('percent', 'options'),
    [
        (-1, {}),
        (101, {}),
        (10, {'floor': -1}),
        (10, {'window_s': 0}),
    ],
)
def test_invalid_options_are_rejected(percent, options):
    with pytest.raises(errors.RoutingOptionError):
        budget.RetryBudget(clock.ManualClock(), percent, **options)


@given(
    st.lists(st.floats(1, 90_000), min_size=100, max_size=400),
    st.sampled_from([50, 90, 95, 99]),
)
def test_the_delay_is_the_percentile_and_at_most_a_fifth_above(
    latencies_ms, percentile
):
    delay = hedging.HedgeDelay(percentile)
    for latency_ms in latencies_ms:
        delay.observe(latency_ms)
    rank = -(-len(latencies_ms) * percentile // 100)
    exact_ms = sorted(latencies_ms)[rank - 1]
    assert exact_ms * 0.999 <= delay.delay_ms() <= exact_ms * 1.2 * 1.001


def test_the_delay_adapts_to_a_route_that_becomes_slower():
    delay = hedging.HedgeDelay()
    source = random.Random(1)
    assert delay.delay_ms() is None
    for _ in range(5000):
        delay.observe(source.uniform(10, 20))
    assert delay.delay_ms() < 30
    for _ in range(5000):
        delay.observe(source.uniform(100, 200))
    assert 190 < delay.delay_ms() < 250
    delay.observe(10**9)


def _policy(idempotent):
    delay = hedging.HedgeDelay()
    for _ in range(200):
        delay.observe(10)
    hedges = budget.RetryBudget(clock.ManualClock(), 0, floor=1)
    return hedging.HedgePolicy(delay, hedges, idempotent=idempotent)


def test_only_idempotent_routes_hedge_and_only_within_the_budget():
    idempotent = _policy(idempotent=True)
    assert 10 <= idempotent.delay_ms() <= 12
    assert [idempotent.try_hedge(), idempotent.try_hedge()] == [True, False]
    non_idempotent = _policy(idempotent=False)
    assert non_idempotent.delay_ms() is None
    assert not non_idempotent.try_hedge()
