"""Properties of the merge of records and of estimated start times."""

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
def test_merge_is_commutative_associative_and_idempotent(first, second, third):
    assert record.merge(first, second) == record.merge(second, first)
    assert record.merge(record.merge(first, second), third) == record.merge(
        first, record.merge(second, third)
    )
    merged = record.merge(first, second)
    assert record.merge(merged, first) == merged == record.merge(second, merged)


@given(_RECORDS, _RECORDS)
def test_leaving_and_newer_incarnations_are_never_lost(first, second):
    merged = record.merge(first, second)
    assert merged.leaving == (first.leaving or second.leaving)
    assert merged.incarnation == max(first.incarnation, second.incarnation)
    if first.incarnation > second.incarnation:
        assert merged.liveness is first.liveness


@given(_DELAYS, st.floats(0, 1000), st.floats(0, 1e6))
def test_a_start_estimate_over_many_hops_is_never_too_early(
    delays_s, ran_s, started_at_s
):
    # A clock shared by all hops, so that the true start time is known.
    now_s = started_at_s + ran_s
    known = record.Record(
        _IDENTITY, 0, kinds.Liveness.ALIVE, False, started_at_s
    )
    for delay_s in delays_s:
        update = record.to_update(known, now_s)
        now_s += delay_s
        known = record.from_update(update, now_s)
    late_s = known.started_at_s - started_at_s
    assert -1e-6 <= late_s <= sum(delays_s) + 0.002 * len(delays_s)


def test_a_higher_incarnation_corrects_a_start_that_was_too_early():
    # The member's clock stopped for a while, and the member then refuted.
    early = record.Record(_IDENTITY, 0, kinds.Liveness.SUSPECT, False, 10.0)
    corrected = dataclasses.replace(
        early, incarnation=1, liveness=kinds.Liveness.ALIVE, started_at_s=70.0
    )
    assert record.merge(early, corrected).started_at_s == 70.0


@given(st.integers(1, 2_000_000_000), st.integers(1, 2_000_000_000))
def test_updates_carry_the_capacity(processor, link):
    identity = dataclasses.replace(
        _IDENTITY,
        capacity=capacity.Capacity(processor, link),
    )
    known = record.Record(identity, 1, kinds.Liveness.ALIVE, False, 10.0)
    received = record.from_update(record.to_update(known, 20.0), 20.0)
    assert received.identity.capacity == identity.capacity
    assert record.to_member(received).capacity == identity.capacity
