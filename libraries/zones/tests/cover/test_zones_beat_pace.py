"""What a zone's beats cost those who don't carry it.

A carrier beats up to fifty times a second while targets fail, and in a large
fleet some always do. To fifty-six others of its zone that were 2,800 messages a
second, and each of the others took in fifty a second from every carrier.
"""

import pytest
import zones_support as given
from sardinepier.zones import fitness

_STIRRED_S = 0.02
_STIRS = 50


@pytest.fixture
def zone():
    return given.Zone(count=8)


async def stir(zone, daemon):
    """Let a target of ``daemon`` fail every time that it may beat."""
    for _ in range(_STIRS):
        given.fail(daemon, 't1')
        daemon.sharing.step()
        zone.hub.deliver()
        zone.clock.advance(_STIRRED_S)


def received(daemon):
    return daemon.network.counters().messages_received


async def gained(zone, carrier):
    """Return how many messages each other daemon gets from ``carrier``."""
    others = [one for one in zone.daemons if one is not carrier]
    before = {one: received(one) for one in others}
    await stir(zone, carrier)
    return {one: received(one) - before[one] for one in others}


async def test_others_hear_a_carrier_no_more_often_than_it_has_to_beat(zone):
    await given.with_targets(zone)
    carrier = zone.carrier()
    got = await gained(zone, carrier)
    beats = _STIRS * _STIRRED_S / fitness.BEAT_INTERVAL_S
    assert all(beats - 1 <= count <= beats + 1 for count in got.values())


async def test_those_who_carry_the_zone_together_hear_at_once(zone):
    given.crowd(zone, 'z1')
    await given.with_targets(zone)
    carrier = zone.carrier()
    fellow = zone.find(carrier.carriers.of_own_zone()[1])
    got = await gained(zone, carrier)
    assert got[fellow] >= _STIRS


async def test_what_changed_between_two_beats_is_heard_with_the_next(zone):
    await given.with_targets(zone)
    carrier = zone.carrier()
    carrier.sharing.step()
    given.fail(carrier, 't1')
    carrier.sharing.step()
    zone.clock.advance(fitness.BEAT_INTERVAL_S)
    carrier.sharing.step()
    zone.hub.deliver()
    assert all(given.failing(one, 't1') > 0.5 for one in zone.daemons)
