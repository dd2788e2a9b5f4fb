"""The command ``sardinepier-workbench capacity``."""

import asyncio
import pathlib
import sys
from typing import Final

from sardinepier.workbench.capacity import fleet_command, in_process, tables

_DEFAULT_OUTPUT: Final = 'capacity-results'
_WINDOW_S: Final = 20.0


def run(
    seed: int = 1,
    quick: bool = False,
    output_directory: str = _DEFAULT_OUTPUT,
    fleet: str = '',
    measure: str = fleet_command.STEADY,
    window_s: float = _WINDOW_S,
    page: bool = False,
    **shape: str | float,
) -> None:
    """Measure the slopes of the capacity page.

    Without more, it measures within this process with the real objects, and
    then prints the tables worked out of all that lies in
    ``output_directory``. ``page`` only prints these. With the directory of a
    running ``fleet`` it takes one measurement of that: ``steady``,
    ``changes``, ``start``, ``zone`` or ``platform``; ``shape`` then says what
    runs: label, services, targets, zones. ``scripts/capacity.sh`` starts the
    fleets and calls this for each.
    """
    output = pathlib.Path(output_directory)
    if fleet:
        asyncio.run(
            fleet_command.measure(fleet, measure, window_s, output, **shape),
        )
        return
    if not page:
        in_process.measure(output, seed, quick)
    sys.stdout.write(tables.render(output))
