"""The emulated fleet: virtual time, equal runs for equal seeds, scenarios."""

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


def changed(**fields):
    return msgspec.structs.replace(QUIET, **fields)


def test_virtual_time_passes_at_once_and_in_order():
    woken = []

    async def sleep(seconds):
        await asyncio.sleep(seconds)
        woken.append(asyncio.get_running_loop().time())

    async def main():
        await asyncio.gather(*(sleep(one) for one in (3600.0, 1.0, 60.0)))

    virtual_loop.run(main())
    assert woken == [1.0, 60.0, 3600.0]


def test_a_wait_without_an_end_is_said_to_be_one():
    with pytest.raises(virtual_loop.StalledError):
        virtual_loop.run(asyncio.Event().wait())


def test_a_fleet_without_trouble_serves_everything():
    counts = emulation.emulate(QUIET, 1)
    assert counts.total.requests > 80
    assert counts.total.served == counts.total.requests
    assert counts.worth() == pytest.approx(1.0, abs=0.01)


def test_equal_seeds_play_equally_and_others_do_not():
    first, again, other = (emulation.emulate(QUIET, seed) for seed in (1, 1, 2))
    assert first.by_window == again.by_window
    assert first.by_window != other.by_window


TROUBLES = (
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


@pytest.mark.parametrize('trouble', TROUBLES, ids=lambda one: one.kind.value)
def test_each_trouble_is_felt_while_it_lasts(trouble):
    plain = emulation.emulate(QUIET, 1)
    harmed = emulation.emulate(changed(disturbances=(trouble,)), 1)
    assert harmed.total.share < plain.total.share - 0.05
    assert harmed.by_window[0].requests


@pytest.mark.parametrize('manner', list(scenario.Manner))
def test_each_manner_of_failing_costs_and_is_lived_with(manner):
    noise = scenario.Noise(0.3, 3.0, 0.9, manner)
    service = scenario.Service('desk', 4, error_share=0.0, noise=noise)
    # With few repeats: with enough of them refusals cost nobody anything.
    setup = changed(
        services=(service,),
        duration_s=12.0,
        retry_percent=5.0,
        retry_burst=0,
    )
    counts = emulation.emulate(setup, 3)
    assert 0.5 < counts.total.share < 1.0


def test_a_figure_is_set_for_one_run_only():
    before = exploration._SUSPECTED_IDLE_S
    with overrides.applied(['entry.exploration._SUSPECTED_IDLE_S=7']):
        assert exploration._SUSPECTED_IDLE_S == 7.0
    assert before == exploration._SUSPECTED_IDLE_S


@pytest.mark.parametrize(
    'text',
    ['nothing', 'entry.nowhere.A=1', 'entry.overlooked._NO=1', 'core.ids.X=y'],
)
def test_an_override_of_nothing_is_refused(text):
    with pytest.raises(overrides.OverrideError):
        overrides.applied([text]).__enter__()


@pytest.mark.parametrize('name', scenario.shipped_names())
def test_each_shipped_scenario_is_whole(name):
    assert scenario.load(name).classes


ONE = """
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
FAULTY = (
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


@pytest.mark.parametrize('text', FAULTY)
def test_a_faulty_scenario_is_refused(tmp_path, text):
    path = tmp_path / 'faulty.toml'
    path.write_text(text)
    with pytest.raises(scenario.ScenarioError):
        scenario.load(str(path))


def test_the_command_prints_both_variants_and_their_difference(
    tmp_path,
    capsys,
):
    path = tmp_path / 'one.toml'
    path.write_text(ONE)
    command.run(str(path), 2, 'entry.exploration._SUSPECTED_IDLE_S=9')
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 3
    assert 'the change is worth' in lines[2]


def test_the_floor_counts_sound_targets_that_get_nothing():
    setup = scenario.Scenario(
        duration_s=1.0,
        services=(scenario.Service('desk', targets_a_zone=4),),
        classes=(),
        zones=('a',),
    )
    found = targets.make(setup, random.Random(1))
    now_s = 10.0
    found[0].last_request_s = now_s - 1.9
    found[1].last_request_s = now_s - 2.1
    found[2].last_request_s = now_s - 0.1
    found[3].last_failure_s = now_s - 1.9
    watched = floor.Floor()
    watched.sample(found, now_s)
    assert watched.min_share() == pytest.approx(2 / 3)
    assert watched.violation_share() == 1.0
