"""The belief about one target, from its own outcomes."""

import hypothesis
import pytest
from hypothesis import strategies as st

from sardinepier.health import failure_estimate

OPTIONS = failure_estimate.EstimateOptions()


def fresh(now_s=0.0):
    return failure_estimate.FailureEstimate(OPTIONS, now_s)


def test_it_starts_with_the_long_run_share():
    assert fresh().failing_probability(0.0) == pytest.approx(
        OPTIONS.failing_share
    )


def test_an_early_failure_outweighs_a_good_answer_a_moment_ago():
    known = fresh()
    known.answered(10.0)
    known.failed(10.5)
    assert known.failure_probability(10.5) > 0.5


def test_a_late_failure_of_a_target_that_just_answered_is_chance():
    known = fresh()
    for moment_s in (9.4, 9.7, 10.0):
        known.answered(moment_s)
    known.failed(10.3, is_early=False)
    assert known.failure_probability(10.3) < 0.1


def test_late_failures_one_after_the_other_do_tell():
    known = fresh()
    for moment_s in (10.0, 10.3, 10.6, 10.9):
        known.failed(moment_s, is_early=False)
    assert known.failure_probability(10.9) > 0.5


def test_silence_drifts_back_to_the_long_run_share():
    known = fresh()
    known.failed(0.0)
    chances = [
        known.failing_probability(moment_s) for moment_s in (0, 5, 20, 200)
    ]
    assert chances == sorted(chances, reverse=True)
    assert chances[-1] == pytest.approx(OPTIONS.failing_share, abs=0.01)


def test_a_belief_taken_over_counts_from_when_it_was_held():
    mine, theirs = fresh(), fresh()
    theirs.failed(3.0)
    mine.adopt(theirs.failing_probability(3.0), 3.0)
    assert mine.failing_probability(7.0) == pytest.approx(
        theirs.failing_probability(7.0)
    )


def test_what_an_answer_would_change_is_told_without_changing_it():
    known = fresh()
    expected = fresh()
    expected.answered(1.0)
    told = known.failure_probability_after_answer(1.0)
    assert told == pytest.approx(expected.failure_probability(1.0))
    assert known.failing_probability(1.0) == pytest.approx(
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
def test_it_is_a_chance_whatever_happens(outcomes):
    known, now_s = fresh(), 0.0
    for outcome, gap_s in outcomes:
        now_s += gap_s
        before = known.failing_probability(now_s)
        if outcome == 'good':
            known.answered(now_s)
            assert known.failing_probability(now_s) <= before
        else:
            known.failed(now_s, is_early=outcome == 'early')
            assert known.failing_probability(now_s) >= before
        assert 0 <= known.failing_probability(now_s) <= 1
        assert 0 <= known.failure_probability(now_s) <= 1
