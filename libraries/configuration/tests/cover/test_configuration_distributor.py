"""Tests that changes reach all daemons, and older files none, under faults."""

import copy

import pytest

from sardinepier.configuration import messages
from sardinepier.core import ids
from sardinepier.wire import memory_network

_FAULTS = ('down', 'failing', 'hanging', 'garbage', 'wrong_types', 'truncated')
_LIMIT_S = 8


def _no_revision_was_lowered(fleet):
    return not any(
        daemon.lowered_revisions for daemon in fleet.daemons.values()
    )


@pytest.mark.parametrize('count', [1, 2, 12])
def test_all_daemons_apply_a_change_from_the_platform(support, count):
    fleet = support.make(count)
    fleet.settle()
    for _ in range(5):
        revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, revision), _LIMIT_S)
    deleted = fleet.platform.delete(support.service)
    fleet.run_until(lambda: fleet.all_have(support.service, deleted), _LIMIT_S)
    assert len(fleet.marks()) == 1
    assert _no_revision_was_lowered(fleet)


def test_platform_calls_do_not_grow_with_the_number_of_daemons(support):
    calls_by_count = {}
    for count in (12, 24, 48):
        fleet = support.make(count)
        fleet.settle()
        fleet.run(60)
        before = copy.copy(fleet.platform.counts)
        for _ in range(10):
            revision = fleet.publish()
            fleet.run(6)
        assert fleet.all_have(support.service, revision)
        after = fleet.platform.counts
        calls_by_count[count] = {
            kind: getattr(after, kind) - getattr(before, kind)
            for kind in ('lists', 'watches', 'files', 'instances')
        }
    # There are three zones with two watchers each. The other daemons make
    # about one list call a second in total, whatever their number.
    for calls in calls_by_count.values():
        assert calls['watches'] <= 6 * 14
        assert calls['files'] <= 10 * 3
        assert calls['instances'] <= 6 * 75
        assert calls['lists'] <= 90


@pytest.mark.parametrize('mode', _FAULTS)
def test_fleet_survives_a_failing_platform(support, mode):
    fleet = support.make(6)
    fleet.settle()
    fleet.set_mode(mode)
    before = fleet.platform.counts.total
    unread = fleet.publish()
    fleet.run(60)
    # The call rate is no higher than with a working platform.
    assert fleet.platform.counts.total - before < 8 * 60
    fleet.start(0, 3)
    fleet.run(5)
    assert fleet.all_have(support.service, unread - 1)
    failures = [
        daemon.events_of('PlatformFailed') for daemon in fleet.daemons.values()
    ]
    assert any(failures)
    assert max(len(events) for events in failures) <= 3
    fleet.set_mode('up')
    fleet.run_until(lambda: fleet.all_have(support.service, unread), _LIMIT_S)
    fleet.run(5)
    watchers = [
        daemon
        for number, daemon in fleet.daemons.items()
        if daemon.distributor.is_watcher and number not in {0, 3}
    ]
    assert all(daemon.events_of('PlatformRecovered') for daemon in watchers)
    assert _no_revision_was_lowered(fleet)


def test_stale_platform_lowers_no_revision_even_at_a_restart(support):
    fleet = support.make(6)
    fleet.settle()
    newest = fleet.publish()
    fleet.run(5)
    fleet.platform.set_mode(fleet.platform.mode.STALE, changes_back=1)
    for number in range(6):
        fleet.start(number)
        fleet.run(5)
        assert (
            fleet.daemons[number].applied_revisions[support.service] == newest
        )
    assert fleet.all_have(support.service, newest)
    assert _no_revision_was_lowered(fleet)


def test_audits_find_a_change_when_all_watchers_are_cut_off(support):
    fleet = support.make(12)
    fleet.settle()
    fleet.run(5)
    for daemon in fleet.daemons.values():
        daemon.platform_access.is_cut = daemon.distributor.is_watcher
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, revision), 60)


def test_daemon_cut_off_from_its_peers_reads_from_the_platform(support):
    fleet = support.make(12)
    fleet.settle()
    isolated = next(
        daemon
        for daemon in fleet.daemons.values()
        if not daemon.distributor.is_watcher
    )
    for peer in fleet.members:
        fleet.hub.cut(peer.peer_address, isolated.member.peer_address)
    fleet.run(30)
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, revision), 60)


def test_invalid_file_between_two_valid_ones_blocks_nothing(support):
    fleet = support.make(6)
    fleet.settle()
    fleet.publish()
    bad = fleet.platform.publish(support.service, '[service]\nnme = x\n')
    fleet.run_until(lambda: bad in _newest(fleet), 5)
    # A restarted daemon gets the last valid version.
    fleet.start(2)
    fleet.run(5)
    assert fleet.all_have(support.service, bad - 2)
    assert len(fleet.marks()) == 1
    assert all(daemon.store.problems() for daemon in fleet.daemons.values())
    good = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, good), _LIMIT_S)
    assert not any(daemon.store.problems() for daemon in fleet.daemons.values())


def test_daemon_that_saw_only_the_invalid_file_gets_the_valid_one(support):
    fleet = support.make(4)
    fleet.settle()
    bad = fleet.platform.publish(support.service, '[service]\nnme = x\n')
    fleet.run(5)
    fleet.hub.faults = memory_network.LinkFaults(loss=1.0)
    fleet.start(0)
    fleet.run(30)
    assert fleet.daemons[0].in_force()[support.service] == 0
    fleet.hub.faults = memory_network.LinkFaults()
    fleet.run_until(lambda: fleet.all_have(support.service, bad - 1), _LIMIT_S)


def test_change_spreads_without_heartbeats(support):
    fleet = support.make(24)
    fleet.settle()
    fleet.has_heartbeats = False
    revision = fleet.publish()
    fleet.run(1)
    updated = [
        daemon
        for daemon in fleet.daemons.values()
        if daemon.in_force()[support.service] == revision
    ]
    assert len(updated) >= 22


def _newest(fleet):
    return {
        daemon.store.mark().newest_revision for daemon in fleet.daemons.values()
    }


def test_garbled_file_is_read_again_and_applied(support):
    fleet = support.make(6)
    fleet.settle()
    fleet.set_mode('garbled')
    revision = fleet.publish()
    fleet.run(5)
    assert fleet.all_have(support.service, revision - 1)
    before = fleet.platform.counts.files
    fleet.run(300)
    # Six watchers read it again, at intervals that grow with their rank.
    assert fleet.platform.counts.files - before < 20
    fleet.set_mode('up')
    fleet.run_until(lambda: fleet.all_have(support.service, revision), 150)
    assert _no_revision_was_lowered(fleet)


@pytest.mark.parametrize('parse_s', [0.006, 0.1])
def test_starting_daemon_fetches_all_files_from_its_peers(support, parse_s):
    fleet = support.make(3)
    fleet.publish(support.fleet)
    for number in range(60):
        last = fleet.publish(ids.FileName(f'service/s{number}'))
    fleet.run_until(
        lambda: len(fleet.marks()) == 1 and last in _newest(fleet), 60
    )
    before = fleet.platform.counts.files
    fleet.loop.parse_s = parse_s
    fleet.start(7)
    fleet.run(3 + 61 * parse_s)
    assert len(fleet.daemons[7].store.current.services) == 60
    assert fleet.platform.counts.files == before
    assert fleet.daemons[7].sent['FileRequest'] == 61
    assert fleet.daemons[7].sent['RevisionTableRequest'] <= 12


def test_change_announced_by_many_peers_is_fetched_once(support):
    fleet = support.make(12)
    fleet.settle()
    fleet.hub.faults = memory_network.LinkFaults(duplicate=0.5, reorder_s=0.05)
    for daemon in fleet.daemons.values():
        daemon.sent.clear()
    for _ in range(10):
        revision = fleet.publish()
        fleet.run(3)
    assert fleet.all_have(support.service, revision)
    for daemon in fleet.daemons.values():
        assert daemon.sent['FileRequest'] <= 12
        # Each change is announced to four peers, and to peers that report an
        # older mark after it: the four that send heartbeats to this daemon.
        assert daemon.sent['ConfigurationNews'] <= 10 * (4 + 4)


def test_flood_of_files_is_dropped_and_delays_no_change(support):
    fleet = support.make(3)
    fleet.settle()
    fleet.loop.parse_s = 0.05
    flooded = fleet.members[0].peer_address
    for number in range(400):
        name = ids.FileName(f'service/s{number}')
        answer = messages.FileAnswer(name, ids.Revision(1), '<rubbish>')
        fleet.daemons[1].network.send(flooded, answer)
        fleet.run(0.01 * (number % 10 == 0))
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, revision), _LIMIT_S)
    fleet.run(10)
    # Most of the files were dropped without being parsed.
    assert len(fleet.daemons[0].store.known()) < 40


def test_peer_without_an_answer_is_replaced_by_another(support):
    fleet = support.make(12)
    fleet.settle()
    fleet.hub.faults = memory_network.LinkFaults(loss=0.5)
    revision = fleet.publish()
    fleet.run_until(lambda: fleet.all_have(support.service, revision), 30)


def test_confirmation_needs_an_answer_to_a_later_request(support):
    fleet = support.make(3)
    fleet.settle()
    fleet.run(5)
    resumed = fleet.daemons[0]
    moment_s = fleet.loop.time()
    confirm = resumed.distributor.confirm_since
    fleet.hub.cut(fleet.members[1].peer_address, resumed.member.peer_address)
    fleet.hub.cut(fleet.members[2].peer_address, resumed.member.peer_address)
    # A heartbeat that was sent before the pause ended proves nothing.
    fleet.run(0.5)
    old_mark = fleet.daemons[1].store.mark()
    resumed.distributor.receive_mark(fleet.daemons[1].network.sender, old_mark)
    assert not confirm(moment_s)
    fleet.run(2)
    assert not confirm(moment_s)
    fleet.hub.heal_all()
    fleet.run_until(lambda: confirm(moment_s), 3)


def test_resumed_daemon_confirms_only_after_it_has_the_missed_files(support):
    fleet = support.make(3)
    fleet.settle()
    resumed = fleet.daemons[0]
    for peer in fleet.members[1:]:
        fleet.hub.cut(peer.peer_address, resumed.member.peer_address)
    resumed.platform_access.is_cut = True
    revision = fleet.publish()
    fleet.run(10)
    moment_s = fleet.loop.time()
    fleet.hub.heal_all()
    fleet.run_until(lambda: resumed.distributor.confirm_since(moment_s), 5)
    assert resumed.in_force()[support.service] == revision


@pytest.mark.parametrize('mode', ['up', 'down'])
def test_daemon_without_peers_confirms_with_the_platform_alone(support, mode):
    fleet = support.make(1)
    fleet.settle()
    fleet.set_mode(mode)
    moment_s = fleet.loop.time()
    confirm = fleet.daemons[0].distributor.confirm_since
    fleet.run_until(lambda: confirm(moment_s), 5)


def test_idle_daemons_set_few_timers(support):
    fleet = support.make(12)
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
