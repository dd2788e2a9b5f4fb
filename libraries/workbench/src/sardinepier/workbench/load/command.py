"""The command ``sardinepier-workbench experiment load``."""

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

    They come from simulated daemons and targets with the real routing
    objects, and are the same for the same ``seed``; only the cost of a
    decision is measured with the real clock. ``quick`` makes short runs,
    which test the command but give no reliable figures. With
    ``output_directory`` the tables are also written to ``load.md`` there, and
    the figure to ``load.png``.
    """
    comparison_tables = comparisons.Comparisons(seed, quick)
    incident_tables = incidents.Incidents(seed, quick)
    rendered: list[str] = []
    for make_table in (
        comparison_tables.sharing,
        comparison_tables.policies,
        comparison_tables.shapes,
        incident_tables.priorities,
        incident_tables.flood,
        incident_tables.storm,
        incident_tables.recovery,
        cost.Cost(seed, quick).table,
    ):
        text = f'{make_table().render()}\n'
        sys.stdout.write(text)
        sys.stdout.flush()
        rendered.append(text)
    if output_directory is not None:
        directory = pathlib.Path(output_directory)
        directory.mkdir(parents=True, exist_ok=True)
        directory.joinpath('load.md').write_text(''.join(rendered))
        plots.draw(seed, directory / 'load.png', quick=quick)
