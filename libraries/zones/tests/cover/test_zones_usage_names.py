"""Usage of limits is sent with short names to daemons that have the same."""

import asyncio

import msgspec
import pytest
import zones_support as support

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.routing import wait_queue
from sardinepier.zones import customer_indexes, messages

NAMES = [ids.CustomerName(f'library-of-{number}') for number in range(3)]


def with_customers(version, *names):
    customers = [
        model.Customer(name, (name.encode(),), None, 20.0, 20.0)
        for name in names
    ]
    return model.ServedConfiguration(
        version, (), (), customers=tuple(customers)
    )


async def two_carriers():
    zone = support.Zone(count=2, zones=('z1', 'far'))
    zone.platform.configuration = with_customers(1, *NAMES)
    zone.platform.targets = support.target_list(1, 't1')
    await zone.run(2.0)
    first, second = [
        daemon for daemon in zone.daemons if daemon.carriers.is_carrier()
    ]
    return zone, first, second


class RecordingNetwork:
    """Keeps what one part of a daemon sends."""

    def __init__(self, network):
        self._network = network
        self.sent = []

    def send(self, peer, message):
        self.sent.append(message)
        return self._network.send(peer, message)


def record_sent(part):
    recorder = RecordingNetwork(part._network)
    part._network = recorder
    return recorder.sent


def customers_of(sent):
    return {usage.customer for news in sent for usage in news.usages}


async def spend(zone, daemon, name, count=10):
    for _ in range(count):
        assert not daemon.services.limits.take(name)
    await zone.run(0.5)


async def test_carriers_with_the_same_customers_send_indexes():
    # Guards against names that cost most of the bytes between zones.
    zone, first, second = await two_carriers()
    sent = record_sent(first.sharing._usage)
    await spend(zone, first, NAMES[1])
    assert customers_of(sent) == {'1'}
    assert second.services.limits._buckets.keys() == {NAMES[1]}


async def test_a_daemon_of_the_previous_version_gets_names():
    # Guards against a limit that is exceeded while a fleet is updated.
    zone, first, second = await two_carriers()
    sent = record_sent(first.sharing._usage)
    first.sharing._usage._peer_digests[second.own.instance_id] = 0
    second.sharing._usage._send = lambda *arguments, **named: None
    await spend(zone, first, NAMES[1])
    assert customers_of(sent) == {NAMES[1]}
    assert second.services.limits._buckets.keys() == {NAMES[1]}


async def test_customers_that_change_are_not_taken_for_others():
    # Guards against usage that is charged to the wrong customer while a new
    # configuration spreads.
    zone, first, second = await two_carriers()
    second.services.offer_configuration(with_customers(2, *NAMES[1:], 'new'))
    sent = record_sent(first.sharing._usage)
    await spend(zone, first, NAMES[2])
    assert sent
    assert second.services.limits._buckets.keys() == {NAMES[2]}


def test_indexes_of_an_unknown_list_are_not_read():
    indexes = customer_indexes.CustomerIndexes()
    indexes.update(dict.fromkeys(NAMES))
    index = indexes.index_of(NAMES[2])
    assert indexes.name_of(index, indexes.digest) == NAMES[2]
    for damaged in ('3', '-1', 'x', ''):
        assert indexes.name_of(damaged, indexes.digest) is None
    assert indexes.name_of(index, indexes.digest + 1) is None


def test_news_of_the_previous_version_can_be_read():
    previous = msgspec.msgpack.encode(('UsageNews', (('a', 1, 2),), True, 7))
    news = msgspec.msgpack.decode(previous, type=messages.UsageNews)
    assert (news.names_digest, news.is_indexed) == (0, False)


async def test_no_empty_reports_are_sent_beside_usage():
    # Guards against usage and an empty report to the same daemon, between zones.
    zone, first, second = await two_carriers()
    reports = record_sent(first.sharing._estimates)
    await zone.run(3.0)
    assert not reports
    assert not second.sharing._estimates.unreachable_zones.names()


async def test_a_lost_zone_is_noticed_by_its_missing_usage():
    # Guards against a zone whose loss nobody notices as reports are left out.
    zone, first, second = await two_carriers()
    for daemon in zone.daemons:
        if daemon.own.zone == second.own.zone:
            zone.stop(daemon)
    await zone.run(1.0)
    assert first.sharing._estimates.unreachable_zones.names() == {'far'}


async def test_after_a_handover_usage_shows_that_other_zones_live():
    # Guards against a new carrier that takes all other zones for unreachable:
    # these send usage in place of empty reports, to the former carrier only,
    # and reports only after an outcome such as the one failure here.
    zone, former, far = await two_carriers()
    former.carriers.hand_over()
    support.fail(far, 't1')
    for daemon in zone.daemons:
        if daemon.own.zone == former.own.zone:
            daemon.carriers.availability.record_handover(former.own.instance_id)
    for _ in range(12):
        await zone.run(0.25)
        current = zone.carrier()
        assert current is not former
        assert not current.sharing._estimates.unreachable_zones.names()
    for daemon in zone.daemons:
        if daemon.own.zone == 'far':
            zone.stop(daemon)
    await zone.run(1.25)
    assert current.sharing._estimates.unreachable_zones.names() == {'far'}


@pytest.mark.parametrize('is_indexed', [True, False])
async def test_waiting_ones_of_70_requests_are_reported_by_name_and_by_index(
    is_indexed,
):
    # Guards against requests of lower priority that take the tokens for which
    # urgent ones wait at a daemon that sends usage in the other form.
    zone, first, second = await two_carriers()
    if not is_indexed:
        first.sharing._usage._peer_digests[second.own.instance_id] = 0
        second.sharing._usage._send = lambda *arguments, **named: None
    sent = record_sent(first.sharing._usage)
    urgent = wait_queue.QueuedRequest(
        0, zone.clock.monotonic_s() + 60, accepts_any_target=True
    )
    waiting = [
        asyncio.ensure_future(
            first.services.customer_queues.admit(NAMES[1], urgent)
        )
        for _ in range(70)
    ]
    await zone.run(0.5)
    expected = '1' if is_indexed else NAMES[1]
    assert customers_of(sent) == {expected}
    queues = second.services.customer_queues
    assert queues.tokens_to_leave(NAMES[1], 1) > 10
    assert not any(queues.tokens_to_leave(name, 1) for name in NAMES[::2])
    for task in waiting:
        task.cancel()
