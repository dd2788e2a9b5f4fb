"""The detection experiment is reproducible and measures actual faults."""

import pathlib

import pytest

from sardinepier.health import evidence
from sardinepier.workbench.detection import (
    contenders,
    driver,
    experiment,
    measurements,
    records,
    rules,
    scenario,
    shadow_run,
)
from sardinepier.workbench.detection import curve as curves
from sardinepier.workbench.detection import tables
from sardinepier.workbench.detection.internal import case_tables

_NAMED = {fault.name: fault for fault in scenario.FAULTS}
_OUTCOME = evidence.AttemptOutcome


def _plan(fault, seed=3, at_s=14.0, end_s=18.0):
    return driver.Plan(
        scenario.SERVICES[0],
        scenario.LOADS[1],
        _NAMED.get(fault, experiment.NOTHING),
        at_s,
        end_s,
        seed,
    )


def _run(fault, seed=3):
    return experiment.run_one(_plan(fault, seed), contenders.group(0.01))


def test_the_same_plan_gives_the_same_record_and_another_seed_another():
    assert _run('slow 5x') == _run('slow 5x')
    assert _run('slow 5x') != _run('slow 5x', seed=4)


@pytest.mark.parametrize(
    ('fault', 'limit_s'),
    [('100% errors', 2), ('hang', 2), ('slow 20x', 2), ('30% wrong', 3.5)],
)
def test_library_detects_the_fault_and_ejects_no_other_target(fault, limit_s):
    record = _run(fault)
    assert record.detection_s is not None
    assert record.detection_s < limit_s
    assert record.false_ejections == 0
    assert record.below_floor == 0


@pytest.mark.parametrize(
    'benign_fault',
    ['cold start', 'crashing request', 'probes bad', 'all slow 5x'],
)
def test_benign_faults_eject_no_target(benign_fault):
    record = _run(benign_fault)
    assert record.false_ejections == 0
    assert record.detection_s is None


def test_shadow_run_evaluates_all_rivals_and_ejects_no_target():
    rivals = contenders.rivals()
    all_records = shadow_run.run(_plan('100% errors'), rivals)
    assert [record.contender for record in all_records] == [
        rival.name for rival in rivals
    ]
    assert len({record.struck_requests for record in all_records}) == 1
    detection_times = {
        record.contender: record.detection_s for record in all_records
    }
    assert detection_times['consecutive 2'] is not None
    assert detection_times['p50 over 5x mean'] is None


def test_measurements_count_false_ejections_and_floor_violations():
    service = scenario.SERVICES[0]
    measurement = measurements.Measurements(
        service, _NAMED['hang'], fault_at_s=10.0
    )
    measurement.record_weights(1.0, 0, [1, 0, 1, 1, 1, 1])
    measurement.record_weights(1.1, 1, [1, 0, 1, 1, 1, 1])
    assert measurement.false_ejections == 1
    measurement.record_attempt(10.5, 0, 0, trial=False)
    for daemon in range(service.daemons):
        measurement.record_weights(11.0, daemon, [0, 1, 1, 1, 1, 1])
    measurement.record_attempt(12.0, 0, 0, trial=True)
    assert measurement.detection_s() == 0.5
    assert measurement.false_ejections == 1
    assert measurement.below_floor == 0
    measurement.record_weights(11.1, 0, [0, 0, 0, 0, 1, 1])
    assert measurement.below_floor == 1


@pytest.mark.parametrize(
    ('rule', 'failures', 'is_faulty'),
    [
        (rules.ConsecutiveErrors(3), [True, True, False, True], False),
        (rules.ConsecutiveErrors(3), [False, True, True, True], True),
        (rules.ErrorRate(0.5, 4, 10), [True, False, True], False),
        (rules.ErrorRate(0.5, 4, 10), [True, False, True, False], True),
    ],
)
def test_error_rules_eject_at_their_limits(rule, failures, is_faulty):
    for failed in failures:
        rule.count(1, failed, 40.0)
    assert (1 in rule.faulty_targets(1.0)) is is_faulty
    rule.reset(1)
    assert 1 not in rule.faulty_targets(1.1)


def test_latency_rule_compares_with_the_mean_of_all_targets():
    rule = rules.LatencyQuantile(0.5, 2, 3, 10)
    for target, latency_ms in enumerate([40, 40, 40, 400]):
        for _ in range(3):
            rule.count(target, False, latency_ms)
    assert rule.faulty_targets(1.0) == [3]


def test_a_rule_ejects_at_most_half_of_the_targets():
    detector = rules.RuleDetector([rules.ConsecutiveErrors(1)], targets=4)
    for target in range(4):
        detector.finished(0, target, 0, target, _OUTCOME.FAILED, 5.0)
    detector.finished(0, 0, 0, 9, _OUTCOME.SHED, 5.0)
    detector.tick(0, 1.0)
    assert sum(detector.weights(0)) == 2


def test_records_are_read_back_and_the_figure_is_reproducible(tmp_path):
    all_records = [
        *experiment.run_plans([_plan('hang')], [contenders.group(1.0)]),
        *experiment.run_plans([_plan('none')], [contenders.group(1.0)]),
    ]
    path = pathlib.Path(tmp_path) / 'records.jsonl'
    experiment.write(all_records, path)
    read = experiment.read(path)
    assert list(read) == all_records
    figures = [pathlib.Path(tmp_path) / name for name in ('a.svg', 'b.svg')]
    for figure in figures:
        curves.draw(read, figure)
    assert figures[0].read_bytes() == figures[1].read_bytes()
    text = tables.render(read)
    assert 'hang at 30%' in text
    assert 'group 1/day' in text
    assert tables.render(read[1:])
    other_record = experiment.run_one(
        _plan('cold start'), contenders.group(0.1)
    )
    assert tables.render([*read, other_record]).count('-') > 2


def test_undetected_fault_counts_with_the_maximal_detection_time():
    plan = _plan('hang')
    key = (plan.service, plan.traffic, plan.fault, 1)
    measurement = measurements.Measurements(plan.service, plan.fault, 14.0)
    measurement.record_arrival(18.0)
    record = records.record('group 1/day', key, measurement)
    assert record.detection_s is None
    assert tables.mean_detection_s([record]) == 30.0
    assert '> 30' in tables.render([record])


def test_case_tables_are_checked_against_their_types():
    names = [fault.name for fault in scenario.FAULTS]
    assert len(set(names)) == len(names)
    assert _NAMED['cut to 1 zone'].cut_daemons == 3
    with pytest.raises(Exception, match='amount'):
        case_tables.parse(scenario.Fault, 'odd | effect=slow amount=much')
