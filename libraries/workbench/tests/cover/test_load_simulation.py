"""Tests that the load simulation is deterministic and keeps its bounds."""

import dataclasses

import pytest

from sardinepier.workbench.load import (
    event_queue,
    scenario,
    simulation,
    tally,
)

_PLAIN = scenario.Scenario(scenario.SEARCH, (scenario.Phase(4, 70),))


def _run(**options):
    run = simulation.Simulation(dataclasses.replace(_PLAIN, **options))
    run.run()
    return run


def test_events_run_in_order_of_time_and_then_of_insertion():
    events = event_queue.EventQueue()
    seen = []
    events.call_later(2, lambda: seen.append('late'))
    events.call_later(1, lambda: seen.append('first'))
    events.call_later(1, lambda: seen.append('second'))
    events.call_later(9, lambda: seen.append('never'))
    events.run_until(5)
    assert seen == ['first', 'second', 'late']
    assert events.monotonic_s() == 5


def test_equal_seeds_give_equal_outcomes_and_different_seeds_do_not():
    assert _run().counts.ended == _run().counts.ended
    assert _run().counts.ended != _run(seed=2).counts.ended


@pytest.mark.parametrize('policy', scenario.Policy)
@pytest.mark.parametrize('load_percent', [30, 150])
def test_every_request_ends_once_within_its_deadline(policy, load_percent):
    phases = (scenario.Phase(3, load_percent),)
    run = _run(policy=policy, phases=phases)
    latencies_s = [request.latency_s for request in run.counts.ended]
    arrivals = {request.arrived_s for request in run.counts.ended}
    assert len(arrivals) == len(latencies_s)
    rate_per_s = scenario.SEARCH.requests_per_s(load_percent)
    assert 2 < len(latencies_s) / rate_per_s < 4
    assert max(latencies_s) < 2.01
    assert run.slot_use_percent() <= 100


def test_home_slots_reduce_sheds():
    shared = _run().counts
    unshared = _run(home_slots=False, pooled=False).counts
    assert shared.sheds * 3 < unshared.sheds
    assert tally.figures(shared.ended).lost_percent < 1


@pytest.mark.parametrize('failing_percent', [50, 100])
@pytest.mark.parametrize('daemons', [9, 48])
def test_a_retry_storm_stays_within_its_budget(failing_percent, daemons):
    phases = (scenario.Phase(8, 50, failing_percent),)
    run = _run(phases=phases, daemons=daemons)
    assert run.counts.amplification() <= 1.1 + daemons / len(run.counts.ended)


def test_sign_offs_do_not_wait_behind_reports():
    classes = (
        scenario.CallerClass('sign-off', 0, percent=30),
        scenario.CallerClass('report', 2, percent=70, deadline_ms=30_000),
    )
    phases = (scenario.Phase(20, 150),)
    counts = _run(phases=phases, classes=classes).counts
    sign_offs = tally.figures(counts.of_class('sign-off'))
    reports = tally.figures(counts.of_class('report'))
    assert sign_offs.lost_percent < 1
    assert sign_offs.p99_ms < reports.p50_ms


def test_a_flooding_caller_is_limited_and_other_callers_are_served():
    classes = (
        scenario.CallerClass('others', 1, percent=50),
        scenario.CallerClass('flood', 1, percent=50, callers=1),
    )
    phases = (scenario.Phase(8, 140),)
    limited = _run(phases=phases, classes=classes, caller_requests_per_s=2)
    ended = limited.counts.ended
    refused = {
        request.class_name
        for request in ended
        if request.outcome is tally.Outcome.LIMITED
    }
    assert refused == {'flood'}
    normal_callers = tally.figures(limited.counts.of_class('others'))
    assert normal_callers.lost_percent < 1
