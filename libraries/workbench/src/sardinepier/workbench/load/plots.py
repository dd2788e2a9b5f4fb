"""The plot of the load experiment."""

import pathlib
from typing import Final

import matplotlib as mpl
from matplotlib import figure

from sardinepier.workbench.load import runs, scenario, tally

_LOADS: Final = (30, 50, 70, 80, 90, 95, 100, 110, 130, 150)
_FULL_PERCENT: Final = 100
_SHARING_MODES: Final = (
    ('home slots and counts', True, True),
    ('counts only', True, False),
    ('neither', False, False),
)


def draw(seed: int, path: pathlib.Path, *, quick: bool) -> None:
    """Draw losses and p99 by load for each way to share the slots.

    The same seed gives the same file, byte for byte.
    """
    mpl.use('Agg')
    factory = runs.RunFactory(seed, quick)
    drawing = figure.Figure(figsize=(9, 4), layout='constrained')
    lost_axes, slow_axes = drawing.subplots(1, 2)
    for name, pooled, home_slots in _SHARING_MODES:
        figures = [
            _figures(factory, load, pooled, home_slots) for load in _LOADS
        ]
        lost_percents = [step.lost_percent for step in figures]
        p99_latencies_ms = [step.p99_ms for step in figures]
        lost_axes.plot(_LOADS, lost_percents, marker='o', label=name)
        slow_axes.plot(_LOADS, p99_latencies_ms, marker='o', label=name)
    min_lost = [
        max(0, _FULL_PERCENT - _FULL_PERCENT * _FULL_PERCENT / load)
        for load in _LOADS
    ]
    lost_axes.plot(_LOADS, min_lost, 'k:', label='least possible')
    lost_axes.set(xlabel='load, % of slots', ylabel='requests lost, %')
    slow_axes.set(xlabel='load, % of slots', ylabel='p99 latency, ms')
    lost_axes.legend()
    drawing.suptitle('Red Tesis search: 6 targets of 3 slots, 9 daemons')
    drawing.savefig(path, dpi=100, metadata={'Software': None})


def _figures(
    factory: runs.RunFactory,
    load_percent: float,
    pooled: bool,
    home_slots: bool,
) -> tally.Figures:
    run = factory.run(
        scenario.SEARCH,
        load_percent,
        pooled=pooled,
        home_slots=home_slots,
    )
    return tally.figures(run.counts.ended)
