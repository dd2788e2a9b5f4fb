"""The timeline orders causes before effects and is bounded."""

import random
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st
from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.telemetry import (
    daemon_events,
    errors,
    events,
    stamps,
    timeline,
)

DAEMONS = 3
INSTANCES = tuple(ids.InstanceId(f'd{index}~0a') for index in range(DAEMONS))
START_S = 1_700_000_000.0
EVENT = daemon_events.WakeGapSeen(gap_ms=900, bound_ms=500)

daemon_indexes = st.integers(0, DAEMONS - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just('send'), daemon_indexes, daemon_indexes),
        st.tuples(st.just('receive'), daemon_indexes, st.integers(0, 9)),
        # Sets a wall clock forward or back by up to five seconds.
        st.tuples(st.just('jump'), daemon_indexes, st.integers(-5000, 5000)),
    ),
    max_size=60,
)


def new_timeline(clock, index=0, capacity=1000):
    return timeline.Timeline(INSTANCES[index], clock, capacity)


@hypothesis.given(steps, st.lists(st.integers(-20_000, 20_000), min_size=3))
def test_sending_precedes_receiving_whatever_the_wall_clocks(steps, skews_ms):
    wall_clocks = [
        clocks.ManualClock(START_S + skew / 1000) for skew in skews_ms
    ]
    rings = [
        new_timeline(wall_clocks[index], index) for index in range(DAEMONS)
    ]
    in_transit = {index: [] for index in range(DAEMONS)}
    for kind, index, detail in steps:
        ring = rings[index]
        if kind == 'jump':
            wall_clocks[index].advance(detail / 1000)
        elif kind == 'send':
            cause = ring.record(EVENT)
            in_transit[detail].append((cause, ring.stamp()))
        elif detail < len(in_transit[index]):
            cause, stamp = in_transit[index].pop(detail)
            ring.observe(stamp)
            effect = ring.record(EVENT)
            if not ring.refused_stamps:
                assert cause.stamp < stamp < effect.stamp
                order = timeline.merge(
                    *(recorder.since() for recorder in rings)
                )
                assert order.index(cause) < order.index(effect)
    for ring in rings:
        recorded = [entry.stamp for entry in ring.since()]
        assert recorded == sorted(set(recorded))


@hypothesis.given(
    st.lists(st.tuples(daemon_indexes, st.integers(0, 40)), max_size=40),
    st.integers(0, 1000),
)
def test_a_merge_depends_only_on_the_set_of_entries(recorded, seed):
    clock = clocks.ManualClock(START_S)
    rings = [new_timeline(clock, index) for index in range(DAEMONS)]
    for index, ahead_ms in recorded:
        rings[index].observe(stamps.Stamp(int(START_S * 1000) + ahead_ms, 0))
        rings[index].record(EVENT)
    parts = [ring.since() for ring in rings]
    expected = timeline.merge(*parts)
    all_entries = [entry for part in parts + parts for entry in part]
    random.Random(seed).shuffle(all_entries)

    assert len(expected) == len(recorded)
    assert timeline.merge(all_entries) == expected
    assert timeline.merge(parts[0], timeline.merge(*parts[1:])) == expected


@hypothesis.given(st.integers(1, 20), st.integers(0, 60))
def test_the_ring_keeps_the_newest_and_counts_the_dropped(capacity, recorded):
    ring = new_timeline(clocks.ManualClock(START_S), capacity=capacity)
    entries = [ring.record(EVENT) for _ in range(recorded)]

    assert ring.since() == tuple(entries[-capacity:])
    assert ring.dropped == max(0, recorded - capacity)
    if entries:
        assert not ring.since(entries[-1].stamp)
        assert ring.since(entries[0].stamp) == tuple(
            entries[max(1, recorded - capacity) :]
        )


def test_stamps_increase_after_the_wall_clock_went_back():
    manual = clocks.ManualClock(START_S)
    ring = new_timeline(manual)
    before = ring.record(EVENT)
    manual.advance(-3600)
    after = ring.record(EVENT)

    assert before.stamp < after.stamp
    assert after.stamp.wall_ms == before.stamp.wall_ms


@pytest.mark.parametrize(
    ('ahead_ms', 'adopted'),
    [(-1, True), (0, True), (60_000, True), (60_001, False), (10**12, False)],
)
def test_a_stamp_too_far_ahead_is_counted_and_not_adopted(ahead_ms, adopted):
    manual = clocks.ManualClock(START_S)
    ring = new_timeline(manual)
    now_ms = manual.wall_ms()
    received = stamps.Stamp(now_ms + ahead_ms, 7)

    assert ring.observe(received) is adopted
    assert ring.refused_stamps == int(not adopted)
    assert (ring.record(EVENT).stamp > received) is adopted
    assert ring.stamp().wall_ms <= now_ms + 60_000


def event_of(kind):
    hints = typing.get_type_hints(kind)
    fields = {
        name: st.from_type(hints[name]) for name in kind.__struct_fields__
    }
    return st.fixed_dictionaries(fields).map(lambda drawn: kind(**drawn))


@pytest.mark.parametrize('kind', typing.get_args(events.Event))
@hypothesis.given(st.data())
@hypothesis.settings(max_examples=25)
def test_every_kind_of_event_is_decoded_from_its_json_form(kind, data):
    ring = new_timeline(clocks.ManualClock(START_S))
    ring.record(data.draw(event_of(kind)))
    text = timeline.encode(ring.document())

    assert timeline.decode(text).entries[0].event.__class__ is kind
    assert f'"kind":"{kind.__name__}"'.encode() in text
    assert timeline.encode(timeline.decode(text)) == text


def test_an_unknown_kind_of_event_hides_no_other_entry():
    ring = new_timeline(clocks.ManualClock(START_S))
    ring.record(EVENT)
    ring.record(EVENT)
    text = timeline.encode(ring.document())
    newer = text.replace(b'"WakeGapSeen"', b'"Newer","what":{}', 1)
    decoded = [entry.event for entry in timeline.decode(newer).entries]

    assert decoded[1] == EVENT
    assert '"Newer"' in decoded[0].text
    with pytest.raises(msgspec.DecodeError):
        timeline.decode(text.replace(b'"stamp"', b'"moment"'))


@hypothesis.given(st.integers(0, 10**15), st.integers(0, 10**15))
def test_a_stamp_is_parsed_from_its_text_form(wall_ms, logical):
    stamp = stamps.Stamp(wall_ms, logical)
    assert stamps.parse_stamp(stamps.format_stamp(stamp)) == stamp


@pytest.mark.parametrize('text', ['', '1', '1.', '-1.0', '1.0.0', '1e3.0', 'a'])
def test_an_invalid_stamp_raises_a_typed_error(text):
    with pytest.raises(errors.BadStampError, match='Write <milliseconds>'):
        stamps.parse_stamp(text)


def test_a_capacity_below_one_is_rejected():
    with pytest.raises(core_errors.InvalidArgumentError, match='at least 1'):
        new_timeline(clocks.ManualClock(START_S), capacity=0)
