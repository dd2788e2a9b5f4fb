"""One limit of a customer over the carriers of several zones."""

import zones_support as given

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.zones import messages

CUSTOMER = ids.CustomerName('library')
LIMIT_PER_S = 20.0


def with_limit(version):
    customer = model.Customer(
        CUSTOMER,
        (b'digest',),
        None,
        LIMIT_PER_S,
        LIMIT_PER_S,
    )
    return model.ServedConfiguration(
        version,
        (),
        (),
        customers=(customer,),
    )


async def limited_zones():
    zone = given.Zone(count=3, zones=('z1', 'far'))
    zone.platform.configuration = with_limit(1)
    zone.platform.targets = given.target_list(1, 't1')
    await zone.run(2.0)
    return zone


def carriers_of(zone):
    return [one for one in zone.living() if one.carriers.is_carrier()]


async def let_through(zone, senders, seconds, each_per_s=100):
    """Ask at all ``senders`` and return how many requests got through."""
    through = 0
    for _ in range(round(seconds / 0.05)):
        for one in senders:
            for _ in range(round(each_per_s * 0.05)):
                if not one.held.limits.take(CUSTOMER):
                    through += 1
        await zone.run(0.05)
    return through


async def test_carriers_of_two_zones_share_one_limit():
    zone = await limited_zones()
    through = await let_through(zone, carriers_of(zone), 10.0)
    allowed = LIMIT_PER_S * 11
    assert 0.9 * allowed <= through <= 1.25 * allowed + 20


async def test_one_that_carries_nothing_lets_few_through():
    zone = await limited_zones()
    beside = [one for one in zone.daemons if not one.carriers.is_carrier()]
    through = await let_through(zone, beside[:1], 5.0)
    assert 2 <= through <= 4


async def test_a_former_carrier_goes_by_what_it_heard():
    zone = await limited_zones()
    first, second = carriers_of(zone)
    await let_through(zone, (first, second), 3.0)
    first.held.limits.is_informed = False
    assert first.held.limits._knows_others(zone.clock.monotonic_s())


async def test_without_limits_nothing_is_told(monkeypatch):
    zone = given.Zone(count=3, zones=('z1', 'far'))
    await given.with_targets(zone)
    sent = []
    monkeypatch.setattr(
        type(zone.daemons[0].network),
        'send',
        lambda network, peer, message: sent.append(type(message)),
    )
    await zone.run(1.0)
    assert sent
    assert messages.UsageNews not in sent
