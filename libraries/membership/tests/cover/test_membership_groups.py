"""Incrementally updated groups equal groups computed from scratch."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import ids, rendezvous
from sardinepier.membership import groups, members
from sardinepier.wire import messages

_SERVICES = [ids.ServiceName(f'service-{index}') for index in range(3)]


def _member(index):
    address = messages.PeerAddress(f'10.0.0.{index}', 7000)
    return members.Member(
        instance_id=ids.InstanceId(f'entry-{index}~{index:016x}'),
        daemon_id=ids.DaemonId(f'entry-{index}'),
        zone=ids.ZoneName(f'zone-{index % 3}'),
        region=ids.RegionName('region-1'),
        peer_address=address,
        http_ip=address.ip,
        http_port=8080,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=0.0,
    )


@dataclasses.dataclass(eq=False)
class _View:
    shown: tuple[members.Member, ...] = ()
    version: int = 0

    def serving(self):
        return self.shown

    def show(self, indexes):
        self.shown = tuple(_member(index) for index in sorted(indexes))
        self.version += 1


def _recompute_group(view, service, per_zone):
    group = []
    for zone in sorted({member.zone for member in view.shown}):
        named = {
            member.daemon_id: member
            for member in view.shown
            if member.zone == zone
        }
        best = rendezvous.top_candidates(service, named, per_zone)
        group.extend(named[daemon_id] for daemon_id in best)
    return tuple(group)


@given(
    st.lists(
        st.tuples(
            st.sets(st.integers(0, 30)),
            st.sets(st.sampled_from(_SERVICES)),
        ),
        min_size=1,
        max_size=12,
    ),
    st.integers(1, 3),
)
def test_cached_groups_equal_recomputed_groups(steps, per_zone):
    view = _View()
    for shown, services in steps:
        view.show(shown)
        for service in services:
            expected = _recompute_group(view, service, per_zone)
            assert groups.service_group(view, service, per_zone) == expected


def test_a_removed_member_changes_only_its_own_place():
    view = _View()
    view.show(range(30))
    before = groups.service_group(view, _SERVICES[0], 2)
    view.show(set(range(30)) - {int(before[0].http_ip.rpartition('.')[2])})
    after = groups.service_group(view, _SERVICES[0], 2)
    assert set(before) - set(after) == {before[0]}
    assert len(after) == 6


def test_watchers_are_in_the_zone_and_as_many_as_requested():
    view = _View()
    view.show(range(30))
    for zone in ('zone-0', 'zone-1', 'zone-2'):
        chosen = groups.watchers(view, ids.ZoneName(zone), 2)
        assert {member.zone for member in chosen} == {zone}
        assert len(chosen) == 2
    assert not groups.watchers(view, ids.ZoneName('elsewhere'), 2)
