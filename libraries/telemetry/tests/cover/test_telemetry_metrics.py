"""Metrics are bounded, precise and can be merged over many daemons."""

import asyncio
import math

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st
from sardinepier.core import errors as core_errors
from sardinepier.telemetry import errors, metrics, status, summaries

latencies_ms = st.lists(
    st.floats(0.1, 100_000, allow_nan=False),
    min_size=1,
    max_size=200,
)


def snapshot_of(values, name='request_added_ms'):
    measured = metrics.Metrics()
    histogram = measured.histogram(name, service='deposits')
    for value in values:
        histogram.record(value)
    return measured.snapshot()


@hypothesis.given(latencies_ms, st.sampled_from([50.0, 99.0]))
def test_quantiles_are_within_one_percent(values, percent):
    histogram = metrics.Histogram()
    for value in values:
        histogram.record(value)
    rank = max(1, int(percent * len(values) / 100 + 0.5))
    exact = sorted(values)[rank - 1]

    assert histogram.count == len(values)
    quantile = histogram.quantile(percent)
    assert math.isclose(quantile, exact, rel_tol=0.01, abs_tol=0.002)


@hypothesis.given(latencies_ms, latencies_ms)
def test_merged_snapshots_equal_a_snapshot_of_all_values(first, second):
    merged = metrics.merge(
        metrics.decode(metrics.encode(snapshot_of(first))),
        snapshot_of(second),
    )
    whole = snapshot_of(first + second)

    assert merged.histograms[0].p50 == whole.histograms[0].p50
    assert merged.histograms[0].p999 == whole.histograms[0].p999
    assert merged.histograms[0].highest == whole.histograms[0].highest
    assert metrics.merge(merged) == merged


def test_sums_over_a_large_fleet_do_not_overflow():
    merged = snapshot_of([1, 1, 5])
    for _ in range(34):
        merged = metrics.merge(merged, merged)

    assert merged.histograms[0].count == 3 * 2**34
    assert merged.histograms[0].p50 == snapshot_of([1]).histograms[0].p50


@hypothesis.given(st.lists(st.integers(0, 30), max_size=80))
def test_label_sets_over_the_limit_become_other(callers):
    measured = metrics.Metrics(max_label_sets=5)
    for caller in callers:
        measured.counter('requests', caller=str(caller)).add()
    snapshot = measured.snapshot()
    known = list(dict.fromkeys(callers))[:5]
    over_limit = [name for name in callers if name not in known]

    assert sum(counter.count for counter in snapshot.counters) == len(callers)
    assert len(snapshot.counters) <= 6
    assert snapshot.over_bound == len(over_limit)
    other_counts = [
        counter.count
        for counter in snapshot.counters
        if counter.labels == (metrics.Label('caller', metrics.OTHER),)
    ]
    assert sum(other_counts) == len(over_limit)


def test_the_limit_on_label_sets_applies_to_each_name():
    measured = metrics.Metrics(max_label_sets=1)
    first = measured.histogram('a_ms', service='one')
    over_limit = measured.histogram('a_ms', service='two')

    assert measured.histogram('a_ms', service='one') is first
    assert measured.histogram('a_ms', service='three') is over_limit
    assert measured.histogram('b_ms', service='two') is not over_limit


@pytest.mark.parametrize(
    ('value', 'recorded'),
    [(-1, 0), (0, 0), (math.nan, 0), (10**9, 3_600_000), (math.inf, 3_600_000)],
)
def test_values_out_of_range_are_clamped(value, recorded):
    histogram = metrics.Histogram()
    histogram.record(value)

    assert histogram.count == 1
    assert math.isclose(histogram.quantile(50), recorded, rel_tol=0.01)


async def test_a_snapshot_in_steps_lets_other_tasks_run():
    measured = metrics.Metrics()
    for number in range(20):
        measured.histogram('a_ms', service=str(number)).record(number)
    steps = []

    async def other_task():
        while True:
            steps.append(1)
            await asyncio.sleep(0)

    task = asyncio.create_task(other_task())
    stepwise = await measured.snapshot_in_steps()
    task.cancel()

    assert stepwise == measured.snapshot()
    assert len(steps) >= 20


def test_outcomes_are_read_from_their_counter_and_merged():
    measured = metrics.Metrics()
    measured.counter('answers', service='s', outcome='unknown').add(2)
    measured.counter('answers', outcome='not-run').add()
    measured.counter('other', service='s', outcome='unknown').add()
    counts = summaries.outcomes(measured.snapshot(), 'answers')

    assert summaries.merge_outcomes((*counts, *counts)) == (
        status.OutcomeCount(service='', outcome='not-run', requests=2),
        status.OutcomeCount(service='s', outcome='unknown', requests=4),
    )


def test_an_empty_histogram_has_quantiles_of_zero():
    assert snapshot_of([]).histograms[0].p99 == pytest.approx(0)


@pytest.mark.parametrize('encoded', ['', 'x', 'HISTFAAAAAA', 'HIST' * 30, 'é'])
def test_an_invalid_histogram_raises_a_typed_error(encoded):
    valid = snapshot_of([1]).histograms[0]
    invalid = msgspec.structs.replace(valid, encoded=encoded)
    with pytest.raises(errors.BadHistogramError, match='same version'):
        metrics.merge(metrics.MetricsSnapshot(histograms=(invalid,)))


def test_a_limit_below_one_is_rejected():
    with pytest.raises(core_errors.InvalidArgumentError, match='at least 1'):
        metrics.Metrics(max_label_sets=0)
