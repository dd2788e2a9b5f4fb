"""The report of a run, as JSON for scripts and as text."""

import collections
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
from hdrh import histogram

from sardinepier.workbench.traffic import generator, records, verification

_US_PER_MS: Final = 1000
_MAX_LATENCY_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MAX_SHOWN_PROBLEMS: Final = 8
_P50: Final = 50
_P90: Final = 90
_P99: Final = 99
_P100: Final = 100


class Latency(msgspec.Struct, frozen=True):
    """Percentiles of a latency, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class TrafficReport(msgspec.Struct, frozen=True):
    """Counts of one run. ``connections_cut`` counts attempts, not requests."""

    requests: int
    not_sent: int
    requests_by_kind: dict[str, int]
    keyed_by_kind: dict[str, int]
    attempts_by_kind: dict[str, int]
    resends: int
    connections_cut: int
    problems: dict[str, int]
    first_attempt: Latency
    completed: Latency
    verdict: verification.Verdict | None


def summarise(
    run: generator.TrafficRun,
    verdict: verification.Verdict | None,
) -> TrafficReport:
    """Summarise ``run``; without targets' counts, ``verdict`` is None."""
    attempts = [item for record in run.requests for item in record.attempts]
    keyed = [record for record in run.requests if record.keyed]
    completed = [
        record
        for record in run.requests
        if record.kind is records.Kind.COMPLETED
    ]
    problems = collections.Counter(
        attempt.problem for attempt in attempts if attempt.problem
    )
    kinds = [attempt.kind for attempt in attempts]
    return TrafficReport(
        requests=len(run.requests),
        not_sent=run.not_sent,
        requests_by_kind=count_kinds(record.kind for record in run.requests),
        keyed_by_kind=count_kinds(record.kind for record in keyed),
        attempts_by_kind=count_kinds(kinds),
        resends=len(attempts) - len(run.requests),
        connections_cut=kinds.count(records.Kind.CUT),
        problems=dict(problems.most_common(_MAX_SHOWN_PROBLEMS)),
        first_attempt=measure(item.first_attempt_ms for item in run.requests),
        completed=measure(record.total_ms for record in completed),
        verdict=verdict,
    )


def count_kinds(kinds: Iterable[records.Kind]) -> dict[str, int]:
    """Return the number of occurrences of each kind, by its name."""
    return dict(collections.Counter(kind.value for kind in kinds))


def measure(latencies_ms: Iterable[float]) -> Latency:
    """Return the percentiles of ``latencies_ms``, 0 if there are none."""
    recorder = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for latency_ms in latencies_ms:
        recorder.record_value(max(1, round(latency_ms * _US_PER_MS)))
    return Latency(
        count=recorder.get_total_count(),
        p50_ms=_percentile_ms(recorder, _P50),
        p90_ms=_percentile_ms(recorder, _P90),
        p99_ms=_percentile_ms(recorder, _P99),
        max_ms=_percentile_ms(recorder, _P100),
    )


def render(report: TrafficReport) -> str:
    """Return the report as text."""
    lines = [
        f'requests              {report.requests}',
        f'  by kind             {_render_counts(report.requests_by_kind)}',
        f'  of them with a key  {_render_counts(report.keyed_by_kind)}',
        f'  not sent            {report.not_sent}',
        f'attempts by kind      {_render_counts(report.attempts_by_kind)}',
        f'resends               {report.resends}',
        f'connections cut       {report.connections_cut}',
        f'first attempt         {_render_latency(report.first_attempt)}',
        f'completed             {_render_latency(report.completed)}',
    ]
    lines.extend(
        f'problem               {count} x {problem}'
        for problem, count in report.problems.items()
    )
    return '\n'.join([*lines, *_render_verdict(report.verdict)])


def _render_verdict(verdict: verification.Verdict | None) -> Sequence[str]:
    if verdict is None:
        return ('targets asked         none',)
    return (
        f'keys run by targets   {verdict.keys_run}',
        f'executions of a key   at most {verdict.executions_by_key_max}',
        f'doubled               {len(verdict.doubled)}',
        f'falsely said not-run  {len(verdict.false_not_run)}',
        f'lost                  {len(verdict.lost)}',
    )


def _render_counts(counts: dict[str, int]) -> str:
    parts = [f'{name} {counts[name]}' for name in sorted(counts)]
    return ', '.join(parts) or 'none'


def _render_latency(latency: Latency) -> str:
    return (
        f'p50 {latency.p50_ms:.1f} ms, p99 {latency.p99_ms:.1f} ms, '
        f'max {latency.max_ms:.1f} ms'
    )


def _percentile_ms(
    recorder: histogram.HdrHistogram,
    percentile: float,
) -> float:
    latency_us = recorder.get_value_at_percentile(percentile)
    return float(latency_us) / _US_PER_MS
