"""Markdown tables of the load experiment."""

import dataclasses
from collections.abc import Sequence
from typing import Final

from sardinepier.workbench.load import simulation, tally


@dataclasses.dataclass(frozen=True)
class Table:
    """A table with a title."""

    title: str
    header: Sequence[str]
    rows: Sequence[Sequence[str]]

    def render(self) -> str:
        """Return the table as Markdown."""
        lines = [
            f'### {self.title}',
            '',
            _line(self.header),
            _line(['---' for _ in self.header]),
            *(_line(row) for row in self.rows),
        ]
        return '\n'.join((*lines, ''))


LATENCY_HEADER: Final = ('lost %', 'p50 ms', 'p99 ms')

RUN_HEADER: Final = (
    *LATENCY_HEADER,
    'slot use %',
    'attempts a request',
    'shed replies a request',
    'cut off while running',
)


def run_cells(run: simulation.Simulation) -> list[str]:
    """Return the figures of a whole run, for :data:`RUN_HEADER`."""
    ended = run.counts.ended
    cut_off = sum(
        request.outcome is tally.Outcome.TIMED_OUT for request in ended
    )
    return [
        *latency_cells(ended),
        f'{run.slot_use_percent():.1f}',
        f'{run.counts.amplification():.3f}',
        f'{run.counts.sheds / len(ended):.3f}',
        f'{cut_off}',
    ]


def latency_cells(ended: list[tally.EndedRequest]) -> list[str]:
    """Return lost percent, p50 and p99 of some requests."""
    figures = tally.figures(ended)
    return [
        f'{figures.lost_percent:.2f}',
        f'{figures.p50_ms:.0f}',
        f'{figures.p99_ms:.0f}',
    ]


def _line(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'
