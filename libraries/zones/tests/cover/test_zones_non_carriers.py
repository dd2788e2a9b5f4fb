"""Target selection by the non-carriers of a zone."""

import pytest
import zones_support as support
from sardinepier.core import ids
from sardinepier.entry import attempt_requirements, target_record

_IDLE_S = 3.0
"""Longer than any target may be idle before it is explored."""


@pytest.fixture
def zone():
    return support.Zone(count=4)


def select_target(daemon, *, is_final_attempt=False):
    """Return the target that a daemon selects for a request now."""
    now_s = daemon.clock.monotonic_s()
    pool = daemon.services.pool(support.SERVICE)
    requirements = attempt_requirements.AttemptRequirements(
        (), 0, now_s, now_s + 0.3, is_final_attempt
    )
    record = pool.try_acquire(requirements)
    pool.release(record)
    return record.listed.target_id


def serve(daemon, name):
    pool = daemon.services.pool(support.SERVICE)
    record = pool.targets.find(ids.TargetId(name))
    pool.finished(record, start_attempt(pool, record))
    pool.answered(record, 0.2)


def start_attempt(pool, record):
    record.reserved += 1
    return pool.started(record)


async def test_non_carriers_select_different_targets():
    """Guards against all non-carriers selecting the target that answered last.

    A service got as many requests from its non-carriers as from its carriers.
    Each of fifty non-carriers sent to the same target, and one request in
    twenty-four was refused while other targets were idle.
    """
    zone = support.Zone(count=12)
    names = [f't{number}' for number in range(6)]
    await support.with_targets(zone, *names)
    carrier = zone.carrier()
    for name in names:
        serve(carrier, name)
        await zone.run(0.05)
    await zone.run(0.3)
    non_carriers = [
        daemon for daemon in zone.daemons if not daemon.carriers.is_carrier()
    ]
    assert (
        len(
            {
                select_target(daemon, is_final_attempt=True)
                for daemon in non_carriers
            }
        )
        >= 4
    )


async def test_a_new_target_that_the_carrier_has_used_is_not_explored_again(
    zone,
):
    await support.with_targets(zone)
    zone.platform.targets = support.target_list(2, 't1', 't2', 'new')
    await zone.run(_IDLE_S)
    carrier = zone.carrier()
    assert select_target(carrier) == 'new'
    support.fail(carrier, 'new')
    serve(carrier, 't1')
    serve(carrier, 't2')
    await zone.run(0.5)
    zone.stop(carrier)
    await zone.run(0.5)
    non_carrier = next(daemon for daemon in zone.living())
    record = non_carrier.services.pool(support.SERVICE).targets.find('new')
    assert record.estimate_source is target_record.ObservationSource.ZONE
    assert select_target(non_carrier, is_final_attempt=True) != 'new'
