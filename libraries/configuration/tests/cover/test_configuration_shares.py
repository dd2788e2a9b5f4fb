"""Tests that two watchers read each target, and that each reads few."""

import itertools
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.configuration.internal import watchers
from sardinepier.core import ids
from sardinepier.platform import interface, shares


def _share(serving, own, per_zone):
    view = types.SimpleNamespace(version=1, own=own, serving=lambda: serving)
    return watchers.Watchers(view, lambda: per_zone).share()


def _shares(sizes, per_zone):
    """Return the zone and the share of each watcher."""
    serving = tuple(
        types.SimpleNamespace(daemon_id=f'd{zone}-{number}', zone=zone)
        for zone, size in enumerate(sizes)
        for number in range(size)
    )
    zone_shares = [
        (own.zone, _share(serving, own, per_zone)) for own in serving
    ]
    return [zone_share for zone_share in zone_shares if zone_share[1]]


@given(
    st.lists(st.integers(min_value=1, max_value=4), min_size=1, max_size=9),
    st.integers(min_value=1, max_value=3),
)
def test_two_watchers_in_two_zones_read_each_part(sizes, per_zone):
    watching = _shares(sizes, per_zone)
    count = sum(min(size, per_zone) for size in sizes)
    assert len(watching) == count
    if count <= 2:
        assert {share for _, share in watching} == {shares.WHOLE}
        return
    largest = max(min(size, per_zone) for size in sizes)
    for number in range(count):
        zones = [zone for zone, share in watching if number in share.chosen]
        assert len(zones) == 2
        assert largest > count // 2 or zones[0] != zones[1]
    for _, share in watching:
        assert (share.parts, len(share.chosen)) == (count, 2)
        assert not share.has_daemons


def _listed(count, leaving=()):
    states = interface.ListedState
    return interface.InstanceList(
        targets=tuple(
            interface.ListedTarget(
                ids.ServiceName(f's{number}'),
                ids.TargetId('w'),
                ids.TargetIncarnation('1'),
                states.LEAVING if number in leaving else states.LIVE,
            )
            for number in range(count)
        ),
        daemons=(interface.ListedDaemon(ids.DaemonId('d'), '10.0.0.1', 1),),
    )


def _watching(fleet):
    return [
        daemon
        for daemon in fleet.daemons.values()
        if daemon.distributor.is_watcher
    ]


def test_watchers_report_their_share_and_its_changes_in_time(support):
    fleet = support.make(12)
    fleet.settle()
    fleet.platform.set_instances(_listed(60))
    fleet.run(15)
    watching = _watching(fleet)
    assert len(watching) == 6
    for watcher in watching:
        listed = watcher.instances[-1]
        covered = [
            target
            for target in _listed(60).targets
            if listed.share.covers(target.service)
        ]
        assert listed.targets == tuple(covered)
        assert listed.daemons == _listed(60).daemons
        assert listed.share.has_daemons
    for number in range(60):
        for receiver in fleet.daemons.values():
            receiver.instances.clear()
        leaving = _listed(60, {number})
        fleet.platform.set_instances(leaving)
        # Half of the 3 s after which a leaving target gets no new requests.
        fleet.run(1.55)
        notified = [
            daemon for daemon in fleet.daemons.values() if daemon.instances
        ]
        assert set(notified) <= set(watching)
        changed = leaving.targets[number]
        assert all(len(daemon.instances) == 1 for daemon in notified)
        readers = [
            daemon
            for daemon in notified
            if changed in daemon.instances[-1].targets
        ]
        assert len(readers) == 2
        assert readers[0].member.zone != readers[1].member.zone
    # When a watcher stops, other watchers read its share.
    leaving = _listed(60, set(range(60)))
    fleet.platform.set_instances(leaving)
    fleet.run(1.55)
    fleet.stop(int(watching[0].member.daemon_id.removeprefix('d')))
    fleet.run(3)
    assert len(_watching(fleet)) == 6
    for target in leaving.targets:
        readers = [
            daemon
            for daemon in _watching(fleet)
            if daemon.instances[-1].share.covers(target.service)
        ]
        assert len(readers) == 2


def test_zone_cut_off_from_the_platform_hides_no_target(support):
    fleet = support.make(12)
    fleet.settle()
    fleet.platform.set_instances(_listed(60))
    fleet.run(15)
    for daemon in fleet.daemons.values():
        daemon.platform_access.is_cut = daemon.member.zone == 'a'
    leaving = _listed(60, set(range(60)))
    fleet.platform.set_instances(leaving)
    fleet.run(1.55)
    known = set()
    for daemon in fleet.daemons.values():
        known.update(*(listed.targets for listed in daemon.instances[-1:]))
    assert known >= set(leaving.targets)


def _longest_pause_s(watching, call):
    return max(
        later - earlier
        for daemon in watching
        for earlier, later in itertools.pairwise(
            daemon.platform_access.called_s[call]
        )
    )


@pytest.mark.parametrize(('reads_per_s', 'limit_s'), [(5.0, 8), (1000.0, 2)])
def test_many_changes_at_once_delay_no_platform_call(
    support, reads_per_s, limit_s
):
    fleet = support.make(12, reads_per_s=reads_per_s)
    fleet.settle()
    fleet.run(20)
    names = [ids.FileName(f'service/s{number}') for number in range(110)]
    revisions = list(map(fleet.publish, names))
    fleet.run_until(lambda: all(map(fleet.all_have, names, revisions)), limit_s)
    fleet.run(60)
    watching = _watching(fleet)
    assert _longest_pause_s(watching, 'list_instances') < 2.5
    assert _longest_pause_s(watching, 'watch_files') < 22
    assert not any(daemon.events_of('PlatformFailed') for daemon in watching)
