"""Tests the paired measurement and the knee search of the benchmark."""

import random

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.standins import target_settings, target_standin
from sardinepier.workbench.bench import command, knee, paired
from sardinepier.workbench.traffic import report


def figures(rate_per_s, added_ms, failed=0):
    def path_figures(latency_ms, failed_requests):
        return paired.PathFigures(
            report.measure(latency_ms for _ in range(100)),
            report.measure([0.0]),
            failed_requests,
            0,
        )

    return paired.PairFigures(
        rate_per_s,
        path_figures(1.0, 0),
        path_figures(1.0 + added_ms, failed),
    )


@given(st.floats(min_value=5, max_value=4000), st.integers(0, 6))
async def test_knee_is_between_the_two_reported_rates(
    true_knee_per_s, halvings
):
    async def measure(rate_per_s):
        return figures(rate_per_s, 1.0 if rate_per_s < true_knee_per_s else 9.0)

    search = knee.KneeSearch(measure, 10.0, 3200.0)
    measured_knee = await search.run(100.0, halvings)
    assert len(measured_knee.steps) <= 2 * (7 + halvings)
    if measured_knee.within is not None:
        assert measured_knee.within.rate_per_s < true_knee_per_s
    if measured_knee.beyond is not None:
        assert measured_knee.beyond.rate_per_s >= true_knee_per_s
    assert measured_knee.within or measured_knee.beyond


async def test_one_slow_measurement_does_not_end_the_search():
    seen = []

    async def measure(rate_per_s):
        seen.append(rate_per_s)
        return figures(rate_per_s, 9.0 if len(seen) == 1 else 1.0)

    measured_knee = await knee.KneeSearch(measure, 10.0, 400.0).run(100.0, 3)
    assert seen == [100.0, 100.0, 200.0, 400.0]
    assert measured_knee.beyond is None


@pytest.mark.parametrize(
    ('added_ms', 'failed', 'within'),
    [(1.0, 0, True), (1.0, 5, False), (5.0, 0, False)],
)
def test_is_within_checks_latency_and_failures(added_ms, failed, within):
    assert knee.is_within(figures(100.0, added_ms, failed)) is within


async def test_paired_run_counts_requests_and_failures_of_both_paths():
    standin = target_standin.TargetStandin(
        target_settings.TargetStandinSettings('t1', service_ms=1, slots=50),
        clock.SystemClock(),
        random.Random(1),
    )
    port = await standin.start('127.0.0.1', 0)
    async with aiohttp.ClientSession() as session:
        run = paired.PairedRun(
            session,
            paired.RequestPath('direct', f'http://127.0.0.1:{port}/x', dict),
            paired.RequestPath('through', 'http://127.0.0.1:1/x', dict),
            paired.Plan(pairs=2, slice_s=0.1, body=b'x'),
            clock.SystemClock(),
        )
        pair = await run.measure(100.0)
    await standin.stop()
    assert pair.direct.latency.count == 20
    assert pair.through.failed == 20
    assert pair.failed_percent == 100
    assert 'search' in command.render(
        command.BenchReport(pair, pair, knee.Knee(None, pair, (pair,)))
    )
