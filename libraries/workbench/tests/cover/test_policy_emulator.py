"""Tests the policy emulation: virtual time, determinism and scenarios."""

import asyncio
import random

import msgspec
import pytest
from sardinepier.entry import exploration
from sardinepier.workbench.policy import (
    command,
    emulation,
    floor,
    overrides,
    scenario,
    targets,
    virtual_loop,
)

QUIET = scenario.Scenario(
    duration_s=6.0,
    services=(scenario.Service('desk', 2, error_share=0.0),),
    classes=(
        scenario.RequestClass('read', 'desk', 10.0, True, 0.1),
        scenario.RequestClass('write', 'desk', 10.0, False, 0.1),
    ),
)


def quiet_with(**fields):
    return msgspec.structs.replace(QUIET, **fields)


def test_virtual_timers_fire_in_order():
    woken = []

    async def sleep(seconds):
        await asyncio.sleep(seconds)
        woken.append(asyncio.get_running_loop().time())

    async def main():
        await asyncio.gather(
            *(sleep(delay_s) for delay_s in (3600.0, 1.0, 60.0))
        )

    virtual_loop.run(main())
    assert woken == [1.0, 60.0, 3600.0]


def test_a_wait_without_a_timer_raises():
    with pytest.raises(virtual_loop.StalledError):
        virtual_loop.run(asyncio.Event().wait())


def test_all_requests_are_served_without_disturbances():
    counts = emulation.emulate(QUIET, 1)
    assert counts.total.requests > 80
    assert counts.total.served == counts.total.requests
    assert counts.worth() == pytest.approx(1.0, abs=0.01)


def test_equal_seeds_give_equal_runs_and_different_seeds_do_not():
    first, repeated, different = (
        emulation.emulate(QUIET, seed) for seed in (1, 1, 2)
    )
    assert first.by_window == repeated.by_window
    assert first.by_window != different.by_window


DISTURBANCES = (
    scenario.Disturbance(
        scenario.DisturbanceKind.SHED, 1.0, 3.0, 'desk', 1.0, 0.9
    ),
    scenario.Disturbance(
        scenario.DisturbanceKind.SLOW, 1.0, 3.0, 'desk', 1.0, 20.0
    ),
    scenario.Disturbance(scenario.DisturbanceKind.CRASH, 1.0, 3.0, 'desk'),
    scenario.Disturbance(scenario.DisturbanceKind.RESTART, 1.0, 3.0),
    scenario.Disturbance(
        scenario.DisturbanceKind.BURST, 1.0, 3.0, strength=30.0
    ),
)


@pytest.mark.parametrize(
    'disturbance', DISTURBANCES, ids=lambda disturbance: disturbance.kind.value
)
def test_each_disturbance_reduces_the_credit(disturbance):
    undisturbed = emulation.emulate(QUIET, 1)
    disturbed = emulation.emulate(quiet_with(disturbances=(disturbance,)), 1)
    assert disturbed.total.share < undisturbed.total.share - 0.05
    assert disturbed.by_window[0].requests


@pytest.mark.parametrize('manner', list(scenario.Manner))
def test_each_manner_of_failing_costs_some_but_not_all_credit(manner):
    noise = scenario.Noise(0.3, 3.0, 0.9, manner)
    service = scenario.Service('desk', 4, error_share=0.0, noise=noise)
    # Few retries: with enough of them, refusals would cost no credit.
    setup = quiet_with(
        services=(service,),
        duration_s=12.0,
        retry_percent=5.0,
        retry_burst=0,
    )
    counts = emulation.emulate(setup, 3)
    assert 0.5 < counts.total.share < 1.0


def test_an_override_ends_with_its_context():
    before = exploration._SUSPECTED_IDLE_S
    with overrides.applied(['entry.exploration._SUSPECTED_IDLE_S=7']):
        assert exploration._SUSPECTED_IDLE_S == 7.0
    assert before == exploration._SUSPECTED_IDLE_S


@pytest.mark.parametrize(
    'text',
    ['nothing', 'entry.nowhere.A=1', 'entry.exploration._NO=1', 'core.ids.X=y'],
)
def test_an_invalid_override_is_refused(text):
    with pytest.raises(overrides.OverrideError):
        overrides.applied([text]).__enter__()


@pytest.mark.parametrize('name', scenario.shipped_names())
def test_each_shipped_scenario_is_valid(name):
    assert scenario.load(name).classes


VALID = """
duration_s = 4.0
[[services]]
name = "desk"
targets_a_zone = 1
[[classes]]
name = "read"
service = "desk"
per_s = 5.0
repeatable = true
work_s = 0.1
"""
INVALID = (
    'duration_s = 1.0',
    'duration_s = 1.0\nservices = []\nclasses = []\nother = 1',
    """
duration_s = 1.0
services = []
[[classes]]
name = "read"
service = "nowhere"
per_s = 1.0
repeatable = true
work_s = 1.0
""",
)


@pytest.mark.parametrize('text', INVALID)
def test_an_invalid_scenario_is_refused(tmp_path, text):
    path = tmp_path / 'invalid.toml'
    path.write_text(text)
    with pytest.raises(scenario.ScenarioError):
        scenario.load(str(path))


def test_the_command_prints_both_variants_and_their_difference(
    tmp_path,
    capsys,
):
    path = tmp_path / 'valid.toml'
    path.write_text(VALID)
    command.run(str(path), 2, 'entry.exploration._SUSPECTED_IDLE_S=9')
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 3
    assert 'the change is worth' in lines[2]


def test_the_floor_counts_healthy_targets_without_requests():
    setup = scenario.Scenario(
        duration_s=1.0,
        services=(scenario.Service('desk', targets_a_zone=4),),
        classes=(),
        zones=('a',),
    )
    scenario_targets = targets.make(setup, random.Random(1))
    now_s = 10.0
    scenario_targets[0].last_request_s = now_s - 1.9
    scenario_targets[1].last_request_s = now_s - 2.1
    scenario_targets[2].last_request_s = now_s - 0.1
    scenario_targets[3].last_failure_s = now_s - 1.9
    measured = floor.Floor()
    measured.sample(scenario_targets, now_s)
    assert measured.min_share() == pytest.approx(2 / 3)
    assert measured.violation_share() == 1.0
