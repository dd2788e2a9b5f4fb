"""A platform that is restored from a copy which is some seconds old.

It has lost all writes since the copy was made: targets that started are
missing, some that left are listed again, revisions go back, and the
configuration is an older one until its writers repeat theirs.
"""

import pytest
import zones_support as support

from sardinepier.entry import confirmation, model

BOUND_S = 5.0
EPOCH = model.REVISIONS_PER_EPOCH


@pytest.fixture
async def zone():
    new_zone = support.Zone()
    for daemon in new_zone.daemons:
        daemon.services.confirmation = confirmation.Confirmation(
            new_zone.clock,
            BOUND_S,
        )
    new_zone.platform.configuration = support.configuration(4)
    new_zone.platform.targets = support.target_list(100, 'stays', 'leaves')
    await new_zone.run(3.0)
    new_zone.platform.configuration = support.configuration(5)
    new_zone.platform.targets = support.target_list(120, 'stays', 'starts')
    await new_zone.run(3.0)
    return new_zone


def restore(zone):
    """Publish a copy from before ``starts`` started and ``leaves`` left."""
    zone.platform.configuration = support.configuration(4)
    zone.platform.targets = support.target_list(EPOCH + 100, 'stays', 'leaves')


def write_again(zone):
    """Publish the writes that operators and targets have repeated."""
    zone.platform.configuration = support.configuration(5)
    zone.platform.targets = support.target_list(
        EPOCH + 104,
        'stays',
        'leaves',
        'starts',
    )


async def test_targets_neither_disappear_nor_return(zone):
    restore(zone)
    for _ in range(15):
        await zone.run(0.1)
        for daemon in zone.daemons:
            assert daemon.target_names == {'stays', 'starts'}
    write_again(zone)
    for _ in range(30):
        await zone.run(0.1)
        for daemon in zone.daemons:
            assert daemon.target_names == {'stays', 'starts'}


async def test_a_target_that_is_not_written_again_is_gone(zone):
    restore(zone)
    await zone.run(4.5)
    for daemon in zone.daemons:
        assert daemon.target_names == {'stays'}


async def test_lists_of_the_restored_platform_are_applied(zone):
    restore(zone)
    await zone.run(0.5)
    zone.platform.targets = support.target_list(EPOCH + 110, 'stays', 'fresh')
    await zone.run(7.0)
    for daemon in zone.daemons:
        assert daemon.target_names == {'stays', 'fresh'}


async def test_a_draining_target_stays_draining(zone):
    listed = (support.target('stays'), support.target('starts'))
    draining = support.target('starts', model.TargetState.DRAINING)
    zone.platform.targets = model.TargetList(130, (listed[0], draining))
    await zone.run(2.0)
    zone.platform.targets = model.TargetList(EPOCH + 100, listed)
    await zone.run(2.0)
    for daemon in zone.daemons:
        states = {
            target.target_id: target.state
            for target in daemon.services.targets.targets
        }
        assert states['starts'] is model.TargetState.DRAINING


async def test_the_configuration_never_goes_back(zone):
    restore(zone)
    for _ in range(20):
        await zone.run(0.2)
        assert {daemon.version for daemon in zone.daemons} == {5}


async def test_a_copy_confirms_nothing_until_it_is_written_again(zone):
    reader = zone.carrier()
    age_before_s = reader.services.confirmation.age_s()
    restore(zone)
    await zone.run(1.5)
    assert reader.services.confirmation.age_s() > 1.4 + age_before_s - 1.0
    await zone.run(3.0)
    assert reader.services.confirmation.is_valid()
    assert reader.services.confirmation.age_s() < 2.0
