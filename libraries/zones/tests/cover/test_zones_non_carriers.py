"""Which targets those of a zone choose who don't carry it."""

import pytest
import zones_support as support
from sardinepier.core import ids
from sardinepier.entry import target_record, attempt_requirements

_IDLE_S = 3.0
"""Longer than any target may be idle before it has its turn."""


@pytest.fixture
def zone():
    return support.Zone(count=4)


def chosen(daemon, *, is_final_attempt=False):
    """Return who gets a request that comes to a daemon now."""
    now_s = daemon.clock.monotonic_s()
    pool = daemon.held.pool(support.SERVICE)
    requirements = attempt_requirements.AttemptRequirements(
        (), 0, now_s, now_s + 0.3, is_final_attempt
    )
    record = pool.try_acquire(requirements)
    pool.release(record)
    return record.listed.target_id


def serve(daemon, name):
    pool = daemon.held.pool(support.SERVICE)
    record = pool.targets.find(ids.TargetId(name))
    pool.finished(record, begun(pool, record))
    pool.answered(record, 0.2)


def begun(pool, record):
    record.reserved += 1
    return pool.started(record)


async def test_those_beside_the_carrier_keep_apart():
    """Each of fifty would else send to the target that answered last.

    Seen: as many requests came to a service beside its carriers as through
    them, and one in twenty-four was turned away while others were idle.
    """
    zone = support.Zone(count=12)
    names = [f't{number}' for number in range(6)]
    await support.with_targets(zone, *names)
    carrier = zone.carrier()
    for name in names:
        serve(carrier, name)
        await zone.run(0.05)
    await zone.run(0.3)
    others = [one for one in zone.daemons if not one.carriers.is_carrier()]
    assert len({chosen(one, is_final_attempt=True) for one in others}) >= 4


async def test_a_newcomer_that_the_zone_has_used_waits_for_no_first_request(
    zone,
):
    await support.with_targets(zone)
    zone.platform.targets = support.target_list(2, 't1', 't2', 'new')
    await zone.run(_IDLE_S)
    carrier = zone.carrier()
    assert chosen(carrier) == 'new'
    support.fail(carrier, 'new')
    serve(carrier, 't1')
    serve(carrier, 't2')
    await zone.run(0.5)
    zone.stop(carrier)
    await zone.run(0.5)
    beside = next(one for one in zone.living())
    record = beside.held.pool(support.SERVICE).targets.find('new')
    assert record.belief_source is target_record.ObservationSource.ZONE
    assert chosen(beside, is_final_attempt=True) != 'new'
