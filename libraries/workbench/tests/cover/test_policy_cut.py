"""Tests of daemons that are cut off from all targets."""

import msgspec
import pytest
from sardinepier.workbench.policy import emulation, scenario

CUT_S = 12.0
SOUND = scenario.Noise()


def cut(manner, share, zone='a', at_s=5.0, for_s=CUT_S):
    """Return a cut of daemons from all targets."""
    return scenario.Disturbance(
        scenario.DisturbanceKind.CUT,
        at_s,
        for_s,
        share=share,
        zone=zone,
        manner=manner,
    )


def fleet_with(*disturbances, duration_s=22.0, noise=SOUND):
    """Return three zones with four daemons each and two services."""
    return scenario.Scenario(
        duration_s=duration_s,
        services=(
            scenario.Service('desk', 5, 3, error_share=0.0, noise=noise),
            scenario.Service('books', 5, 3, error_share=0.0, noise=noise),
        ),
        classes=(
            scenario.RequestClass('view', 'desk', 20.0, True, 0.2),
            scenario.RequestClass('post', 'books', 40.0, False, 0.16),
        ),
        daemons_a_zone=4,
        disturbances=disturbances,
    )


@pytest.mark.parametrize('seed', [0, 1])
@pytest.mark.parametrize('share', [0.5, 1.0], ids=['half', 'zone'])
@pytest.mark.parametrize('manner', list(scenario.CutManner))
def test_callers_of_daemons_that_are_cut_off_are_served(manner, share, seed):
    """Guards against requests refused where no target can be reached.

    Callers keep sending to daemons of a zone that lost the path to all targets
    while all other daemons still reach them.
    """
    counts = emulation.emulate(fleet_with(cut(manner, share)), seed)
    cuts = counts.cuts
    assert cuts.at_cut_off.sent > 50
    assert not cuts.are_too_few_served(), (cuts.at_cut_off, cuts.elsewhere)
    assert not counts.runs.exceeding()


@pytest.mark.parametrize('manner', list(scenario.CutManner))
def test_a_cut_of_two_zones_among_gray_failures(manner):
    """Guards against gray targets that look like a lost path, or hide one."""
    setup = fleet_with(
        cut(manner, 1.0, 'a'),
        cut(manner, 1.0, 'b', at_s=5.5, for_s=CUT_S - 0.5),
        noise=scenario.Noise(share=0.3, manner=scenario.Manner.RESET),
    )
    counts = emulation.emulate(setup, 0)
    assert counts.cuts.at_cut_off.sent > 100
    assert not counts.cuts.are_too_few_served()
    assert not counts.runs.exceeding()


@pytest.mark.parametrize('manner', list(scenario.CutManner))
def test_no_request_is_quarantined_for_a_cut(manner):
    """Guards against requests that callers repeat and a cut has marked."""
    setup = fleet_with(cut(manner, 1.0), cut(manner, 1.0, at_s=19.0, for_s=2.0))
    classes = tuple(
        msgspec.structs.replace(request_class, caller_retries=3)
        for request_class in setup.classes
    )
    setup = msgspec.structs.replace(setup, classes=classes)
    assert not emulation.emulate(setup, 0).crashes.held_back
