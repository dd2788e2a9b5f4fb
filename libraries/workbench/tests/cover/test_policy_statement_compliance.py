"""Tests that the daemons comply with the statements of targets."""

import pytest
from sardinepier.workbench.policy import (
    emulation,
    scenario,
    statement_compliance,
)

SECONDS = 16.0
AT_S = 4.0
THIRD = 1 / 3


def busy(kind, strength, share=THIRD, daemons_a_zone=1, per_s=80.0, targets=5):
    """Return a busy service with a share of targets that make a statement."""
    return scenario.Scenario(
        duration_s=SECONDS,
        services=(scenario.Service('desk', targets, error_share=0.012),),
        classes=(
            scenario.RequestClass('read', 'desk', per_s / 4, True, 0.2),
            scenario.RequestClass('write', 'desk', per_s, False, 0.2),
        ),
        disturbances=(
            scenario.Disturbance(
                kind,
                AT_S,
                SECONDS,
                'desk',
                share=share,
                strength=strength,
            ),
        ),
        daemons_a_zone=daemons_a_zone,
    )


@pytest.mark.parametrize('limit_per_s', [1.0, 2.8])
@pytest.mark.parametrize('daemons_a_zone', [1, 3, 33])
def test_a_target_gets_no_more_than_the_limit_that_it_states(
    limit_per_s,
    daemons_a_zone,
):
    """Guards against daemons that each use the whole limit, or ignore it.

    A third of a busy service's targets state a limit. They answer well, so
    their failure estimates are as good as those of the other targets. Requests
    arrive at all daemons.
    """
    setup = busy(
        scenario.DisturbanceKind.LIMIT, limit_per_s, THIRD, daemons_a_zone
    )
    assert emulation.emulate(setup, 1).compliance.max_limit_use() <= 1


@pytest.mark.parametrize('daemons_a_zone', [1, 3])
def test_a_target_that_stated_its_leaving_gets_no_requests_after_that(
    daemons_a_zone,
):
    """Guards against exploration of a leaving target as of any idle one.

    Targets leave while the platform is unreachable, so that its target list
    does not change: they state it in their answers only. Requests arrive at
    all daemons.
    """
    setup = busy(
        scenario.DisturbanceKind.LEAVE, 1, THIRD, daemons_a_zone, per_s=20.0
    )
    assert emulation.emulate(setup, 1).compliance.arrivals_after_leaving == 0


@pytest.mark.parametrize('share', [THIRD, 1.0])
@pytest.mark.parametrize('daemons_a_zone', [1, 3])
def test_a_target_gets_no_requests_during_its_backoff(daemons_a_zone, share):
    """Guards against a fixed backoff of 0.1 s whatever a target stated.

    A third, or all, of a busy service's targets refuse all requests, and state
    a backoff of four seconds each time.
    """
    setup = busy(scenario.DisturbanceKind.REST, 4.0, share, daemons_a_zone)
    assert emulation.emulate(setup, 1).compliance.max_arrivals_in_backoff() <= 2


def test_limit_use_counts_reported_limits_with_the_allowed_slack():
    compliance = statement_compliance.StatementCompliance()
    compliance.record_limit('t', 'd', 10.0, 1.0)
    compliance.record_limit('t', 'e', 15.9, 1.0)
    for _ in range(11):
        compliance.record_arrival('t', 'd', 11.0)
    for _ in range(11):
        compliance.record_arrival('t', 'd', 16.0)
        compliance.record_arrival('t', 'e', 16.0)
    assert compliance.max_limit_use() == 1
    compliance.record_arrival('t', 'd', 19.9)
    assert compliance.max_limit_use() > 1
    compliance.clear_limit('t')
    assert compliance.max_limit_use() == 0
