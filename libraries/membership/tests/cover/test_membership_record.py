"""The merge of records is a maximum, and estimates of starts are late."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import ids
from sardinepier.membership import capacity, kinds
from sardinepier.membership.internal import record
from sardinepier.wire import messages

_IDENTITY = record.Identity(
    ids.InstanceId('entry-1~00'),
    ids.ZoneName('zone-1'),
    ids.RegionName('region-1'),
    messages.PeerAddress('10.0.0.1', 7000),
    '10.0.0.1',
    8080,
    capacity.Capacity(430, 5_000),
)
_RECORDS = st.builds(
    record.Record,
    st.just(_IDENTITY),
    st.integers(0, 3),
    st.sampled_from(kinds.Liveness),
    st.booleans(),
    st.floats(0, 100, allow_nan=False),
)
_DELAYS = st.lists(st.floats(0, 5), min_size=1, max_size=5)


@given(_RECORDS, _RECORDS, _RECORDS)
def test_merge_ignores_order_grouping_and_repeats(one, two, three):
    assert record.merge(one, two) == record.merge(two, one)
    assert record.merge(record.merge(one, two), three) == record.merge(
        one, record.merge(two, three)
    )
    merged = record.merge(one, two)
    assert record.merge(merged, one) == merged == record.merge(two, merged)


@given(_RECORDS, _RECORDS)
def test_leaving_and_newer_incarnations_are_never_lost(one, two):
    merged = record.merge(one, two)
    assert merged.leaving == (one.leaving or two.leaving)
    assert merged.incarnation == max(one.incarnation, two.incarnation)
    if one.incarnation > two.incarnation:
        assert merged.liveness is one.liveness


@given(_DELAYS, st.floats(0, 1000), st.floats(0, 1e6))
def test_a_start_told_over_many_hops_is_never_too_early(
    delays_s, ran_s, started_at_s
):
    # One shared clock here, so that the truth is known at each hop.
    now_s = started_at_s + ran_s
    held = record.Record(
        _IDENTITY, 0, kinds.Liveness.ALIVE, False, started_at_s
    )
    for delay_s in delays_s:
        update = record.to_update(held, now_s)
        now_s += delay_s
        held = record.from_update(update, now_s)
    late_s = held.started_at_s - started_at_s
    assert -1e-6 <= late_s <= sum(delays_s) + 0.002 * len(delays_s)


def test_a_higher_incarnation_corrects_a_start_that_was_too_early():
    # The member's clock stood still for a while, and it then refuted.
    early = record.Record(_IDENTITY, 0, kinds.Liveness.SUSPECT, False, 10.0)
    corrected = dataclasses.replace(
        early, incarnation=1, liveness=kinds.Liveness.ALIVE, started_at_s=70.0
    )
    assert record.merge(early, corrected).started_at_s == 70.0


@given(st.integers(1, 2_000_000_000), st.integers(1, 2_000_000_000))
def test_what_an_instance_can_do_travels_with_it(processor, link):
    identity = dataclasses.replace(
        _IDENTITY,
        capacity=capacity.Capacity(processor, link),
    )
    held = record.Record(identity, 1, kinds.Liveness.ALIVE, False, 10.0)
    told = record.from_update(record.to_update(held, 20.0), 20.0)
    assert told.identity.capacity == identity.capacity
    assert record.to_member(told).capacity == identity.capacity
