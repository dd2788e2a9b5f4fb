"""The figure of the load experiment."""

import pathlib
from typing import Final

import matplotlib as mpl
from matplotlib import figure

from sardinepier.workbench.load import runs, scenario, tally

_LOADS: Final = (30, 50, 70, 80, 90, 95, 100, 110, 130, 150)
_FULL: Final = 100
_WAYS: Final = (
    ('home slots and counts', True, True),
    ('counts only', True, False),
    ('neither', False, False),
)


def draw(seed: int, path: pathlib.Path, *, quick: bool) -> None:
    """Draw losses and p99 against load for the ways to share slots.

    The same seed draws the same file, byte for byte.
    """
    mpl.use('Agg')
    maker = runs.RunFactory(seed, quick)
    drawing = figure.Figure(figsize=(9, 4), layout='constrained')
    lost_axes, slow_axes = drawing.subplots(1, 2)
    for name, pooled, home_slots in _WAYS:
        figures = [_figures(maker, load, pooled, home_slots) for load in _LOADS]
        lost = [one.lost_percent for one in figures]
        slow = [one.p99_ms for one in figures]
        lost_axes.plot(_LOADS, lost, marker='o', label=name)
        slow_axes.plot(_LOADS, slow, marker='o', label=name)
    least = [max(0, _FULL - _FULL * _FULL / load) for load in _LOADS]
    lost_axes.plot(_LOADS, least, 'k:', label='least possible')
    lost_axes.set(xlabel='load, % of slots', ylabel='requests lost, %')
    slow_axes.set(xlabel='load, % of slots', ylabel='p99 latency, ms')
    lost_axes.legend()
    drawing.suptitle('Red Tesis search: 6 targets of 3 slots, 9 daemons')
    drawing.savefig(path, dpi=100, metadata={'Software': None})


def _figures(
    maker: runs.RunFactory,
    load_percent: float,
    pooled: bool,
    home_slots: bool,
) -> tally.Figures:
    run = maker.run(
        scenario.SEARCH,
        load_percent,
        pooled=pooled,
        home_slots=home_slots,
    )
    return tally.figures(run.counts.ended)
