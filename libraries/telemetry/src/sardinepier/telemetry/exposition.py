"""Metrics in the Prometheus text format.

For example::

    # HELP sardinepier_requests_total Requests by what became of them.
    # TYPE sardinepier_requests_total counter
    sardinepier_requests_total{outcome="answered"} 1234

The Prometheus client library is not used: importing it takes a quarter of a
second of CPU time, during which a daemon serves no requests. The tests parse
the output with that library.
"""

import itertools
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import msgspec
from sardinepier.telemetry import metrics

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

_PREFIX: Final = 'sardinepier'
_ESCAPES: Final = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class Gauge(msgspec.Struct, frozen=True):
    """The current value of a number that goes up and down.

    Gauges of one name with different ``labels`` follow each other.
    """

    name: str
    value: float
    labels: tuple[metrics.Label, ...] = ()


def text(
    snapshot: metrics.MetricsSnapshot,
    gauges: Iterable[Gauge],
    help_texts: Mapping[str, str],
) -> str:
    """Return all metrics as text, with a help line for each name.

    Raises ``KeyError`` for a name without an entry in ``help_texts``.
    """
    lines = itertools.chain(
        _counters(snapshot.counters, help_texts),
        _summaries(snapshot.histograms, help_texts),
        _gauges(gauges, help_texts),
    )
    return ''.join(f'{line}\n' for line in lines)


def _counters(
    counters: Iterable[metrics.CounterValue],
    help_texts: Mapping[str, str],
) -> Iterator[str]:
    for name, group in itertools.groupby(counters, key=_name_of):
        total = f'{name}_total'
        yield from _header(total, 'counter', help_texts[name])
        for counter in group:
            yield f'{_PREFIX}_{total}{_labels(counter.labels)} {counter.count}'


def _summaries(
    histograms: Iterable[metrics.HistogramValue],
    help_texts: Mapping[str, str],
) -> Iterator[str]:
    for name, group in itertools.groupby(histograms, key=_name_of):
        yield from _header(name, 'summary', help_texts[name])
        for histogram in group:
            quantiles = (
                ('0.5', histogram.p50),
                ('0.99', histogram.p99),
                ('1', histogram.highest),
            )
            for quantile, measurement in quantiles:
                label = metrics.Label('quantile', quantile)
                labels = _labels((*histogram.labels, label))
                yield f'{_PREFIX}_{name}{labels} {measurement:g}'
            labels = _labels(histogram.labels)
            yield f'{_PREFIX}_{name}_count{labels} {histogram.count}'


def _gauges(
    gauges: Iterable[Gauge],
    help_texts: Mapping[str, str],
) -> Iterator[str]:
    for name, group in itertools.groupby(gauges, key=_name_of):
        yield from _header(name, 'gauge', help_texts[name])
        for gauge in group:
            labels = _labels(gauge.labels)
            yield f'{_PREFIX}_{name}{labels} {gauge.value:g}'


def _header(name: str, kind: str, help_text: str) -> Iterator[str]:
    yield f'# HELP {_PREFIX}_{name} {help_text}'
    yield f'# TYPE {_PREFIX}_{name} {kind}'


def _labels(labels: Iterable[metrics.Label]) -> str:
    pairs = ','.join(
        f'{label.name}="{label.value.translate(_ESCAPES)}"' for label in labels
    )
    return f'{{{pairs}}}' if pairs else ''


def _name_of(
    metric: metrics.CounterValue | metrics.HistogramValue | Gauge,
) -> str:
    return metric.name
