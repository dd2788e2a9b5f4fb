"""Metrics stay bounded, precise, and mergeable over many daemons."""

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


def one_histogram(values, name='request_added_ms'):
    measured = metrics.Metrics()
    histogram = measured.histogram(name, service='deposits')
    for value in values:
        histogram.record(value)
    return measured.snapshot()


@hypothesis.given(latencies_ms, st.sampled_from([50.0, 99.0]))
def test_quantiles_are_within_a_hundredth(values, percent):
    histogram = metrics.Histogram()
    for value in values:
        histogram.record(value)
    rank = max(1, int(percent * len(values) / 100 + 0.5))
    exact = sorted(values)[rank - 1]

    assert histogram.count == len(values)
    found = histogram.quantile(percent)
    assert math.isclose(found, exact, rel_tol=0.01, abs_tol=0.002)


@hypothesis.given(latencies_ms, latencies_ms)
def test_merged_snapshots_equal_one_that_saw_everything(first, second):
    merged = metrics.merge(
        metrics.decode(metrics.encode(one_histogram(first))),
        one_histogram(second),
    )
    whole = one_histogram(first + second)

    assert merged.histograms[0].p50 == whole.histograms[0].p50
    assert merged.histograms[0].p999 == whole.histograms[0].p999
    assert merged.histograms[0].highest == whole.histograms[0].highest
    assert metrics.merge(merged) == merged


def test_sums_over_a_large_fleet_do_not_overflow():
    merged = one_histogram([1, 1, 5])
    for _ in range(34):
        merged = metrics.merge(merged, merged)

    assert merged.histograms[0].count == 3 * 2**34
    assert merged.histograms[0].p50 == one_histogram([1]).histograms[0].p50


@hypothesis.given(st.lists(st.integers(0, 30), max_size=80))
def test_label_sets_over_the_bound_fall_into_other(callers):
    measured = metrics.Metrics(max_label_sets=5)
    for caller in callers:
        measured.counter('requests', caller=str(caller)).add()
    snapshot = measured.snapshot()
    known = list(dict.fromkeys(callers))[:5]
    over = [each for each in callers if each not in known]

    assert sum(each.count for each in snapshot.counters) == len(callers)
    assert len(snapshot.counters) <= 6
    assert snapshot.over_bound == len(over)
    others = [
        each.count
        for each in snapshot.counters
        if each.labels == (metrics.Label('caller', metrics.OTHER),)
    ]
    assert sum(others) == len(over)


def test_histograms_share_the_bound_of_their_name_only():
    measured = metrics.Metrics(max_label_sets=1)
    first = measured.histogram('a_ms', service='one')
    other = measured.histogram('a_ms', service='two')

    assert measured.histogram('a_ms', service='one') is first
    assert measured.histogram('a_ms', service='three') is other
    assert measured.histogram('b_ms', service='two') is not other


@pytest.mark.parametrize(
    ('value', 'kept'),
    [(-1, 0), (0, 0), (math.nan, 0), (10**9, 3_600_000), (math.inf, 3_600_000)],
)
def test_values_out_of_range_count_as_the_nearest_end(value, kept):
    histogram = metrics.Histogram()
    histogram.record(value)

    assert histogram.count == 1
    assert math.isclose(histogram.quantile(50), kept, rel_tol=0.01)


async def test_a_snapshot_in_steps_lets_other_tasks_run():
    measured = metrics.Metrics()
    for number in range(20):
        measured.histogram('a_ms', service=str(number)).record(number)
    turns = []

    async def other_task():
        while True:
            turns.append(1)
            await asyncio.sleep(0)

    task = asyncio.create_task(other_task())
    stepwise = await measured.snapshot_in_steps()
    task.cancel()

    assert stepwise == measured.snapshot()
    assert len(turns) >= 20


def test_outcomes_are_read_from_their_counter_and_added_up():
    measured = metrics.Metrics()
    measured.counter('answers', service='s', outcome='unknown').add(2)
    measured.counter('answers', outcome='not-run').add()
    measured.counter('other', service='s', outcome='unknown').add()
    found = summaries.outcomes(measured.snapshot(), 'answers')

    assert summaries.merge_outcomes((*found, *found)) == (
        status.OutcomeCount(service='', outcome='not-run', requests=2),
        status.OutcomeCount(service='s', outcome='unknown', requests=4),
    )


def test_an_empty_histogram_has_quantiles_of_zero():
    assert one_histogram([]).histograms[0].p99 == pytest.approx(0)


@pytest.mark.parametrize('blob', ['', 'x', 'HISTFAAAAAA', 'HIST' * 30, 'é'])
def test_an_unreadable_histogram_is_a_typed_error(blob):
    good = one_histogram([1]).histograms[0]
    bad = msgspec.structs.replace(good, encoded=blob)
    with pytest.raises(errors.BadHistogramError, match='same version'):
        metrics.merge(metrics.MetricsSnapshot(histograms=(bad,)))


def test_a_bound_without_room_is_refused():
    with pytest.raises(core_errors.InvalidArgumentError, match='at least 1'):
        metrics.Metrics(max_label_sets=0)
