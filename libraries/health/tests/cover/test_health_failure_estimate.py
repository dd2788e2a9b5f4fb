"""The failure estimate of one target, from its own outcomes."""

import hypothesis
import pytest
from hypothesis import strategies as st

from sardinepier.health import failure_estimate

OPTIONS = failure_estimate.EstimateOptions()


def new_estimate(now_s=0.0):
    return failure_estimate.FailureEstimate(OPTIONS, now_s)


def test_it_starts_with_the_long_run_share():
    assert new_estimate().failing_probability(0.0) == pytest.approx(
        OPTIONS.failing_share
    )


def test_early_failure_outweighs_a_recent_answer():
    estimate = new_estimate()
    estimate.answered(10.0)
    estimate.failed(10.5)
    assert estimate.failure_probability(10.5) > 0.5


def test_late_failure_right_after_answers_counts_as_random():
    estimate = new_estimate()
    for moment_s in (9.4, 9.7, 10.0):
        estimate.answered(moment_s)
    estimate.failed(10.3, is_early=False)
    assert estimate.failure_probability(10.3) < 0.1


def test_repeated_late_failures_raise_the_estimate():
    estimate = new_estimate()
    for moment_s in (10.0, 10.3, 10.6, 10.9):
        estimate.failed(moment_s, is_early=False)
    assert estimate.failure_probability(10.9) > 0.5


def test_without_outcomes_it_returns_to_the_long_run_share():
    estimate = new_estimate()
    estimate.failed(0.0)
    probabilities = [
        estimate.failing_probability(moment_s) for moment_s in (0, 5, 20, 200)
    ]
    assert probabilities == sorted(probabilities, reverse=True)
    assert probabilities[-1] == pytest.approx(OPTIONS.failing_share, abs=0.01)


def test_adopted_estimate_counts_from_its_own_time():
    own, received = new_estimate(), new_estimate()
    received.failed(3.0)
    own.adopt(received.failing_probability(3.0), 3.0)
    assert own.failing_probability(7.0) == pytest.approx(
        received.failing_probability(7.0)
    )


def test_probability_after_answer_does_not_change_the_estimate():
    estimate = new_estimate()
    expected = new_estimate()
    expected.answered(1.0)
    predicted = estimate.failure_probability_after_answer(1.0)
    assert predicted == pytest.approx(expected.failure_probability(1.0))
    assert estimate.failing_probability(1.0) == pytest.approx(
        OPTIONS.failing_share
    )


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['good', 'early', 'late']),
            st.floats(0, 30),
        ),
        max_size=60,
    ),
)
def test_estimates_are_always_probabilities(outcomes):
    estimate, now_s = new_estimate(), 0.0
    for outcome, elapsed_s in outcomes:
        now_s += elapsed_s
        before = estimate.failing_probability(now_s)
        if outcome == 'good':
            estimate.answered(now_s)
            assert estimate.failing_probability(now_s) <= before
        else:
            estimate.failed(now_s, is_early=outcome == 'early')
            assert estimate.failing_probability(now_s) >= before
        assert 0 <= estimate.failing_probability(now_s) <= 1
        assert 0 <= estimate.failure_probability(now_s) <= 1
