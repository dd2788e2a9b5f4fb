"""A change reaches every daemon, and an older file none, under faults."""

import copy

import pytest

from sardinepier.configuration import messages
from sardinepier.core import ids
from sardinepier.wire import memory_network

_FAULTS = ('down', 'failing', 'hanging', 'garbage', 'wrong_types', 'truncated')
_LIMIT_S = 8


def _no_one_went_back(fleet):
    return not any(daemon.lowered for daemon in fleet.daemons.values())


@pytest.mark.parametrize('count', [1, 2, 12])
def test_all_daemons_take_a_change_from_the_platform(world, count):
    fleet = world.make(count)
    fleet.settle()
    for _ in range(5):
        revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, revision), _LIMIT_S)
    deleted = fleet.platform.delete(world.service)
    fleet.run_until(lambda: fleet.all_have(world.service, deleted), _LIMIT_S)
    assert len(fleet.marks()) == 1
    assert _no_one_went_back(fleet)


def test_platform_calls_do_not_grow_with_the_number_of_daemons(world):
    spent = {}
    for count in (12, 24, 48):
        fleet = world.make(count)
        fleet.settle()
        fleet.run(60)
        before = copy.copy(fleet.platform.counts)
        for _ in range(10):
            revision = fleet.publish()
            fleet.run(6)
        assert fleet.all_have(world.service, revision)
        after = fleet.platform.counts
        spent[count] = {
            kind: getattr(after, kind) - getattr(before, kind)
            for kind in ('lists', 'watches', 'files', 'instances')
        }
    # Three zones with two watchers each; all others list once a minute
    # between them for each second of it, whatever their number.
    for calls in spent.values():
        assert calls['watches'] <= 6 * 14
        assert calls['files'] <= 10 * 3
        assert calls['instances'] <= 6 * 75
        assert calls['lists'] <= 90


@pytest.mark.parametrize('mode', _FAULTS)
def test_fleet_outlives_a_platform_that_fails(world, mode):
    fleet = world.make(6)
    fleet.settle()
    fleet.set_mode(mode)
    before = fleet.platform.counts.total
    lost = fleet.publish()
    fleet.run(60)
    # The fleet asks no more often than it asks a platform that works.
    assert fleet.platform.counts.total - before < 8 * 60
    fleet.start(0, 3)
    fleet.run(5)
    assert fleet.all_have(world.service, lost - 1)
    failed = [one.happened('PlatformFailed') for one in fleet.daemons.values()]
    assert any(failed)
    assert max(len(events) for events in failed) <= 3
    fleet.set_mode('up')
    fleet.run_until(lambda: fleet.all_have(world.service, lost), _LIMIT_S)
    fleet.run(5)
    watchers = [
        daemon
        for number, daemon in fleet.daemons.items()
        if daemon.distributor.is_watcher and number not in {0, 3}
    ]
    assert all(daemon.happened('PlatformRecovered') for daemon in watchers)
    assert _no_one_went_back(fleet)


def test_stale_platform_lowers_nothing_even_at_a_restart(world):
    fleet = world.make(6)
    fleet.settle()
    newest = fleet.publish()
    fleet.run(5)
    fleet.platform.set_mode(fleet.platform.mode.STALE, changes_back=1)
    for number in range(6):
        fleet.start(number)
        fleet.run(5)
        assert fleet.daemons[number].shown[world.service] == newest
    assert fleet.all_have(world.service, newest)
    assert _no_one_went_back(fleet)


def test_audits_find_a_change_when_all_watchers_are_cut_off(world):
    fleet = world.make(12)
    fleet.settle()
    fleet.run(5)
    for daemon in fleet.daemons.values():
        daemon.sight.is_cut = daemon.distributor.is_watcher
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, revision), 60)


def test_daemon_cut_off_from_its_peers_asks_the_platform(world):
    fleet = world.make(12)
    fleet.settle()
    lone = next(
        daemon
        for daemon in fleet.daemons.values()
        if not daemon.distributor.is_watcher
    )
    for peer in fleet.members:
        fleet.hub.cut(peer.peer_address, lone.member.peer_address)
    fleet.run(30)
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, revision), 60)


def test_invalid_file_between_two_valid_ones_blocks_nothing(world):
    fleet = world.make(6)
    fleet.settle()
    fleet.publish()
    bad = fleet.platform.publish(world.service, '[service]\nnme = x\n')
    fleet.run_until(lambda: bad in _newest(fleet), 5)
    # The last valid version reaches a daemon that starts now.
    fleet.start(2)
    fleet.run(5)
    assert fleet.all_have(world.service, bad - 2)
    assert len(fleet.marks()) == 1
    assert all(daemon.store.problems() for daemon in fleet.daemons.values())
    good = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, good), _LIMIT_S)
    assert not any(one.store.problems() for one in fleet.daemons.values())


def test_daemon_that_saw_only_the_invalid_file_gets_the_valid_one(world):
    fleet = world.make(4)
    fleet.settle()
    bad = fleet.platform.publish(world.service, '[service]\nnme = x\n')
    fleet.run(5)
    fleet.hub.faults = memory_network.LinkFaults(loss=1.0)
    fleet.start(0)
    fleet.run(30)
    assert fleet.daemons[0].in_force()[world.service] == 0
    fleet.hub.faults = memory_network.LinkFaults()
    fleet.run_until(lambda: fleet.all_have(world.service, bad - 1), _LIMIT_S)


def test_news_spreads_without_waiting_for_heartbeats(world):
    fleet = world.make(24)
    fleet.settle()
    fleet.has_heartbeats = False
    revision = fleet.publish()
    fleet.run(1)
    told = [
        daemon
        for daemon in fleet.daemons.values()
        if daemon.in_force()[world.service] == revision
    ]
    assert len(told) >= 22


def _newest(fleet):
    return {one.store.mark().newest_revision for one in fleet.daemons.values()}


def test_garbled_file_is_read_again_and_taken(world):
    fleet = world.make(6)
    fleet.settle()
    fleet.set_mode('garbled')
    revision = fleet.publish()
    fleet.run(5)
    assert fleet.all_have(world.service, revision - 1)
    before = fleet.platform.counts.files
    fleet.run(300)
    # Six watchers read it again, each rarer than the one before.
    assert fleet.platform.counts.files - before < 20
    fleet.set_mode('up')
    fleet.run_until(lambda: fleet.all_have(world.service, revision), 150)
    assert _no_one_went_back(fleet)


@pytest.mark.parametrize('reading_s', [0.006, 0.1])
def test_starting_daemon_takes_all_files_from_its_peers(world, reading_s):
    fleet = world.make(3)
    fleet.publish(world.fleet)
    for number in range(60):
        last = fleet.publish(ids.FileName(f'service/s{number}'))
    fleet.run_until(
        lambda: len(fleet.marks()) == 1 and last in _newest(fleet), 60
    )
    before = fleet.platform.counts.files
    fleet.loop.reading_s = reading_s
    fleet.start(7)
    fleet.run(3 + 61 * reading_s)
    assert len(fleet.daemons[7].store.current.services) == 60
    assert fleet.platform.counts.files == before
    assert fleet.daemons[7].sent['FileRequest'] == 61
    assert fleet.daemons[7].sent['RevisionTableRequest'] <= 12


def test_same_news_from_many_peers_is_fetched_once(world):
    fleet = world.make(12)
    fleet.settle()
    fleet.hub.faults = memory_network.LinkFaults(duplicate=0.5, reorder_s=0.05)
    for daemon in fleet.daemons.values():
        daemon.sent.clear()
    for _ in range(10):
        revision = fleet.publish()
        fleet.run(3)
    assert fleet.all_have(world.service, revision)
    for daemon in fleet.daemons.values():
        assert daemon.sent['FileRequest'] <= 12
        # Four are told of each change, and whoever shows an older mark after
        # it: the four that send heartbeats here.
        assert daemon.sent['ConfigurationNews'] <= 10 * (4 + 4)


def test_flood_of_files_is_dropped_and_delays_no_change(world):
    fleet = world.make(3)
    fleet.settle()
    fleet.loop.reading_s = 0.05
    flooded = fleet.members[0].peer_address
    for number in range(400):
        name = ids.FileName(f'service/s{number}')
        answer = messages.FileAnswer(name, ids.Revision(1), '<rubbish>')
        fleet.daemons[1].network.send(flooded, answer)
        fleet.run(0.01 * (number % 10 == 0))
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, revision), _LIMIT_S)
    fleet.run(10)
    # Most of them were dropped unread.
    assert len(fleet.daemons[0].store.known()) < 40


def test_peer_that_falls_silent_is_replaced_by_another(world):
    fleet = world.make(12)
    fleet.settle()
    fleet.hub.faults = memory_network.LinkFaults(loss=0.5)
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(world.service, revision), 30)


def test_confirmation_needs_an_answer_to_a_later_question(world):
    fleet = world.make(3)
    fleet.settle()
    fleet.run(5)
    woken = fleet.daemons[0]
    moment_s = fleet.loop.time()
    confirm = woken.distributor.confirm_since
    fleet.hub.cut(fleet.members[1].peer_address, woken.member.peer_address)
    fleet.hub.cut(fleet.members[2].peer_address, woken.member.peer_address)
    # What was sent before the pause ended arrives now, and proves nothing.
    fleet.run(0.5)
    beat = fleet.daemons[1].store.mark()
    woken.distributor.receive_mark(fleet.daemons[1].network.sender, beat)
    assert not confirm(moment_s)
    fleet.run(2)
    assert not confirm(moment_s)
    fleet.hub.heal_all()
    fleet.run_until(lambda: confirm(moment_s), 3)


def test_woken_daemon_confirms_only_after_it_has_what_it_missed(world):
    fleet = world.make(3)
    fleet.settle()
    woken = fleet.daemons[0]
    for peer in fleet.members[1:]:
        fleet.hub.cut(peer.peer_address, woken.member.peer_address)
    woken.sight.is_cut = True
    revision = fleet.publish()
    fleet.run(10)
    moment_s = fleet.loop.time()
    fleet.hub.heal_all()
    fleet.run_until(lambda: woken.distributor.confirm_since(moment_s), 5)
    assert woken.in_force()[world.service] == revision


@pytest.mark.parametrize('mode', ['up', 'down'])
def test_daemon_without_peers_confirms_with_the_platform_alone(world, mode):
    fleet = world.make(1)
    fleet.settle()
    fleet.set_mode(mode)
    moment_s = fleet.loop.time()
    confirm = fleet.daemons[0].distributor.confirm_since
    fleet.run_until(lambda: confirm(moment_s), 5)


def test_idle_daemons_set_few_timers(world):
    fleet = world.make(12)
    fleet.settle()
    fleet.run(10)
    fleet.loop.timers.clear()
    fleet.run(60)
    assert fleet.loop.timers['PeerExchange.expire'] == 0
    own = {
        name: count
        for name, count in fleet.loop.timers.items()
        if name.split('.')[0] in {'InstancePoller', 'PlatformReader'}
    }
    assert sum(own.values()) < 12 * 60 * 2.5
