"""Tests of requests that crash the targets that run them."""

import pytest
from sardinepier.workbench.policy import emulation, scenario

ALLOWED_LATE_SENDS = 3
"""Sends that may follow, after a reaction time, once three targets crashed."""


def crashing(at_s, for_s=10.0, per_s=3.0):
    """Return a request that crashes targets, and how often it is sent."""
    return scenario.Disturbance(
        scenario.DisturbanceKind.CRASHING_REQUEST,
        at_s,
        for_s,
        'desk',
        strength=per_s,
    )


def desk(noise, *disturbances, duration_s=50.0, daemons_a_zone=1):
    """Return a service of 15 targets with ordinary requests."""
    return scenario.Scenario(
        duration_s=duration_s,
        services=(scenario.Service('desk', 5, slots=2, queue=8, noise=noise),),
        classes=(
            scenario.RequestClass('report', 'desk', 20.0, True, 0.39),
            scenario.RequestClass('sign', 'desk', 5.0, False, 0.12),
        ),
        zones=('a', 'b', 'c'),
        daemons_a_zone=daemons_a_zone,
        disturbances=disturbances,
    )


@pytest.mark.parametrize('seed', [0, 1])
@pytest.mark.parametrize('daemons_a_zone', [1, 4])
@pytest.mark.parametrize(
    'noise',
    [
        scenario.Noise(),
        scenario.Noise(share=0.3, manner=scenario.Manner.ERROR),
        scenario.Noise(share=0.3, manner=scenario.Manner.RESET),
    ],
    ids=['sound', 'errors', 'resets'],
)
def test_a_request_that_is_proved_to_crash_targets_is_not_sent_again(
    noise, daemons_a_zone, seed
):
    """Guards against requests that crash one target after another.

    Two requests crash targets, the second after the quarantine of the first has
    ended. They arrive at all daemons. Each target that crashed comes back under
    another id, so that it never answers under the one that was lost. Three in
    ten targets fail by themselves, as some do at any time.
    """
    setup = desk(
        noise,
        crashing(5.0, 8.0),
        crashing(33.0, 13.0),
        daemons_a_zone=daemons_a_zone,
    )
    crashes = emulation.emulate(setup, seed).crashes
    assert crashes.max_crashes() >= 1
    assert crashes.max_late_sends() <= ALLOWED_LATE_SENDS
