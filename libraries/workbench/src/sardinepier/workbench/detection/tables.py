"""The experiment's tables as plain text."""

import collections
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from sardinepier.workbench.detection import records, scenario

HORIZON_S: Final = 30.0
_RIVAL_KINDS: Final = ('consecutive', 'rate', 'p50', 'p90')
_ACTING_KINDS: Final = frozenset(('group', 'alone'))
_SICK_NAMES: Final = frozenset(fault.name for fault in scenario.SICK_FAULTS)
_NO_FAULT: Final = 'none'
_NO_CASE: Final = '-'
_CELL_WIDTH: Final = 20
_HEADING_WIDTH: Final = 32
_HIGH_QUANTILE: Final = 0.99


def render(all_records: Sequence[records.Record]) -> str:
    """Return all tables."""
    return '\n\n'.join(
        (
            'Detection time in s, p50/p99 over the runs (> 30: not all '
            'daemons ejected the target)',
            _fault_table(all_records, _detection, sick=True),
            'False ejections, in runs with a fault that leaves all targets '
            'healthy',
            _fault_table(all_records, _false_count, sick=False),
            'Requests failed or slowed over 5x, % before > % after the fault',
            _fault_table(_acting(all_records), _affected_requests, sick=None),
            'False ejections per target and day, over all healthy traffic '
            'and all healthy targets',
            summary_table(all_records),
        ),
    )


def summary_table(all_records: Sequence[records.Record]) -> str:
    """Return one line per contender: its point on the trade-off curve."""
    lines = [
        f'{"contender":24s} {"mean detection s":>16s} {"false":>6s} '
        f'{"target days":>11s} {"per day":>9s} {"below floor":>11s}',
    ]
    for name in _contenders(all_records):
        own_records = [
            record for record in all_records if record.contender == name
        ]
        false_count = sum(record.false_ejections for record in own_records)
        days = sum(record.target_days for record in own_records)
        lines.append(
            f'{name:24s} {mean_detection_s(own_records):16.2f} {false_count:6d} '
            f'{days:11.3f} {false_count / days:9.2f} '
            f'{sum(record.below_floor for record in own_records):11d}',
        )
    return '\n'.join(lines)


def mean_detection_s(own_records: Iterable[records.Record]) -> float:
    """Return the mean over faults that should be detected, each 30 s at most.

    An undetected fault counts as 30 s.
    """
    sick = [
        _capped_detection_s(record) for record in own_records if is_sick(record)
    ]
    return statistics.fmean(sick) if sick else 0.0


def is_sick(record: records.Record) -> bool:
    """Return whether the faulty target should be ejected."""
    return record.fault in _SICK_NAMES


def _capped_detection_s(record: records.Record) -> float:
    if record.detection_s is None:
        return HORIZON_S
    return min(HORIZON_S, record.detection_s)


def _fault_table(
    all_records: Sequence[records.Record],
    cell: Callable[[Sequence[records.Record]], str],
    sick: bool | None,
) -> str:
    chosen = _best_of_each_kind(all_records)
    cases = collections.defaultdict(list)
    for record in all_records:
        if record.fault != _NO_FAULT and sick in {None, is_sick(record)}:
            row = f'{record.fault} at {record.traffic}'
            cases[row, record.contender].append(record)
    lines = [_line('', chosen)]
    for row in dict.fromkeys(row for row, _ in cases):
        lines.append(_line(row, [cell(cases[row, name]) for name in chosen]))
    return '\n'.join(lines)


def _line(heading: str, cells: Sequence[str]) -> str:
    padded = [cell.rjust(_CELL_WIDTH) for cell in cells]
    return heading.ljust(_HEADING_WIDTH) + ''.join(padded)


def _detection(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    times = sorted(_capped_detection_s(record) for record in cases)
    median_s = statistics.median(times)
    index = min(len(times) - 1, int(_HIGH_QUANTILE * len(times)))
    return f'{_seconds(median_s)}/{_seconds(times[index])}'


def _seconds(seconds: float) -> str:
    return '> 30' if seconds >= HORIZON_S else f'{seconds:.2f}'


def _false_count(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    return str(sum(record.false_ejections for record in cases))


def _affected_requests(cases: Sequence[records.Record]) -> str:
    if not cases:
        return _NO_CASE
    before = statistics.fmean(
        record.failed_before + record.slowed_before for record in cases
    )
    after = statistics.fmean(
        record.failed_after + record.slowed_after for record in cases
    )
    return f'{before:.2%} > {after:.2%}'


def _acting(all_records: Sequence[records.Record]) -> list[records.Record]:
    return [
        record
        for record in all_records
        if _kind(record.contender) in _ACTING_KINDS
    ]


def _contenders(all_records: Sequence[records.Record]) -> list[str]:
    return list(dict.fromkeys(record.contender for record in all_records))


def _best_of_each_kind(all_records: Sequence[records.Record]) -> list[str]:
    """Return the library's contenders and the best rival of each kind.

    The best one has the smallest product of its mean detection time and
    one plus its number of false ejections.
    """
    names = _contenders(all_records)
    chosen = [name for name in names if _kind(name) in _ACTING_KINDS]
    for kind in _RIVAL_KINDS:
        costs = {
            name: _cost(all_records, name)
            for name in names
            if _kind(name) == kind
        }
        if costs:
            chosen.append(min(costs, key=costs.__getitem__))
    return chosen


def _kind(name: str) -> str:
    return name.split()[0]


def _cost(all_records: Sequence[records.Record], name: str) -> float:
    own_records = [record for record in all_records if record.contender == name]
    false_count = sum(record.false_ejections for record in own_records)
    return mean_detection_s(own_records) * (1 + false_count)
