"""Typed log lines and the limit on their rate."""

import io

import msgspec
from hypothesis import given, strategies
from sardinepier.core import clock as clocks
from sardinepier.telemetry import line_budget, line_events, logs


class BackupStarted(line_events.LineEvent, frozen=True):
    """An example of a typed log line."""

    delay_s: float
    files: list[str]


def test_a_line_has_the_name_and_fields_of_its_class():
    stream = io.StringIO()
    logs.configure('info', 'a~1', stream=stream)
    logs.write(BackupStarted(delay_s=1.5, files=['a.txt']))
    line = msgspec.json.decode(stream.getvalue())
    assert line['event'] == 'backup-started'
    assert line['fields'] == {'delay_s': 1.5, 'files': ['a.txt']}
    assert line['instance_id'] == 'a~1'


def test_all_kinds_are_sorted_by_name():
    names = [line_events.name_of(kind) for kind in line_events.all_kinds()]
    assert 'backup-started' in names
    assert names == sorted(names)


def test_each_dropped_line_is_counted_once():
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
    pauses_s=strategies.lists(strategies.floats(0, 2), max_size=200),
    per_s=strategies.floats(0.1, 100),
    burst=strategies.integers(1, 50),
)
def test_a_budget_never_exceeds_its_rate_and_burst(pauses_s, per_s, burst):
    clock = clocks.ManualClock(0.0)
    budget = line_budget.LineBudget(clock, per_s, burst)
    written = 0
    for pause_s in pauses_s:
        clock.advance(pause_s)
        written += budget.allows()
    assert written <= burst + per_s * clock.monotonic_s() + 1e-6
    assert written + budget.pop_dropped_count() == len(pauses_s)
