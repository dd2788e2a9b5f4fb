"""The retries of a fleet stay within its limit, whoever gets its requests."""

import random

import budget_fleet
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinepier.core import clock
from sardinepier.routing import errors, fleet_budget

_WINDOW_S = 10.0
_LIFETIME_S = 1.0
_BURST = 4
_STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.0, 0.2, 0.9, 4.0]),
        st.integers(0, budget_fleet.SIZE - 1),
        st.sampled_from(
            ['requests', 'tries', 'restart', 'set_burst', 'clear_burst']
        ),
        st.integers(1, 20),
    ),
    max_size=80,
)


class Fleet(budget_fleet.BudgetFleet):
    """Daemons that are given a burst at times."""

    def __init__(self, rounding=0.0):
        super().__init__(
            lambda fleet_clock: fleet_budget.FleetBudget(
                fleet_clock, 18, rounding=rounding
            )
        )
        self.burst_set_s = []

    def set_burst(self, position, count):
        self.budgets[position].set_burst(_BURST)
        self.burst_set_s.append(self.clock.monotonic_s())

    def clear_burst(self, position, count):
        self.budgets[position].set_burst(0)

    def earned(self):
        """Return what the requests of a window and a lifetime allow."""
        counted_s = _WINDOW_S + _LIFETIME_S
        return 0.18 * self.within(self.requested_s, counted_s)

    def spent(self):
        return self.within(self.spent_s, _WINDOW_S)


@given(_STEPS)
def test_the_sum_over_a_fleet_is_bounded_without_communication(steps):
    """Guards against daemons that spend for requests of the window before.

    Only carriers add attempts, their part of the burst, to the percentage.
    """
    fleet = Fleet()
    for _ in fleet.play(steps):
        # What a daemon earned in part before counts with the next request.
        bound = (
            fleet.earned() + budget_fleet.SIZE + _BURST * len(fleet.burst_set_s)
        )
        assert fleet.spent() <= bound


@given(_STEPS, st.floats(0, 0.999))
def test_rounding_adds_less_than_one_attempt_to_each_start(steps, rounding):
    fleet = Fleet(rounding)
    for _ in fleet.play(steps):
        starts = fleet.within(fleet.started_s, 2 * _WINDOW_S)
        # A burst is rounded as well.
        bound = fleet.earned() + budget_fleet.SIZE + starts
        bound += (_BURST + 1) * len(fleet.burst_set_s)
        assert fleet.spent() <= bound


def test_spent_attempts_count_for_a_whole_window():
    """Guards against dropping them after 9.05 s: twice the burst within 10 s."""
    manual = clock.ManualClock(0.95)
    retries = fleet_budget.FleetBudget(manual, 0)
    retries.set_burst(5)
    assert sum(retries.try_spend() for _ in range(9)) == 5
    manual.advance(9.9)
    assert not retries.try_spend()
    manual.advance(1.2)
    assert retries.try_spend()


_DAEMONS = 280
_SEEDS = 20


def _spent_by_all(requests, seed):
    """Return the retries of daemons with a few requests each, all failing."""
    random_source = random.Random(seed)
    manual = clock.ManualClock()
    spent = 0
    for _ in range(_DAEMONS):
        retries = fleet_budget.FleetBudget(
            manual, 18, rounding=random_source.random()
        )
        for _ in range(requests):
            retries.record_request()
            spent += retries.try_spend()
    return spent


@pytest.mark.parametrize('requests', [1, 2, 4, 7])
def test_daemons_with_few_requests_use_their_share_together(requests):
    """Guards against 280 daemons with four requests each that retry none.

    18 percent of their requests may be retried, and the daemons don't
    communicate: the sum stays near the percentage, with random deviations.
    """
    share = 0.18 * _DAEMONS * requests
    for seed in range(_SEEDS):
        spent = _spent_by_all(requests, seed)
        assert 0.7 * share <= spent <= 1.3 * share


def test_a_burst_is_granted_in_addition_to_the_percentage():
    retries = fleet_budget.FleetBudget(clock.ManualClock(), 10)
    retries.set_burst(3)
    for _ in range(100):
        retries.record_request()
    assert sum(retries.try_spend() for _ in range(50)) == 13


def test_requests_of_the_past_pay_for_no_attempt():
    """Guards against spending for them a second time, after callers moved."""
    manual = clock.ManualClock()
    retries = fleet_budget.FleetBudget(manual, 50)
    for _ in range(100):
        retries.record_request()
    manual.advance(_LIFETIME_S)
    assert not retries.can_spend()


def test_an_attempt_that_waited_too_long_is_paid_for_again():
    manual = clock.ManualClock()
    retries = fleet_budget.FleetBudget(manual, 50)
    for _ in range(4):
        retries.record_request()
    first, second = retries.spend(), retries.spend()
    manual.advance(0.5)
    assert retries.renew(first) is first
    manual.advance(0.6)
    assert retries.renew(first) is None
    retries.record_request()
    retries.record_request()
    assert retries.renew(second).earned_s == manual.monotonic_s()
    assert (retries.granted, retries.available()) == (1, 0)


def test_a_refund_returns_an_attempt_with_its_age():
    manual = clock.ManualClock()
    retries = fleet_budget.FleetBudget(manual, 100)
    retries.record_request()
    spending = retries.spend()
    manual.advance(0.9)
    retries.refund(spending)
    assert retries.can_spend()
    manual.advance(0.2)
    assert not retries.can_spend()


@pytest.mark.parametrize(
    ('percent', 'options'),
    [
        (-1, {}),
        (101, {}),
        (10, {'window_s': 0}),
        (10, {'rounding': -0.1}),
        (10, {'rounding': 1.1}),
    ],
)
def test_invalid_options_are_rejected(percent, options):
    with pytest.raises(errors.RoutingOptionError):
        fleet_budget.FleetBudget(clock.ManualClock(), percent, **options)


def test_a_negative_burst_is_rejected():
    with pytest.raises(errors.RoutingOptionError):
        fleet_budget.FleetBudget(clock.ManualClock(), 10).set_burst(-1)
