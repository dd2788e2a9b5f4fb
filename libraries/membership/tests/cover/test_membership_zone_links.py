"""Few daemons of a zone watch other zones, and a lost zone is still noticed."""

import collections

import pytest

_LINKS = 3
_ZONES = 3


def linked_fleet(new_fleet, size):
    fleet = new_fleet(size, zones=_ZONES, zone_links=_LINKS, zone_peers=3)
    fleet.ticks_until(fleet.agree, limit=60)
    return fleet


def of_zone(fleet, zone):
    return [index for index in fleet.running if index % _ZONES == zone]


@pytest.mark.parametrize('size', [30, 120])
def test_probes_between_zones_do_not_grow_with_the_fleet(new_fleet, size):
    # Guards against a cost of inter-zone traffic that grows with the fleet.
    fleet = linked_fleet(new_fleet, size)
    zones = {fleet.address(index): index % _ZONES for index in fleet.running}
    crossing = collections.Counter()
    transmit = fleet.hub.transmit

    def count(source, destination, frame):
        pair = (zones[source.sender.address], zones[destination])
        crossing[pair] += pair[0] != pair[1]
        transmit(source, destination, frame)

    fleet.tick(20)
    fleet.hub.transmit = count
    fleet.tick(20)
    probes_and_acks = 2 * _LINKS * 20
    assert max(crossing.values()) <= 1.2 * probes_and_acks
    assert min(crossing[pair] for pair in crossing if pair[0] != pair[1]) >= 40


def test_a_zone_of_40_that_lost_power_is_noticed_within_seconds(new_fleet):
    # Guards against members of a lost zone that are found one by one: their
    # zone's callers would be sent to them for most of a minute.
    fleet = linked_fleet(new_fleet, 120)
    lost = fleet.names(of_zone(fleet, 1))
    for index in of_zone(fleet, 1):
        fleet.crash(index)

    def is_noticed():
        return all(
            lost.isdisjoint(fleet.sees(index)) for index in fleet.running
        )

    assert fleet.ticks_until(is_noticed, limit=30) <= 12


def test_a_cut_between_two_zones_of_three_kills_nobody(new_fleet):
    # Guards against the checks of a silent zone that take a cut for a loss.
    fleet = linked_fleet(new_fleet, 45)
    fleet.partition(of_zone(fleet, 0), of_zone(fleet, 1))
    fleet.tick(40)
    assert not fleet.died()


def test_a_death_is_known_in_other_zones_as_soon_as_without_links(new_fleet):
    # Guards against news that wait for one of the few links.
    fleet = linked_fleet(new_fleet, 90)
    for victim in (40, 41, 42):
        name = fleet.crash(victim).own.instance_id

        def is_noticed(name=name):
            return all(name not in fleet.sees(index) for index in fleet.running)

        assert fleet.ticks_until(is_noticed, limit=20) <= 6
