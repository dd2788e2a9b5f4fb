"""Which faults eject a target, and which conditions must not."""

import pytest

from sardinepier.health import evidence, targets

_OUTCOMES = evidence.AttemptOutcome
_WARM_UP_S = 12
_FAULT_S = 4


def _latency(random_source):
    return random_source.lognormvariate(3.7, 0.4)


def _outcome_script(outcome, share=1.0):
    def script(random_source):
        is_affected = random_source.random() < share
        return outcome if is_affected else _OUTCOMES.ANSWERED, _latency(
            random_source
        )

    return script


def _slow(factor):
    return lambda random_source: (
        _OUTCOMES.ANSWERED,
        factor * _latency(random_source),
    )


def _hang(random_source):
    """End no attempt; the draw keeps the random sequence aligned."""
    random_source.random()


def _too_short_timeout(_random_source):
    return _OUTCOMES.TIMED_OUT, 5.0


@pytest.mark.parametrize(
    ('fault', 'script'),
    [
        ('slow 5x', _slow(5)),
        ('slow 20x', _slow(20)),
        ('slow 2x', _slow(2)),
        ('all fail', _outcome_script(_OUTCOMES.FAILED)),
        ('30% fail', _outcome_script(_OUTCOMES.FAILED, 0.3)),
        ('30% truncated', _outcome_script(_OUTCOMES.WRONG, 0.3)),
        ('no connection', _outcome_script(_OUTCOMES.CONNECT_FAILED)),
        ('connections lost', _outcome_script(_OUTCOMES.CONNECTION_LOST)),
        ('hangs before its timeout', _hang),
    ],
)
def test_faulty_target_and_no_other_is_ejected_by_every_daemon(
    make_group, fault, script
):
    group = make_group(false_ejections_per_target_day=0.01)
    group.run(_WARM_UP_S)
    assert not group.ever_ejected()
    group.scripts['t0'] = script
    group.run(_FAULT_S)
    for daemon in range(3):
        assert 't0' in group.ejected(daemon), fault
    assert group.ever_ejected() == {'t0'}


@pytest.mark.parametrize(
    ('case', 'script'),
    [
        ('sheds', _outcome_script(_OUTCOMES.SHED)),
        ('cancelled requests', _outcome_script(_OUTCOMES.CANCELLED)),
        ('crash suspects', _outcome_script(_OUTCOMES.CRASH_SUSPECT)),
        ('too short a timeout', _too_short_timeout),
        ('a rare failure', _outcome_script(_OUTCOMES.FAILED, 0.002)),
    ],
)
def test_outcomes_without_evidence_eject_no_target(make_group, case, script):
    group = make_group(false_ejections_per_target_day=10)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = script
    group.run(2 * _FAULT_S)
    assert not group.ever_ejected(), case


@pytest.mark.parametrize(
    ('case', 'script'),
    [
        ('slow 3x', _slow(3)),
        ('40% fail', _outcome_script(_OUTCOMES.FAILED, 0.4)),
        ('all fail', _outcome_script(_OUTCOMES.FAILED)),
        ('hang', _hang),
    ],
)
def test_fault_of_the_whole_service_ejects_no_target(make_group, case, script):
    group = make_group()
    group.run(_WARM_UP_S)
    for name in group.names:
        group.scripts[name] = script
    group.run(_FAULT_S)
    assert not group.ever_ejected(), case


def test_slow_cold_start_is_no_fault(make_group):
    group = make_group(cold_start_s=8)
    group.run(_WARM_UP_S)
    group.incarnations['t0'] = 'b'
    group.list_targets()
    group.scripts['t0'] = _slow(6)
    assert group.state(0, 't0') is targets.TargetState.COLD
    assert group.daemons[0].standing('t0').weight < 0.2
    group.run(7)
    group.scripts.clear()
    group.run(3)
    assert not group.ever_ejected()
    assert group.daemons[0].standing('t0').weight == 1


def test_good_probes_do_not_clear_a_target_that_fails_requests(make_group):
    group = make_group()
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _outcome_script(_OUTCOMES.FAILED)
    for _ in range(60):
        group.run(0.1)
        for daemon in group.daemons:
            daemon.probed('t0', good=True, latency_ms=1.0)
    assert all('t0' in group.ejected(daemon) for daemon in range(3))


def test_failed_probes_do_not_eject_a_target_with_good_traffic(make_group):
    group = make_group()
    for _ in range(200):
        group.run(0.1)
        group.daemons[0].probed('t0', good=False, latency_ms=None)
    assert not group.ever_ejected()


def test_failed_probes_without_traffic_reduce_the_weight(make_group):
    group = make_group(daemons=1)
    group.idle_daemons = {0}
    daemon = group.daemons[0]
    for _ in range(40):
        for name in daemon.due_probes():
            daemon.probed(name, good=name != 't0', latency_ms=1.0)
        group.run(1)
    weights = [daemon.standing(target_id).weight for target_id in group.names]
    assert weights == [0.1, 1, 1, 1, 1, 1]
    assert not group.ever_ejected()


def test_one_gray_observer_cannot_eject_for_others(make_group):
    group = make_group(daemons=4)
    group.run(_WARM_UP_S)
    group.scripts[0, 't0'] = _outcome_script(_OUTCOMES.FAILED)
    group.scripts[0, 't1'] = _slow(20)
    group.run(_FAULT_S)
    assert 't0' in group.ejected(0)
    for daemon in (1, 2, 3):
        assert not group.ejected(daemon)


def test_observer_that_sees_most_targets_fail_ejects_none(make_group):
    group = make_group(daemons=4)
    group.run(_WARM_UP_S)
    for name in group.names:
        group.scripts[0, name] = _outcome_script(_OUTCOMES.FAILED)
    group.run(_FAULT_S)
    assert not group.ever_ejected()


def test_cut_link_causes_ejections_only_at_its_own_daemons(make_group):
    group = make_group(daemons=6)
    group.run(_WARM_UP_S)
    for daemon in (0, 1):
        group.scripts[daemon, 't0'] = _hang
    group.run(3)
    assert 't0' in group.ejected(0) and 't0' in group.ejected(1)
    for daemon in (2, 3, 4, 5):
        assert 't0' not in group.ejected(daemon)
    status_of_t0 = next(
        status
        for status in group.daemons[0].status()
        if status.target_id == 't0'
    )
    assert status_of_t0.reason is targets.Reason.OWN_EVIDENCE


def test_readmission_doubles_the_wait_and_ends_in_full_service(make_group):
    group = make_group(daemons=1, ejection_base_s=2, ramp_s=2)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _outcome_script(_OUTCOMES.FAILED)
    group.run(12)
    group.scripts.clear()
    ejections = [
        event
        for event in group.events
        if event.after is targets.TargetState.EJECTED
        and event.before is not targets.TargetState.EJECTED
    ]
    assert 2 <= len(ejections) <= 4
    group.run(25)
    assert group.state(0, 't0') is targets.TargetState.IN_SERVICE
    assert group.daemons[0].standing('t0').weight == 1


def test_a_target_on_trial_gets_one_request_at_a_time(make_group):
    group = make_group(daemons=1, ejection_base_s=1)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _outcome_script(_OUTCOMES.FAILED)
    daemon = group.daemons[0]
    while group.state(0, 't0') is not targets.TargetState.TRIAL:
        group.run(0.1)
    assert 't0' in daemon.selectable()
    daemon.started('t0', 'list', 10**6)
    assert 't0' not in daemon.selectable()
    daemon.tick()
    assert 't0' not in daemon.selectable()
