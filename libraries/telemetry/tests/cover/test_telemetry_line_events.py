"""Typed lines, and the bound on how many are written."""

import io

import msgspec
from hypothesis import given, strategies
from sardinepier.core import clock as clocks
from sardinepier.telemetry import line_budget, line_events, logs


class CatFoundNothing(line_events.LineEvent, frozen=True):
    """For this test."""

    looked_for_s: float
    rooms: list[str]


def test_a_line_has_the_name_and_fields_of_its_class():
    out = io.StringIO()
    logs.configure('info', 'a~1', stream=out)
    logs.write(CatFoundNothing(looked_for_s=1.5, rooms=['hall']))
    line = msgspec.json.decode(out.getvalue())
    assert line['event'] == 'cat-found-nothing'
    assert line['fields'] == {'looked_for_s': 1.5, 'rooms': ['hall']}
    assert line['instance_id'] == 'a~1'


def test_all_kinds_are_known_by_name():
    names = [line_events.name_of(kind) for kind in line_events.all_kinds()]
    assert 'cat-found-nothing' in names
    assert names == sorted(names)


def test_what_is_dropped_is_counted_once():
    clock = clocks.ManualClock(0.0)
    budget = line_budget.LineBudget(clock, per_s=1, burst=2)
    assert [budget.allows() for _ in range(5)] == [
        True,
        True,
        False,
        False,
        False,
    ]
    assert budget.pop_dropped_count() == 3
    assert budget.pop_dropped_count() == 0
    clock.advance(1.0)
    assert budget.allows()


@given(
    gaps_s=strategies.lists(strategies.floats(0, 2), max_size=200),
    per_s=strategies.floats(0.1, 100),
    burst=strategies.integers(1, 50),
)
def test_no_more_lines_than_allowed_in_any_time(gaps_s, per_s, burst):
    clock = clocks.ManualClock(0.0)
    budget = line_budget.LineBudget(clock, per_s, burst)
    written = 0
    for gap_s in gaps_s:
        clock.advance(gap_s)
        written += budget.allows()
    assert written <= burst + per_s * clock.monotonic_s() + 1e-6
    assert written + budget.pop_dropped_count() == len(gaps_s)
