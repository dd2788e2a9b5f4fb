"""The load part of the experiment, as a command."""

import pathlib
import sys

from sardinepier.workbench.load import (
    comparisons,
    cost,
    incidents,
    plots,
)


def run(
    seed: int = 1,
    quick: bool = False,
    output_directory: str | None = None,
) -> None:
    """Print the tables of the policy under load.

    They come from simulated daemons and targets around the real routing
    objects, the same for the same ``seed``; only the cost of a decision is
    measured with the real clock. ``quick`` makes short runs, which show that
    it works rather than figures to go by. With ``output_directory`` the
    tables are also written to ``load.md`` there, and the figure to
    ``load.png``.
    """
    compared = comparisons.Comparisons(seed, quick)
    happened = incidents.Incidents(seed, quick)
    rendered: list[str] = []
    for make in (
        compared.sharing,
        compared.policies,
        compared.shapes,
        happened.priorities,
        happened.flood,
        happened.storm,
        happened.recovery,
        cost.Cost(seed, quick).table,
    ):
        text = f'{make().render()}\n'
        sys.stdout.write(text)
        sys.stdout.flush()
        rendered.append(text)
    if output_directory is not None:
        directory = pathlib.Path(output_directory)
        directory.mkdir(parents=True, exist_ok=True)
        directory.joinpath('load.md').write_text(''.join(rendered))
        plots.draw(seed, directory / 'load.png', quick=quick)
