"""Handover of a zone by a carrier that reaches no target at all."""

import pytest
import zones_support as support
from sardinepier.core import ids
from sardinepier.zones import availability

TARGETS = ('t1', 't2')


@pytest.fixture
def zone():
    return support.Zone(count=6)


class Links:
    """The paths of daemons to all targets, which the test cuts."""

    def __init__(self, zone):
        self.cut = set()
        self.checks = 0
        for daemon in zone.daemons:
            daemon.sharing.successors.check_paths = self._check_of(daemon)

    def cut_off(self, *daemons):
        """Cut daemons off; only those that send to targets notice it."""
        self.cut.update(daemon.own.instance_id for daemon in daemons)

    def notice(self, daemon):
        connectivity = daemon.services.connectivity
        if daemon.own.instance_id not in self.cut:
            connectivity.connected(support.SERVICE)
            return
        for name in TARGETS:
            connectivity.failed(
                support.SERVICE, ids.TargetId(name), len(TARGETS)
            )

    def _check_of(self, daemon):
        async def check():
            self.checks += 1
            self.notice(daemon)

        return check


def order_of(zone):
    """Return the daemons of the zone, the carrier first."""
    return [
        zone.find(member)
        for member in zone.daemons[0].carriers._order.own_zone(1)
    ]


async def carrier_after(zone, seconds):
    """Return the daemon that all others take for the carrier."""
    await zone.run(seconds)
    found = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert len(found) == 1
    return zone.find(found.pop()[0])


@pytest.mark.parametrize('cut_count', [1, 2, 3, 5])
async def test_a_zone_goes_to_a_daemon_that_reaches_targets(zone, cut_count):
    """Guards against a handover to a successor that is cut off, too."""
    await support.with_targets(zone)
    links = Links(zone)
    order = order_of(zone)
    links.cut_off(*order[:cut_count])
    links.notice(order[0])
    assert await carrier_after(zone, 1.0 + 0.8 * cut_count) is order[cut_count]


async def test_a_zone_stays_where_no_daemon_reaches_a_target(zone):
    """Guards against changes of the carrier where targets are gone."""
    await support.with_targets(zone)
    links = Links(zone)
    order = order_of(zone)
    links.cut_off(*zone.daemons)
    links.notice(order[0])
    for _ in range(20):
        assert await carrier_after(zone, 0.5) is order[0]


async def test_a_daemon_that_is_still_cut_off_does_not_come_back(zone):
    """Guards against carriers that return before they reach targets."""
    await support.with_targets(zone)
    links = Links(zone)
    order = order_of(zone)
    links.cut_off(*order[:2])
    links.notice(order[0])
    await zone.run(3.0)
    for _ in range(30):
        assert await carrier_after(zone, 1.0) is order[2]
    links.cut.clear()
    for daemon in order[:2]:
        links.notice(daemon)
    after_s = availability.HANDOVER_PAUSE_S + 1.0
    assert await carrier_after(zone, after_s) is order[0]


async def test_few_daemons_check_their_paths(zone):
    """Guards against checks by all daemons of a zone at the same time."""
    await support.with_targets(zone)
    links = Links(zone)
    order = order_of(zone)
    links.cut_off(order[0])
    links.notice(order[0])
    await zone.run(10.0)
    assert 1 <= links.checks <= 4


async def test_few_daemons_of_a_large_zone_announce_that_they_are_cut_off():
    """Guards against messages that grow with the square of the zone."""
    zone = support.Zone(count=40)
    await support.with_targets(zone)
    links = Links(zone)
    links.cut_off(*zone.daemons)
    for noticing in zone.daemons:
        links.notice(noticing)
    await zone.run(12.0)
    records = zone.daemons[0].carriers.availability
    excluded = [
        daemon.own.instance_id
        for daemon in zone.daemons
        if records.has_handed_over(daemon.own.instance_id)
    ]
    assert len(excluded) < 12


async def test_other_zones_use_the_targets_of_a_zone_that_is_cut_off():
    """Guards against targets that are idle since no daemon reaches them."""
    zone = support.Zone(count=2, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    links = Links(zone)
    cut = [daemon for daemon in zone.daemons if daemon.own.zone == 'zone2']
    links.cut_off(*cut)
    links.notice(cut[0])
    links.notice(cut[1])
    await zone.run(1.0)
    first = zone.carrier()
    assert first.services.pool(support.SERVICE).unreachable_zones == {'zone2'}
    links.cut.clear()
    links.notice(cut[0])
    links.notice(cut[1])
    await zone.run(2.0)
    assert not first.services.pool(support.SERVICE).unreachable_zones
