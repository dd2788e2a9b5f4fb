"""The experiment's tables as plain text."""

import collections
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from sardinepier.workbench.detection import records, scenario

HORIZON_S: Final = 30.0
_RIVAL_KINDS: Final = ('consecutive', 'rate', 'p50', 'p90')
_ACTING: Final = frozenset(('group', 'alone'))
_SICK_NAMES: Final = frozenset(fault.name for fault in scenario.SICK_FAULTS)
_NO_FAULT: Final = 'none'
_NO_CASE: Final = '-'
_CELL_WIDTH: Final = 20
_HEADING_WIDTH: Final = 32
_HIGH_QUANTILE: Final = 0.99


def render(done: Sequence[records.Record]) -> str:
    """Return all tables."""
    return '\n\n'.join(
        (
            'Detection time in s, p50/p99 over the runs (> 30: not all '
            'daemons took it out)',
            _fault_table(done, _detection, sick=True),
            'False ejections, in runs with a fault that leaves all targets '
            'healthy',
            _fault_table(done, _false_count, sick=False),
            'Requests failed or slowed over 5x, % before > % after the fault',
            _fault_table(_acting(done), _suffering, sick=None),
            'False ejections per target and day, over all healthy traffic '
            'and all innocent targets',
            summary_table(done),
        ),
    )


def summary_table(done: Sequence[records.Record]) -> str:
    """Return one line a contender: its place on the trade-off curve."""
    lines = [
        f'{"contender":24s} {"mean detection s":>16s} {"false":>6s} '
        f'{"target days":>11s} {"per day":>9s} {"below floor":>11s}',
    ]
    for name in _contenders(done):
        own = [one for one in done if one.contender == name]
        false_count = sum(one.false_ejections for one in own)
        days = sum(one.target_days for one in own)
        lines.append(
            f'{name:24s} {mean_detection_s(own):16.2f} {false_count:6d} '
            f'{days:11.3f} {false_count / days:9.2f} '
            f'{sum(one.below_floor for one in own):11d}',
        )
    return '\n'.join(lines)


def mean_detection_s(own: Iterable[records.Record]) -> float:
    """Return the mean over all sick faults, none counted above 30 s."""
    sick = [_capped_s(one) for one in own if is_sick(one)]
    return statistics.fmean(sick) if sick else 0.0


def is_sick(one: records.Record) -> bool:
    """Return whether the run's fault should be detected."""
    return one.fault in _SICK_NAMES


def _capped_s(one: records.Record) -> float:
    if one.detection_s is None:
        return HORIZON_S
    return min(HORIZON_S, one.detection_s)


def _fault_table(
    done: Sequence[records.Record],
    cell: Callable[[Sequence[records.Record]], str],
    sick: bool | None,
) -> str:
    chosen = _best_of_each_kind(done)
    cases = collections.defaultdict(list)
    for one in done:
        if one.fault != _NO_FAULT and sick in {None, is_sick(one)}:
            row = f'{one.fault} at {one.traffic}'
            cases[row, one.contender].append(one)
    lines = [_line('', chosen)]
    for row in dict.fromkeys(row for row, _ in cases):
        lines.append(_line(row, [cell(cases[row, name]) for name in chosen]))
    return '\n'.join(lines)


def _line(heading: str, cells: Sequence[str]) -> str:
    padded = [one.rjust(_CELL_WIDTH) for one in cells]
    return heading.ljust(_HEADING_WIDTH) + ''.join(padded)


def _detection(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    times = sorted(_capped_s(one) for one in cases)
    middle = statistics.median(times)
    place = min(len(times) - 1, int(_HIGH_QUANTILE * len(times)))
    return f'{_seconds(middle)}/{_seconds(times[place])}'


def _seconds(seconds: float) -> str:
    return '> 30' if seconds >= HORIZON_S else f'{seconds:.2f}'


def _false_count(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    return str(sum(one.false_ejections for one in cases))


def _suffering(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    before = statistics.fmean(
        one.failed_before + one.slowed_before for one in cases
    )
    after = statistics.fmean(
        one.failed_after + one.slowed_after for one in cases
    )
    return f'{before:.2%} > {after:.2%}'


def _acting(done: Sequence[records.Record]) -> list[records.Record]:
    return [one for one in done if _kind(one.contender) in _ACTING]


def _contenders(done: Sequence[records.Record]) -> list[str]:
    return list(dict.fromkeys(one.contender for one in done))


def _best_of_each_kind(done: Sequence[records.Record]) -> list[str]:
    """Return the library's contenders and the best rival of each kind.

    The best one has the least product of detection time and false
    ejections, of which each counts as one more than it was.
    """
    names = _contenders(done)
    chosen = [name for name in names if _kind(name) in _ACTING]
    for kind in _RIVAL_KINDS:
        costs = {
            name: _cost(done, name) for name in names if _kind(name) == kind
        }
        if costs:
            chosen.append(min(costs, key=costs.__getitem__))
    return chosen


def _kind(name: str) -> str:
    return name.split()[0]


def _cost(done: Sequence[records.Record], name: str) -> float:
    own = [one for one in done if one.contender == name]
    false_count = sum(one.false_ejections for one in own)
    return mean_detection_s(own) * (1 + false_count)
