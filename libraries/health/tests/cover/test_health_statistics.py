"""Unit tests of the statistics that the decisions are based on."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import errors
from sardinepier.health import baseline, change_detection, evidence, options
from sardinepier.health.internal import others_baseline, tracked_target

_LIMITS = change_detection.Limits(
    threshold=20.0, pause_s=0.2, observer_limit=12.0
)


@given(st.floats(0.01, 1e4), st.floats(1e-4, 1e4))
def test_threshold_grows_with_traffic_and_falls_with_tolerance(rate, per_day):
    level = change_detection.threshold(rate, per_day)
    assert change_detection.threshold(2 * rate, per_day) >= level
    assert change_detection.threshold(rate, 2 * per_day) < level


@given(st.floats(0.002, 0.99))
def test_failures_count_against_a_target_and_successes_for_it(share):
    for failure, success in change_detection.failure_ratios(share):
        assert failure >= 0
        assert success <= 0
        if share >= 0.5:
            assert failure == success == 0


def _spread(sigma=0.5, count=20000):
    random_source = random.Random(1)
    spread = baseline.ResidualSpread()
    for _ in range(count):
        log_value = baseline.log_latency(random_source.lognormvariate(0, sigma))
        spread.observe(baseline.residual(log_value, 0.0))
    return spread


def test_slow_answers_count_against_a_target_and_typical_ones_for_it():
    ratios = change_detection.LatencyRatios(_spread())
    for table in ratios.tables:
        assert table == sorted(table)
        assert table[-baseline.MIN_RESIDUAL] < 0
        assert table[-1] > 0
    late = [ratios.overdue(residual) for residual in range(0, 32)]
    assert late == sorted(late)


def test_mean_ratio_is_negative_if_healthy_and_positive_if_slow():
    ratios = change_detection.LatencyRatios(_spread())
    random_source = random.Random(2)
    table = ratios.tables[change_detection.Hypothesis.MUCH_SLOWER]

    def mean(factor):
        residuals = [
            baseline.residual(
                baseline.log_latency(
                    factor * random_source.lognormvariate(0, 0.5)
                ),
                0.0,
            )
            for _ in range(2000)
        ]
        total = sum(
            table[residual - baseline.MIN_RESIDUAL] for residual in residuals
        )
        return total / len(residuals)

    assert mean(1) < -1
    assert mean(5) > 2


def test_route_median_converges_and_routes_are_bounded():
    medians = baseline.RouteMedians(limit=3)
    random_source = random.Random(3)
    for _ in range(500):
        latency_ms = random_source.lognormvariate(math.log(40), 0.5)
        medians.observe('list', baseline.log_latency(latency_ms))
    level = medians.get('list')
    assert level == pytest.approx(baseline.log_latency(40), abs=1)
    assert medians.get('other') is None
    for index in range(3):
        medians.observe(f'r{index}', 1.0)
    assert medians.get('list') is None


def test_evidence_of_one_pause_is_limited_to_a_third():
    cusum = change_detection.Cusum()
    cusum.add({'d0~0': 500.0}, 10.0, _LIMITS)
    assert cusum.level == pytest.approx(20 / 3)
    cusum.add({'d0~0': 500.0}, 10.1, _LIMITS)
    assert cusum.level <= 20 / 2
    for step in range(2, 20):
        cusum.add({'d0~0': 500.0}, 10 + step / 10, _LIMITS)
    assert cusum.level == 40
    assert cusum.capped(12.0) == 12
    cusum.add({'d0~0': -500.0}, 13.0, _LIMITS)
    assert cusum.level == 0
    assert not cusum.by_observer


@given(st.lists(st.floats(0, 9), min_size=2, max_size=9), st.data())
def test_others_quantile_leaves_out_just_one_equal_value(values, data):
    own = data.draw(st.sampled_from(values))
    other_values = list(values)
    other_values.remove(own)
    expected = sorted(other_values)[math.ceil(0.7 * (len(other_values) - 1))]
    assert others_baseline.OthersQuantile(values, 0.7).without(own) == expected


def test_one_failing_target_does_not_hide_itself_or_the_next():
    counts = [(30, 30), (30, 30), *((0, 30) for _ in range(14))]
    shares = others_baseline.OthersFailureShare(counts, 0.002)
    assert shares.without(30, 30) < 0.01
    assert shares.without(0, 30) < 0.01
    common = others_baseline.OthersFailureShare(
        [(9, 30) for _ in range(6)], 0.002
    )
    assert common.without(9, 30) > 0.15


def test_common_slowness_needs_more_than_one_slow_target():
    def recents(slow):
        all_recent = [tracked_target.Recent() for _ in range(6)]
        for index, recent in enumerate(all_recent):
            recent.add_residuals([8, 9, 8] if index < slow else [0, -1, 1])
        return all_recent

    for slow, least, most in ((1, 0, 0), (6, 8, 12)):
        all_recent = recents(slow)
        common = others_baseline.CommonSlowness(all_recent)
        assert all(
            least <= common.without(recent) <= most for recent in all_recent
        )


@pytest.mark.parametrize(
    ('outcome', 'slow', 'signal'),
    [
        ('ANSWERED', False, 'GOOD'),
        ('ANSWERED', True, 'SLOW'),
        ('FAILED', False, 'FAILED'),
        ('WRONG', False, 'WRONG'),
        ('CONNECT_FAILED', False, 'FAILED'),
        ('CONNECTION_LOST', False, 'LOST_CONNECTION'),
        ('TIMED_OUT', True, 'HUNG'),
        ('TIMED_OUT', False, None),
        ('SHED', True, None),
        ('CANCELLED', True, None),
        ('CRASH_SUSPECT', True, None),
    ],
)
def test_signal_of_every_outcome(outcome, slow, signal):
    expected = None if signal is None else evidence.HealthSignal[signal]
    assert (
        evidence.signal_of(evidence.AttemptOutcome[outcome], slow) is expected
    )


@pytest.mark.parametrize(
    'wrong',
    [
        {'false_ejections_per_target_day': 0},
        {'floor_percent': 101},
        {'floor_percent': -1},
        {'tolerated_pause_ms': -5},
        {'routes_limit': 0},
    ],
)
def test_options_out_of_range_are_refused_with_a_remedy(wrong):
    with pytest.raises(errors.InvalidArgumentError, match='Set it to'):
        options.HealthOptions(**wrong)


def test_removing_an_observer_removes_only_its_evidence():
    cusum = change_detection.Cusum()
    for step in range(20):
        ratios = {'d0~0': 0.3, 'd1~0': 0.1}
        cusum.add(ratios, 10 + step / 10, _LIMITS)
    assert cusum.level == pytest.approx(8)
    cusum.remove_observer('d0~0')
    assert cusum.level == pytest.approx(2)
    assert set(cusum.by_observer) == {'d1~0'}
    cusum.remove_observer('d9~0')
    cusum.remove_observer('d1~0')
    assert cusum.level == pytest.approx(0, abs=1e-9)
