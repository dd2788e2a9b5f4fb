"""What targets ask for in their answers, under the load of a busy service."""

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
    """Return a busy service of which some targets ask for something."""
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
def test_a_target_gets_no_more_than_the_limit_that_it_names(
    limit_per_s,
    daemons_a_zone,
):
    """Guards against a limit that each daemon, or none, keeps to alone.

    The pattern: a third of a busy service's targets name a limit. They answer
    well, so that they are as sure as the others. Requests come to all daemons.
    """
    setup = busy(
        scenario.DisturbanceKind.LIMIT, limit_per_s, THIRD, daemons_a_zone
    )
    assert emulation.emulate(setup, 1).compliance.max_limit_use() <= 1


@pytest.mark.parametrize('daemons_a_zone', [1, 3])
def test_a_target_that_said_it_leaves_gets_nothing_after_that(daemons_a_zone):
    """Guards against a leaving target that has its turn like any idle one.

    The pattern: targets leave while the platform is away, so that its list does
    not change, and say so in their answers only. Requests come to all daemons.
    """
    setup = busy(
        scenario.DisturbanceKind.LEAVE, 1, THIRD, daemons_a_zone, per_s=20.0
    )
    assert emulation.emulate(setup, 1).compliance.arrivals_after_leaving == 0


@pytest.mark.parametrize('share', [THIRD, 1.0])
@pytest.mark.parametrize('daemons_a_zone', [1, 3])
def test_a_target_that_asked_for_rest_is_left_alone(daemons_a_zone, share):
    """Guards against a pause of a tenth of a second whatever a target asked for.

    The pattern: a third, or all, of a busy service's targets turn away what they
    get, and each time ask for four seconds of rest.
    """
    setup = busy(scenario.DisturbanceKind.REST, 4.0, share, daemons_a_zone)
    assert emulation.emulate(setup, 1).compliance.max_arrivals_in_backoff() <= 2


def test_the_watch_allows_what_the_users_allow():
    watch = statement_compliance.StatementCompliance()
    watch.record_limit('t', 'd', 10.0, 1.0)
    watch.record_limit('t', 'e', 15.9, 1.0)
    for _ in range(11):
        watch.record_arrival('t', 'd', 11.0)
    for _ in range(11):
        watch.record_arrival('t', 'd', 16.0)
        watch.record_arrival('t', 'e', 16.0)
    assert watch.max_limit_use() == 1
    watch.record_arrival('t', 'd', 19.9)
    assert watch.max_limit_use() > 1
    watch.clear_limit('t')
    assert watch.max_limit_use() == 0
