"""How a target's state changes when a list names another incarnation."""

import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.health import options, service_health, targets

_States = targets.TargetState


def _health():
    return service_health.ServiceHealth(
        'deposits',
        'd1~0',
        options.HealthOptions(),
        clocks.ManualClock(),
        random.Random(1),
        lambda event: None,
    )


@pytest.mark.parametrize(
    ('before', 'is_leaving', 'after', 'state'),
    (
        ('a', False, 'a', _States.IN_SERVICE),
        ('a', True, 'a', _States.LEAVING),
        ('a', False, 'b', _States.COLD),
        ('a', True, 'b', _States.COLD),
        ('', False, 'a', _States.IN_SERVICE),
        ('', True, 'a', _States.COLD),
    ),
)
def test_state_after_a_list_with_a_new_incarnation(
    before, is_leaving, after, state
):
    health = _health()
    health.set_targets((targets.TargetIdentity('t1', before, 3),))
    if is_leaving:
        assert health.mark_leaving('t1', before)
    health.set_targets((targets.TargetIdentity('t1', after, 3),))
    health.tick()
    assert health.standing('t1').state is state
