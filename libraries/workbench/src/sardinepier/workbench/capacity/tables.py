"""The measured figures as tables of the page."""

import pathlib
import statistics
from collections.abc import Iterable, Iterator, Sequence

from sardinepier.workbench.capacity import (
    fits,
    linear_fit,
    roles,
    samples,
    worked_out,
)


def render(directory: pathlib.Path) -> str:
    """Return all tables in Markdown; a table without samples is left out."""
    results = fits.read(directory)
    parts = [
        _table('Roles at the target size', _ROLES, _role_rows(results)),
        _table('Idle and loaded fleets', _FLEETS, _fleet_rows(results)),
        _table('Changes in force', _CHANGES, _change_rows(results)),
        _table('Starts of a daemon', _STARTS, _start_rows(results)),
        _table('Events among processes', _EVENTS, _event_rows(results)),
        _table('Fits', _FITS, _fit_rows(results)),
        _table('Parts', _PARTS, _part_rows(results)),
    ]
    return '\n'.join(part for part in parts if part)


_ROLES = ('role', 'what', 'figure', 'unit', 'limit', '', 'basis', 'module')
_FLEETS = (
    'fleet',
    'daemons',
    'services x targets',
    'requests/s',
    'core %',
    'MB',
    'sockets',
    'wake-ups/s',
    'sent B/s',
    'received B/s',
    'sent messages/s',
    'platform calls/s',
    'load',
)
_CHANGES = (
    'daemons',
    'changes',
    'daemons reached',
    'median daemon s',
    'last daemon s (highest)',
    'platform calls in 3 s',
)
_STARTS = (
    'daemons',
    'starts',
    'serving s (highest)',
    'full view s (highest)',
    'received bytes (highest)',
    'sent bytes (highest)',
    'CPU ms (highest)',
)
_EVENTS = (
    'daemons',
    'event',
    'settled s',
    'peak messages/s, mean (highest)',
    'peak B/s, mean (highest)',
    'core %',
    'platform calls/s',
)
_FITS = ('figure', 'term', 'slope', 'standard error', 'points')
_PARTS = ('part', 'figure', 'size', 'amount', 'unit', 'spread')


def _table(
    title: str,
    heading: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> str:
    found = list(rows)
    if not found:
        return ''
    body = [_row(heading), _row(['---' for _ in heading]), *map(_row, found)]
    return '\n'.join([f'### {title}', '', *body, ''])


def _row(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _number(figure: float, error: float = 0.0) -> str:
    shown = f'{figure:,.0f}' if abs(figure) >= 100 else f'{figure:.3g}'
    return f'{shown} ± {error:.2g}' if error else shown


def _spread(spread: samples.Spread) -> str:
    return _number(spread.mean, spread.deviation)


def _role_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    if not results.parts or not results.fleets:
        return
    for line in worked_out.lines(results):
        limit = '' if line.limit is None else _number(line.limit)
        is_failing = line.verdict == roles.FAILING
        mended = f': {line.mended_by}' if is_failing else ''
        yield [
            line.role,
            line.what,
            _number(line.figure, line.error),
            line.unit,
            limit,
            f'{line.verdict}{mended}',
            line.basis.value,
            line.module,
        ]


def _fleet_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for one in results.fleets:
        shape = one.shape
        yield [
            shape.label,
            str(shape.daemons),
            f'{shape.services} x {shape.targets}, {shape.zones} zones',
            _number(shape.requests_per_s),
            _spread(one.cpu_percent),
            _spread(one.resident_mb),
            _number(one.sockets.mean),
            _number(one.wake_ups_per_s.mean),
            _number(one.sent_bytes_per_s.mean),
            _number(one.received_bytes_per_s.mean),
            _number(one.sent_messages_per_s.mean),
            _number(one.platform_calls_per_s),
            _number(one.load_average),
        ]


def _change_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for count in sorted({one.shape.daemons for one in results.changes}):
        found = [one for one in results.changes if one.shape.daemons == count]
        lasts = [one.last_s for one in found]
        yield [
            str(count),
            str(len(found)),
            str(min(one.daemons_reached for one in found)),
            _number(statistics.fmean(one.median_s for one in found)),
            f'{_number(statistics.fmean(lasts))} ({_number(max(lasts))})',
            _number(statistics.fmean(one.platform_calls for one in found)),
        ]


def _start_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for count in sorted({one.shape.daemons for one in results.starts}):
        found = [one for one in results.starts if one.shape.daemons == count]
        yield [
            str(count),
            str(len(found)),
            _mean_and_highest(found, 'serving_after_s'),
            _mean_and_highest(found, 'full_view_after_s'),
            _mean_and_highest(found, 'received_bytes'),
            _mean_and_highest(found, 'sent_bytes'),
            _mean_and_highest(found, 'cpu_ms'),
        ]


def _mean_and_highest(
    found: Sequence[samples.StartSample],
    field: str,
) -> str:
    figures = [float(getattr(one, field)) for one in found]
    return f'{_number(statistics.fmean(figures))} ({_number(max(figures))})'


def _event_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for one in results.events:
        messages = _number(one.mean_peak_messages_per_s)
        sizes = _number(one.mean_peak_bytes_per_s)
        yield [
            str(one.shape.daemons),
            one.event,
            _number(one.settled_after_s),
            f'{messages} ({_number(one.highest_messages_per_s)})',
            f'{sizes} ({_number(one.highest_bytes_per_s)})',
            _spread(one.cpu_percent),
            _number(one.platform_calls_per_s),
        ]


def _fit_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for name, fit in results.all_fits():
        for term in fit.names:
            found = fit.slope(term)
            yield [
                name,
                _term(term),
                f'{found.figure:.4g}',
                f'{found.error:.2g}',
                str(fit.points),
            ]


def _term(term: str) -> str:
    return term if term == linear_fit.CONSTANT else f'each of {term}'


def _part_rows(results: fits.Results) -> Iterator[Sequence[str]]:
    for one in results.parts:
        yield [
            one.part,
            one.name,
            _number(one.size),
            _number(one.amount),
            one.unit,
            _number(one.deviation),
        ]
