"""Every member has enough monitors, and a change affects few of them."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import ids, rendezvous
from sardinepier.membership.internal import rings, table

_RINGS = 4


def _entries(size):
    entries = []
    for index in range(size):
        name = ids.InstanceId(f'entry-{index}~{index:016x}')
        points = tuple(
            rendezvous.score(f'ring-{ring}', name) for ring in range(_RINGS)
        )
        member_record = type('RecordStub', (), {'instance_id': name})
        entries.append(table.Entry(member_record, 0, points))
    return entries


def _edges(entries):
    return {
        (own.record.instance_id, chosen)
        for own in entries
        for chosen in rings.monitored(own, entries)
    }


@pytest.mark.parametrize('size', [1, 2, 3, 5, 48, 300])
def test_members_have_about_as_many_monitors_as_monitored_peers(size):
    edges = _edges(_entries(size))
    expected = min(_RINGS, size - 1)
    assert len(edges) == size * expected
    monitors = collections.Counter(monitored for _, monitored in edges)
    if size > 1:
        assert len(monitors) == size
        # Fewer only if a member has the same predecessor on two rings.
        assert min(monitors.values()) >= min(expected, 2)
        assert max(monitors.values()) <= _RINGS + 2


@given(st.integers(0, 47))
def test_a_death_changes_few_edges_per_ring(index):
    entries = _entries(48)
    dead = entries[index].record.instance_id
    before = {edge for edge in _edges(entries) if dead not in edge}
    entries.pop(index)
    assert len(_edges(entries) - before) <= 2 * _RINGS
