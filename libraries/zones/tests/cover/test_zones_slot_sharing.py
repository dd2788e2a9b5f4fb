"""Daemons of several zones report their use of slots to each other."""

import random

import pytest
import zones_support as support
from hypothesis import given
from hypothesis import strategies as st
from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.wire import messages as wire_messages
from sardinepier.zones import messages, slot_packing

NEAR = ids.ZoneName('z1')
FAR = ids.ZoneName('far')
INTERVAL_S = 0.25
EXPIRED_S = 1.0


def configuration(*priorities):
    return model.ServedConfiguration(
        1,
        tuple(
            model.Route(
                ids.RouteName(f'r{place}'),
                'a.example',
                f'/{place}/',
                model.RouteKind.IDEMPOTENT,
                (model.ServiceShare(support.SERVICE, 1.0),),
                timeout_s=2.0,
                target_latency_s=1.0,
                priority=priority,
                max_attempts=2,
            )
            for place, priority in enumerate(priorities)
        ),
        (),
    )


def targets(count, zone=NEAR, prefix='t'):
    return tuple(
        model.ListedTarget(
            ids.TargetId(f'{prefix}{number}'),
            support.SERVICE,
            '127.0.0.1',
            1,
            zone,
            3,
            model.TargetState.READY,
        )
        for number in range(count)
    )


async def two_zones(listed, priorities=(0, 1)):
    zone = support.Zone(count=2, zones=(NEAR, FAR))
    zone.platform.configuration = configuration(*priorities)
    zone.platform.targets = model.TargetList(1, listed)
    await zone.run(2.0)
    for daemon in zone.daemons:
        # Otherwise attempts soon count as hung.
        daemon.services.pool(support.SERVICE).typical_latency_s = 5.0
    return zone


def first_of(zone, name):
    return next(
        daemon
        for daemon in zone.living()
        if daemon.own.zone == name and daemon.carriers.is_first()
    )


def records(daemon):
    return list(daemon.services.pool(support.SERVICE).targets.records())


def use(daemon, name, count):
    """Set how many requests a daemon has in flight at a target."""
    table = daemon.services.pool(support.SERVICE).targets
    record = table.find(name)
    table.mark_used(record)
    record.started_s = dict.fromkeys(range(count), daemon.clock.monotonic_s())


def seen(daemon, name):
    """Return the target's requests in flight by the reports of others."""
    record = daemon.services.pool(support.SERVICE).targets.find(name)
    return record.elsewhere.in_flight(daemon.clock.monotonic_s())


def sent_by(daemon, monkeypatch):
    """Return a list to which the slot reports of a daemon are appended."""
    sent = []
    send = daemon.network.send

    def record_sent(peer, message):
        if isinstance(message, messages.SlotUse):
            sent.append(message)
        return send(peer, message)

    monkeypatch.setattr(daemon.network, 'send', record_sent)
    return sent


async def test_a_zone_sees_payments_of_another_zone_at_its_targets():
    """Guards against two zones that fill the same slots."""
    zone = await two_zones(targets(2))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't1', 3)
    await zone.run(2 * INTERVAL_S)
    assert seen(near, 't1') == 3
    assert (
        not near.services.pool(support.SERVICE)
        .targets.find('t1')
        .has_free_slot(zone.clock.monotonic_s())
    )
    use(far, 't1', 1)
    await zone.run(2 * INTERVAL_S)
    assert seen(near, 't1') == 1


async def test_another_zone_sees_holds_of_a_busy_service_only(monkeypatch):
    """Guards against inter-zone bytes about targets that are mostly free."""
    zone = await two_zones(targets(8))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    sent = sent_by(near, monkeypatch)
    use(near, 't1', 3)
    await zone.run(2 * INTERVAL_S)
    assert seen(far, 't1') == 0
    assert not sent
    use(near, 't2', 3)
    await zone.run(2 * INTERVAL_S)
    assert seen(far, 't1') == seen(far, 't2') == 3


async def test_slots_of_look_ups_are_free_a_second_after_their_daemon_died():
    """Guards against slots that a dead daemon holds for longer."""
    zone = await two_zones(targets(2))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't1', 3)
    await zone.run(INTERVAL_S)
    zone.stop(far)
    await zone.run(0.45 - INTERVAL_S)
    assert seen(near, 't1') == 3
    await zone.run(EXPIRED_S - 0.45)
    assert seen(near, 't1') == 0


async def test_a_full_report_is_no_new_use_by_payments():
    """Guards against slots that are left again with each full report."""
    zone = await two_zones(targets(2))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't0', 1)
    use(far, 't1', 1)
    await zone.run(2 * INTERVAL_S)
    elsewhere = [record.elsewhere for record in records(near)]
    began_s = zone.clock.monotonic_s()
    for use_there in elsewhere:
        use_there.yield_slots(began_s)
    use(far, 't1', 2)
    await zone.run(1.5)
    now_s = zone.clock.monotonic_s()
    assert not elsewhere[0].may_be_yielded(now_s)
    assert elsewhere[1].may_be_yielded(now_s)
    use(far, 't0', 0)
    await zone.run(1.0)
    assert [seen(near, name) for name in ('t0', 't1')] == [0, 2]


@pytest.mark.parametrize('cut_at_s', [0.0, 0.25, 0.5, 0.75, 1.0])
async def test_a_lost_report_of_payments_misleads_for_a_second_at_most(
    cut_at_s,
):
    """Guards against changes that are lost for good with one report."""
    zone = await two_zones(targets(3))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't0', 3)
    await zone.run(cut_at_s + 2 * INTERVAL_S)
    link = far.own.peer_address, near.own.peer_address
    zone.hub.cut(*link)
    use(far, 't0', 0)
    use(far, 't1', 3)
    await zone.run(INTERVAL_S)
    zone.hub.heal(*link)
    await zone.run(EXPIRED_S)
    assert [seen(near, name) for name in ('t0', 't1')] == [0, 3]


async def test_a_daemon_that_starts_receives_all_reports_of_holds():
    """Guards against daemons that overload targets right after their start."""
    zone = await two_zones(targets(2))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't1', 2)
    await zone.run(1.0)
    zone.stop(near)
    zone.fleet.drop(near.own)
    own = support.member(9, NEAR)
    zone.fleet.known.append(own)
    zone.fleet.version += 1
    started = support.Daemon(zone, own)
    started.services.offer_configuration(zone.platform.configuration)
    started.services.offer_targets(zone.platform.targets)
    zone.daemons.append(started)
    await zone.run(3 * INTERVAL_S)
    receiver = first_of(zone, NEAR)
    assert seen(receiver, 't1') == 2


async def test_reports_about_another_target_list_are_left_out():
    """Guards against look-ups counted at the wrong targets."""
    zone = await two_zones(targets(3))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    near.network.receive(
        zone.hub._codec.encode(
            wire_messages.Sender(far.own.instance_id, far.own.peer_address),
            messages.SlotUse(
                near.services.targets_digest + 1,
                1,
                is_full=True,
                in_flight=slot_packing.pack({0: 3}),
            ),
        ),
    )
    assert [seen(near, f't{number}') for number in range(3)] == [0, 0, 0]


@pytest.mark.parametrize('priorities', [(1,), (1, 1)])
async def test_look_ups_of_one_priority_are_not_reported(
    priorities, monkeypatch
):
    """Guards against messages where no requests compete for slots."""
    zone = await two_zones(targets(2), priorities)
    far = first_of(zone, FAR)
    sent = sent_by(far, monkeypatch)
    use(far, 't1', 3)
    await zone.run(1.0)
    assert not sent


async def test_nothing_is_reported_without_payments_in_flight(monkeypatch):
    """Guards against inter-zone bytes of an idle fleet."""
    zone = await two_zones(targets(2))
    far = first_of(zone, FAR)
    sent = sent_by(far, monkeypatch)
    await zone.run(1.0)
    assert not sent
    use(far, 't1', 3)
    await zone.run(1.0)
    assert 2 <= len(sent) <= 4
    use(far, 't1', 0)
    await zone.run(2 * INTERVAL_S)
    sent.clear()
    await zone.run(3.0)
    assert not sent


async def test_payments_that_wait_in_another_zone_are_known(monkeypatch):
    """Guards against look-ups that overtake payments in other queues."""
    zone = await two_zones(targets(1))
    near, far = first_of(zone, NEAR), first_of(zone, FAR)
    use(far, 't0', 3)
    pool = far.services.pool(support.SERVICE)
    monkeypatch.setattr(pool, 'waiting_by_priority', lambda: {0: 2})
    await zone.run(2 * INTERVAL_S)
    waiting = near.services.pool(support.SERVICE).waiting_elsewhere
    now_s = zone.clock.monotonic_s
    assert waiting.above(1, now_s()) == 2
    assert waiting.above(0, now_s()) == 0
    # They don't use the slot that came free, so that none is left to them.
    use(far, 't0', 1)
    await zone.run(2 * INTERVAL_S)
    assert waiting.above(1, now_s()) == 0


async def test_reports_of_random_holds_take_a_kilobyte_a_second(monkeypatch):
    """Guards against inter-zone bytes that exceed the bound of the design."""
    zone = await two_zones(targets(100, FAR))
    near = first_of(zone, NEAR)
    sent = sent_by(near, monkeypatch)
    random_source = random.Random(1)
    for _ in range(40):
        for number in range(100):
            use(near, f't{number}', random_source.randrange(4))
        await zone.run(INTERVAL_S)
    sender = wire_messages.Sender(near.own.instance_id, near.own.peer_address)
    encoded = [len(zone.hub._codec.encode(sender, report)) for report in sent]
    receivers = 2
    assert sum(encoded) / receivers / 10.0 < 1000


@given(st.dictionaries(st.integers(0, 40_000), st.integers(0, 1000)))
def test_packed_counts_are_unpacked_unchanged(counts):
    """Guards against counts at the wrong targets of large fleets."""
    assert slot_packing.unpack(slot_packing.pack(counts)) == counts


@given(st.binary())
def test_damaged_counts_raise_no_error(packed):
    """Guards against a handler that fails because of one message."""
    slot_packing.unpack(packed)
