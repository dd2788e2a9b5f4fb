"""Which faults take a target out, and which misfortunes must not."""

import pytest

from sardinepier.health import evidence, targets

_END = evidence.AttemptOutcome
_WARM_UP_S = 12
_FAULT_S = 4


def _latency(random_source):
    return random_source.lognormvariate(3.7, 0.4)


def _ends(end, share=1.0):
    def script(random_source):
        struck = random_source.random() < share
        return end if struck else _END.ANSWERED, _latency(random_source)

    return script


def _slow(factor):
    return lambda random_source: (
        _END.ANSWERED,
        factor * _latency(random_source),
    )


def _hang(random_source):
    """End no attempt; one draw keeps the random source in step."""
    random_source.random()


def _too_short_timeout(_random_source):
    return _END.TIMED_OUT, 5.0


@pytest.mark.parametrize(
    ('fault', 'script'),
    [
        ('slow 5x', _slow(5)),
        ('slow 20x', _slow(20)),
        ('slow 2x', _slow(2)),
        ('all fail', _ends(_END.FAILED)),
        ('30% fail', _ends(_END.FAILED, 0.3)),
        ('30% truncated', _ends(_END.WRONG, 0.3)),
        ('no connection', _ends(_END.CONNECT_FAILED)),
        ('connections lost', _ends(_END.CONNECTION_LOST)),
        ('hangs before its timeout', _hang),
    ],
)
def test_sick_target_goes_out_at_every_daemon_and_no_other(
    bench, fault, script
):
    group = bench(false_ejections_per_target_day=0.01)
    group.run(_WARM_UP_S)
    assert not group.ever_out()
    group.scripts['t0'] = script
    group.run(_FAULT_S)
    for daemon in range(3):
        assert 't0' in group.out(daemon), fault
    assert group.ever_out() == {'t0'}


@pytest.mark.parametrize(
    ('misfortune', 'script'),
    [
        ('sheds', _ends(_END.SHED)),
        ('cancelled work', _ends(_END.CANCELLED)),
        ('crash suspects', _ends(_END.CRASH_SUSPECT)),
        ('too short a timeout', _too_short_timeout),
        ('a rare failure', _ends(_END.FAILED, 0.002)),
    ],
)
def test_what_is_no_evidence_takes_nobody_out(bench, misfortune, script):
    group = bench(false_ejections_per_target_day=10)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = script
    group.run(2 * _FAULT_S)
    assert not group.ever_out(), misfortune


@pytest.mark.parametrize(
    ('misfortune', 'script'),
    [
        ('slow 3x', _slow(3)),
        ('40% fail', _ends(_END.FAILED, 0.4)),
        ('all fail', _ends(_END.FAILED)),
        ('hang', _hang),
    ],
)
def test_a_fault_of_the_whole_service_takes_nobody_out(
    bench, misfortune, script
):
    group = bench()
    group.run(_WARM_UP_S)
    for name in group.names:
        group.scripts[name] = script
    group.run(_FAULT_S)
    assert not group.ever_out(), misfortune


def test_cold_start_is_not_sickness(bench):
    group = bench(cold_start_s=8)
    group.run(_WARM_UP_S)
    group.incarnations['t0'] = 'b'
    group.list_targets()
    group.scripts['t0'] = _slow(6)
    assert group.state(0, 't0') is targets.TargetState.COLD
    assert group.daemons[0].standing('t0').weight < 0.2
    group.run(7)
    group.scripts.clear()
    group.run(3)
    assert not group.ever_out()
    assert group.daemons[0].standing('t0').weight == 1


def test_good_probes_never_clear_what_traffic_shows(bench):
    group = bench()
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _ends(_END.FAILED)
    for _ in range(60):
        group.run(0.1)
        for daemon in group.daemons:
            daemon.probed('t0', good=True, latency_ms=1.0)
    assert all('t0' in group.out(daemon) for daemon in range(3))


def test_bad_probes_do_not_condemn_what_traffic_clears(bench):
    group = bench()
    for _ in range(200):
        group.run(0.1)
        group.daemons[0].probed('t0', good=False, latency_ms=None)
    assert not group.ever_out()


def test_without_traffic_bad_probes_alone_leave_a_target_little_work(bench):
    group = bench(daemons=1)
    group.idle = {0}
    daemon = group.daemons[0]
    for _ in range(40):
        for name in daemon.due_probes():
            daemon.probed(name, good=name != 't0', latency_ms=1.0)
        group.run(1)
    weights = [daemon.standing(one).weight for one in group.names]
    assert weights == [0.1, 1, 1, 1, 1, 1]
    assert not group.ever_out()


def test_one_gray_observer_cannot_eject_for_others(bench):
    group = bench(daemons=4)
    group.run(_WARM_UP_S)
    group.scripts[0, 't0'] = _ends(_END.FAILED)
    group.scripts[0, 't1'] = _slow(20)
    group.run(_FAULT_S)
    assert 't0' in group.out(0)
    for daemon in (1, 2, 3):
        assert not group.out(daemon)


def test_an_observer_to_which_most_look_bad_doubts_itself(bench):
    group = bench(daemons=4)
    group.run(_WARM_UP_S)
    for name in group.names:
        group.scripts[0, name] = _ends(_END.FAILED)
    group.run(_FAULT_S)
    assert not group.ever_out()


def test_a_cut_link_is_avoided_by_its_own_daemon_only(bench):
    group = bench(daemons=6)
    group.run(_WARM_UP_S)
    for daemon in (0, 1):
        group.scripts[daemon, 't0'] = _hang
    group.run(3)
    assert 't0' in group.out(0) and 't0' in group.out(1)
    for daemon in (2, 3, 4, 5):
        assert 't0' not in group.out(daemon)
    line = next(
        one for one in group.daemons[0].status() if one.target_id == 't0'
    )
    assert line.reason is targets.Reason.OWN_EVIDENCE


def test_the_way_back_doubles_its_wait_and_ends_in_full_service(bench):
    group = bench(daemons=1, ejection_base_s=2, ramp_s=2)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _ends(_END.FAILED)
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


def test_a_target_on_trial_gets_one_request_at_a_time(bench):
    group = bench(daemons=1, ejection_base_s=1)
    group.run(_WARM_UP_S)
    group.scripts['t0'] = _ends(_END.FAILED)
    daemon = group.daemons[0]
    while group.state(0, 't0') is not targets.TargetState.TRIAL:
        group.run(0.1)
    assert 't0' in daemon.selectable()
    daemon.started('t0', 'list', 10**6)
    assert 't0' not in daemon.selectable()
    daemon.tick()
    assert 't0' not in daemon.selectable()
