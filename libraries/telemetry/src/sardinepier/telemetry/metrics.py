"""Counters and histograms with labels, cheap enough for every request.

Look up a counter or histogram once and keep it::

    added = metrics.histogram('request_added_ms', service='deposits')
    added.record(1.7)

A label set is one combination of label values. The number of label sets per
name is limited, because values such as caller names come from outside and
would otherwise grow the daemon's memory without bound. Over the limit all
values of a label set become ``other``, and the lookup is counted.
"""

import asyncio
import collections
from collections.abc import Iterable
from typing import Final

import msgspec
from sardinepier.core import errors
from sardinepier.telemetry.internal import histograms

OTHER: Final = 'other'
"""Value of every label in the label set used over the limit."""

DEFAULT_LABEL_SETS: Final = 512
"""Default limit on the label sets of each name."""

_P50: Final = 50.0
_P99: Final = 99.0
_P999: Final = 99.9

_Labels = tuple[tuple[str, str], ...]
_MetricKey = tuple[str, _Labels]


class Label(msgspec.Struct, frozen=True, order=True):
    """The name and value of one label."""

    name: str
    value: str


class CounterValue(msgspec.Struct, frozen=True, kw_only=True):
    """A counter and its count at the time of a snapshot."""

    name: str
    labels: tuple[Label, ...]
    count: int


class HistogramValue(msgspec.Struct, frozen=True, kw_only=True):
    """A histogram at the time of a snapshot, in the unit its name ends in.

    ``encoded`` is the whole histogram in the compressed text form of
    HdrHistogram, for merging; quantiles of several daemons cannot be merged.
    """

    name: str
    labels: tuple[Label, ...]
    count: int
    p50: float
    p99: float
    p999: float
    highest: float
    encoded: str


class MetricsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All counters and histograms of one daemon, or of many after a merge.

    ``over_bound`` counts the lookups that returned the label set ``other``.
    """

    counters: tuple[CounterValue, ...] = ()
    histograms: tuple[HistogramValue, ...] = ()
    over_bound: int = 0


class Counter:
    """A count that only increases."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0

    def add(self, amount: int = 1) -> None:
        """Add ``amount``, which must not be negative."""
        self.count += amount


class Histogram:
    """A distribution of values in the unit that its name ends in.

    Values have a resolution of a thousandth of the unit and a precision of
    one in a hundred, up to 3.6 million units (an hour in milliseconds).
    """

    __slots__ = ('recorder',)

    def __init__(self) -> None:
        """Create an empty histogram."""
        self.recorder = histograms.Recorder()

    def record(self, value: float) -> None:
        """Add one value, clamped to the range."""
        self.recorder.record(value)

    def quantile(self, percent: float) -> float:
        """Return the value at percentile ``percent``."""
        return self.recorder.quantile(percent)

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return self.recorder.count


class Metrics:
    """All counters and histograms of one daemon."""

    def __init__(self, max_label_sets: int = DEFAULT_LABEL_SETS) -> None:
        """Keep up to ``max_label_sets`` label sets for each name.

        Raises ``core.errors.InvalidArgumentError`` for a limit below 1.
        """
        _check_max_label_sets(max_label_sets)
        self._max_label_sets = max_label_sets
        self._counters: dict[_MetricKey, Counter] = {}
        self._histograms: dict[_MetricKey, Histogram] = {}
        self._label_set_counts: collections.Counter[str] = collections.Counter()
        self._over_bound = 0

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter of ``name`` and ``labels``; create it if new."""
        key = (name, tuple(sorted(labels.items())))
        counter = self._counters.get(key)
        if counter is not None:
            return counter
        return self._counters.setdefault(self._limited_key(key), Counter())

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Return the histogram of ``name`` and ``labels``; create it if new."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is not None:
            return histogram
        key = self._limited_key(key)
        if key not in self._histograms:
            self._histograms[key] = Histogram()
        return self._histograms[key]

    def snapshot(self) -> MetricsSnapshot:
        """Return all counters and histograms, ordered by name and labels."""
        return self._snapshot(
            _histogram_value(key, self._histograms[key].recorder)
            for key in sorted(self._histograms)
        )

    async def snapshot_in_steps(self) -> MetricsSnapshot:
        """Return a snapshot, letting other tasks run between histograms.

        Summarising hundreds of histograms takes many milliseconds. In one
        step it would delay all requests in flight.
        """
        histogram_values = []
        for key in sorted(self._histograms):
            histogram_values.append(
                _histogram_value(key, self._histograms[key].recorder),
            )
            await asyncio.sleep(0)
        return self._snapshot(histogram_values)

    def _snapshot(
        self,
        histogram_values: Iterable[HistogramValue],
    ) -> MetricsSnapshot:
        return MetricsSnapshot(
            counters=tuple(
                _counter_value(key, self._counters[key].count)
                for key in sorted(self._counters)
            ),
            histograms=tuple(histogram_values),
            over_bound=self._over_bound,
        )

    def _limited_key(self, key: _MetricKey) -> _MetricKey:
        name, labels = key
        if self._label_set_counts[name] < self._max_label_sets:
            self._label_set_counts[name] += 1
            return key
        self._over_bound += 1
        return name, tuple((label, OTHER) for label, _ in labels)


def merge(*snapshots: MetricsSnapshot) -> MetricsSnapshot:
    """Add up the snapshots of many daemons.

    Histograms are merged whole, so the quantiles are those of all values.
    Raises ``telemetry.errors.BadHistogramError`` for an invalid one.
    """
    counts: collections.Counter[_MetricKey] = collections.Counter()
    recorders: dict[_MetricKey, histograms.Recorder] = {}
    for snapshot in snapshots:
        for counter in snapshot.counters:
            counts[_key_of(counter)] += counter.count
        for histogram in snapshot.histograms:
            recorder = recorders.setdefault(
                _key_of(histogram),
                histograms.Recorder(wide=True),
            )
            recorder.add(histogram.encoded)
    return MetricsSnapshot(
        counters=tuple(
            _counter_value(key, counts[key]) for key in sorted(counts)
        ),
        histograms=tuple(
            _histogram_value(key, recorders[key]) for key in sorted(recorders)
        ),
        over_bound=sum(source.over_bound for source in snapshots),
    )


def encode(snapshot: MetricsSnapshot) -> bytes:
    """Return the JSON form of ``snapshot``."""
    return msgspec.json.encode(snapshot)


def decode(text: bytes) -> MetricsSnapshot:
    """Return the snapshot from its JSON form.

    Raises ``msgspec.DecodeError`` on malformed input.
    """
    return msgspec.json.decode(text, type=MetricsSnapshot)


def _key_of(metric: CounterValue | HistogramValue) -> _MetricKey:
    labels = tuple((label.name, label.value) for label in metric.labels)
    return metric.name, labels


def _counter_value(key: _MetricKey, count: int) -> CounterValue:
    name, labels = key
    return CounterValue(
        name=name,
        labels=tuple(Label(*label) for label in labels),
        count=count,
    )


def _histogram_value(
    key: _MetricKey,
    recorder: histograms.Recorder,
) -> HistogramValue:
    name, labels = key
    p50, p99, p999 = recorder.quantiles(_P50, _P99, _P999)
    return HistogramValue(
        name=name,
        labels=tuple(Label(*label) for label in labels),
        count=recorder.count,
        p50=p50,
        p99=p99,
        p999=p999,
        highest=recorder.highest,
        encoded=recorder.encode(),
    )


def _check_max_label_sets(max_label_sets: int) -> None:
    if max_label_sets < 1:
        raise errors.InvalidArgumentError(
            f'A metric cannot keep {max_label_sets} label sets',
            'Give a limit of at least 1',
        )
