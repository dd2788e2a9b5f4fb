"""Sheds are learned at once and forgotten within a second."""

import pytest

from sardinepier.health import refusal_estimate

_Cause = refusal_estimate.ShedCause


def _after_sheds(count, cause=_Cause.UNHEALTHY):
    estimate = refusal_estimate.RefusalEstimate()
    for number in range(count):
        estimate.shed(0.1 * number, cause)
    return estimate


def test_a_target_that_shed_ten_requests_is_used_again_within_a_second():
    """Guards against state that outlives its cause."""
    estimate = _after_sheds(10)
    assert estimate.probability(0.9) > 0.7
    assert estimate.probability(0.9 + 0.5) < 0.5 * estimate.probability(0.9)
    assert estimate.probability(0.9 + 1.0) < 0.15


def test_a_shed_with_free_slots_tells_more_than_one_of_a_full_target():
    assert refusal_estimate.shed_cause(running=2, slots=6) is _Cause.UNHEALTHY
    assert refusal_estimate.shed_cause(running=6, slots=6) is _Cause.FULL
    unhealthy = _after_sheds(3).probability(0.2)
    full = _after_sheds(3, _Cause.FULL).probability(0.2)
    assert full < 0.6 * unhealthy


def test_an_answer_to_an_earlier_request_does_not_clear_a_shed():
    """Answers of requests that were accepted before come for a while."""
    estimate = _after_sheds(1)
    estimate.accepted(0.2, sent_s=-0.3)
    assert estimate.probability(0.2) == _after_sheds(1).probability(0.2)
    estimate.accepted(0.2, sent_s=0.1)
    assert estimate.probability(0.2) < 0.6 * _after_sheds(1).probability(0.2)


def test_a_lower_report_of_another_daemon_changes_nothing():
    """It may have sent the target nothing."""
    estimate = _after_sheds(1)
    before = estimate.probability(0.1)
    assert not estimate.adopt(0.1, 0.1)
    assert estimate.probability(0.1) == before
    assert estimate.adopt(0.9, 0.1)
    assert estimate.probability(0.1) == 0.9


def test_the_accepted_share_of_a_service_that_sheds_half_at_20_requests_a_s():
    """It opens again within a second of the recovery."""
    accepted = refusal_estimate.AcceptedShare()
    for number in range(60):
        accepted.record(0.05 * number, is_accepted=number % 2 == 0)
    assert accepted.share(3.0) == pytest.approx(0.55, abs=0.1)
    for number in range(20):
        accepted.record(3.0 + 0.05 * number, is_accepted=True)
    assert accepted.share(4.0) > 0.85


def test_one_shed_of_a_quiet_service_is_no_overload():
    accepted = refusal_estimate.AcceptedShare()
    accepted.record(1.0, is_accepted=False)
    assert accepted.share(1.0) == 0.5
    assert accepted.share(1.5) > 0.7
