"""Latency and outcome summaries of the status document.

A daemon computes its own from its metrics, for example with
``latencies(metrics.snapshot())``; a reader merges those of many daemons.
"""

import collections
from collections.abc import Iterable
from typing import Final

from sardinepier.telemetry import metrics, status
from sardinepier.telemetry.internal import histograms

SERVICE_LABEL: Final = 'service'
"""Label of a metric that names its service."""

OUTCOME_LABEL: Final = 'outcome'
"""Label of a counter that names the outcome it counts."""

_LATENCY_SUFFIX: Final = '_ms'
_P50: Final = 50.0
_P99: Final = 99.0


def latencies(
    snapshot: metrics.MetricsSnapshot,
) -> tuple[status.LatencySummary, ...]:
    """Return a summary of each histogram whose name ends in ``_ms``."""
    return tuple(
        status.LatencySummary(
            name=histogram.name,
            service=_label_of(histogram, SERVICE_LABEL),
            requests=histogram.count,
            p50_ms=histogram.p50,
            p99_ms=histogram.p99,
            max_ms=histogram.highest,
            histogram=histogram.encoded,
        )
        for histogram in snapshot.histograms
        if histogram.name.endswith(_LATENCY_SUFFIX)
    )


def outcomes(
    snapshot: metrics.MetricsSnapshot,
    counter_name: str,
) -> tuple[status.OutcomeCount, ...]:
    """Return the counters of that name by service and outcome."""
    return tuple(
        status.OutcomeCount(
            service=_label_of(counter, SERVICE_LABEL),
            outcome=_label_of(counter, OUTCOME_LABEL),
            requests=counter.count,
        )
        for counter in snapshot.counters
        if counter.name == counter_name
    )


def merge_latencies(
    summaries: Iterable[status.LatencySummary],
) -> tuple[status.LatencySummary, ...]:
    """Add up the summaries of many daemons by name and service.

    Raises ``telemetry.errors.BadHistogramError`` for an invalid one.
    """
    recorders: dict[tuple[str, str], histograms.Recorder] = {}
    for summary in summaries:
        recorders.setdefault(
            (summary.name, summary.service),
            histograms.Recorder(wide=True),
        ).add(summary.histogram)
    return tuple(
        _summary(name, service, recorders[name, service])
        for name, service in sorted(recorders)
    )


def merge_outcomes(
    counts: Iterable[status.OutcomeCount],
) -> tuple[status.OutcomeCount, ...]:
    """Add up the outcomes of many daemons by service and outcome."""
    totals: collections.Counter[tuple[str, str]] = collections.Counter()
    for count in counts:
        totals[count.service, count.outcome] += count.requests
    return tuple(
        status.OutcomeCount(
            service=service,
            outcome=outcome,
            requests=totals[service, outcome],
        )
        for service, outcome in sorted(totals)
    )


def _label_of(
    metric: metrics.HistogramValue | metrics.CounterValue,
    name: str,
) -> str:
    for label in metric.labels:
        if label.name == name:
            return label.value
    return ''


def _summary(
    name: str,
    service: str,
    recorder: histograms.Recorder,
) -> status.LatencySummary:
    p50_ms, p99_ms = recorder.quantiles(_P50, _P99)
    return status.LatencySummary(
        name=name,
        service=service,
        requests=recorder.count,
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        max_ms=recorder.highest,
        histogram=recorder.encode(),
    )
