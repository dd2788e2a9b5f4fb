"""Counters and histograms with labels, cheap enough for every request.

Look an instrument up once and keep it::

    added = metrics.histogram('request_added_ms', service='deposits')
    added.record(1.7)

A label set is one combination of label values. Their number is bounded for
each name, because values such as caller names come from outside and would
otherwise grow the daemon's memory without limit: over the bound all values
of a label set become ``other``, and the lookup is counted.
"""

import asyncio
import collections
from collections.abc import Iterable
from typing import Final

import msgspec
from sardinepier.core import errors
from sardinepier.telemetry.internal import histograms

OTHER: Final = 'other'
"""The value of every label in the set that takes what is over the bound."""

DEFAULT_LABEL_SETS: Final = 512
"""Label sets kept for each name by default."""

_P50: Final = 50.0
_P99: Final = 99.0
_P999: Final = 99.9

_Labels = tuple[tuple[str, str], ...]
_Key = tuple[str, _Labels]


class Label(msgspec.Struct, frozen=True, order=True):
    """The name and value of one label."""

    name: str
    value: str


class CounterValue(msgspec.Struct, frozen=True, kw_only=True):
    """What a counter holds."""

    name: str
    labels: tuple[Label, ...]
    count: int


class HistogramValue(msgspec.Struct, frozen=True, kw_only=True):
    """What a histogram holds, in the unit of the suffix of its name.

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

    ``over_bound`` counts the lookups that fell into ``other``.
    """

    counters: tuple[CounterValue, ...] = ()
    histograms: tuple[HistogramValue, ...] = ()
    over_bound: int = 0


class Counter:
    """A number that only grows."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0

    def add(self, amount: int = 1) -> None:
        """Add ``amount``, which must not be negative."""
        self.count += amount


class Histogram:
    """A distribution of values in the unit of the suffix of its name.

    Values have a resolution of a thousandth of the unit and a precision of
    one in a hundred, up to 3.6 million units (an hour in milliseconds).
    """

    __slots__ = ('recorder',)

    def __init__(self) -> None:
        """Start empty."""
        self.recorder = histograms.Recorder()

    def record(self, value: float) -> None:
        """Add one value; one outside the range counts as its nearest end."""
        self.recorder.record(value)

    def quantile(self, percent: float) -> float:
        """Return the value below which ``percent`` of the values lie."""
        return self.recorder.quantile(percent)

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return self.recorder.count


class Metrics:
    """All instruments of one daemon."""

    def __init__(self, max_label_sets: int = DEFAULT_LABEL_SETS) -> None:
        """Keep up to ``max_label_sets`` label sets for each name.

        Raises ``core.errors.InvalidArgumentError`` for a bound below 1.
        """
        _check_max_label_sets(max_label_sets)
        self._max_label_sets = max_label_sets
        self._counters: dict[_Key, Counter] = {}
        self._histograms: dict[_Key, Histogram] = {}
        self._sizes: collections.Counter[str] = collections.Counter()
        self._over_bound = 0

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter of ``name`` and ``labels``, new or known."""
        key = (name, tuple(sorted(labels.items())))
        found = self._counters.get(key)
        if found is not None:
            return found
        return self._counters.setdefault(self._bounded(key), Counter())

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Return the histogram of ``name`` and ``labels``, new or known."""
        key = (name, tuple(sorted(labels.items())))
        found = self._histograms.get(key)
        if found is not None:
            return found
        key = self._bounded(key)
        if key not in self._histograms:
            self._histograms[key] = Histogram()
        return self._histograms[key]

    def snapshot(self) -> MetricsSnapshot:
        """Return what all instruments hold, ordered by name and labels."""
        return self._snapshot(
            _histogram_value(key, self._histograms[key].recorder)
            for key in sorted(self._histograms)
        )

    async def snapshot_in_steps(self) -> MetricsSnapshot:
        """Return the same, letting other tasks run between histograms.

        Hundreds of histograms take many milliseconds to summarise. Done at
        once, each reading of the metrics would delay all requests in flight.
        """
        measured = []
        for key in sorted(self._histograms):
            measured.append(
                _histogram_value(key, self._histograms[key].recorder),
            )
            await asyncio.sleep(0)
        return self._snapshot(measured)

    def _snapshot(
        self,
        measured: Iterable[HistogramValue],
    ) -> MetricsSnapshot:
        return MetricsSnapshot(
            counters=tuple(
                _counter_value(key, self._counters[key].count)
                for key in sorted(self._counters)
            ),
            histograms=tuple(measured),
            over_bound=self._over_bound,
        )

    def _bounded(self, key: _Key) -> _Key:
        name, labels = key
        if self._sizes[name] < self._max_label_sets:
            self._sizes[name] += 1
            return key
        self._over_bound += 1
        return name, tuple((label, OTHER) for label, _ in labels)


def merge(*snapshots: MetricsSnapshot) -> MetricsSnapshot:
    """Add up the snapshots of many daemons.

    Histograms are merged whole, so the quantiles are those of all values.
    Raises ``telemetry.errors.BadHistogramError`` for an unreadable one.
    """
    counts: collections.Counter[_Key] = collections.Counter()
    recorders: dict[_Key, histograms.Recorder] = {}
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
        over_bound=sum(each.over_bound for each in snapshots),
    )


def encode(snapshot: MetricsSnapshot) -> bytes:
    """Return the JSON form of ``snapshot``."""
    return msgspec.json.encode(snapshot)


def decode(text: bytes) -> MetricsSnapshot:
    """Read the JSON form back.

    Raises ``msgspec.DecodeError`` on anything malformed.
    """
    return msgspec.json.decode(text, type=MetricsSnapshot)


def _key_of(measured: CounterValue | HistogramValue) -> _Key:
    labels = tuple((label.name, label.value) for label in measured.labels)
    return measured.name, labels


def _counter_value(key: _Key, count: int) -> CounterValue:
    name, labels = key
    return CounterValue(
        name=name,
        labels=tuple(Label(*label) for label in labels),
        count=count,
    )


def _histogram_value(
    key: _Key,
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
            'Give a bound of at least 1',
        )
