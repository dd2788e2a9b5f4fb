"""Comparisons of ways to spread load, one table each."""

import itertools
from collections.abc import Mapping
from typing import Any, Final

from sardinepier.workbench.load import runs, scenario, tables

_Variants = Mapping[str, Mapping[str, Any]]

_STANDARD_LOADS: Final = (70, 95, 150)
_SHAPE_LOADS: Final = (30, 70)
_SERVICES: Final = (scenario.SEARCH, scenario.POSTING)

_POLICIES: Final[_Variants] = {
    'least loaded of two': {},
    'round robin': {'policy': scenario.Policy.ROUND_ROBIN},
    'random': {'policy': scenario.Policy.RANDOM},
    'local first, alpha/gamma': {
        'policy': scenario.Policy.LOCAL_FIRST_PAPER,
    },
    'local first if free': {'policy': scenario.Policy.LOCAL_FIRST_FREE},
}

_SHARING: Final[_Variants] = {
    'home slots and counts': {},
    'home slots, no counts': {'pooled': False},
    'counts, no home slots': {'home_slots': False},
    'neither': {'pooled': False, 'home_slots': False},
}

_SHAPES: Final[_Variants] = {
    '9 daemons, even': {},
    '3 daemons, even': {'daemons': 3},
    '48 daemons, even': {'daemons': 48},
    '9 daemons, one with 3 times the traffic': {'first_daemon_weight': 3},
    '9 daemons, one target ejected': {'ejected_targets': 1},
    '9 daemons, reports every 500 ms': {'report_interval_ms': 500},
    '9 daemons, nothing heard': {'pooled': False},
    '9 daemons, shed requests do not wait': {'shed_waits': False},
}


class Comparisons:
    """Runs the comparisons; each method returns its table."""

    def __init__(self, seed: int, quick: bool) -> None:
        """Use ``seed`` for all runs; ``quick`` runs are shorter."""
        self._runs = runs.RunFactory(seed, quick)

    def policies(self) -> tables.Table:
        """Compare the target choosers, all with home slots and counts."""
        return self._compare('Choice of target', _POLICIES, _STANDARD_LOADS)

    def sharing(self) -> tables.Table:
        """Compare the ways in which daemons share the slots."""
        return self._compare('Sharing the slots', _SHARING, _STANDARD_LOADS)

    def shapes(self) -> tables.Table:
        """Vary the group, its traffic and the reports that daemons receive."""
        return self._compare('Groups and disturbances', _SHAPES, _SHAPE_LOADS)

    def _compare(
        self,
        title: str,
        variants: _Variants,
        loads: tuple[int, ...],
    ) -> tables.Table:
        rows: list[list[str]] = []
        for service, load_percent in itertools.product(_SERVICES, loads):
            for name, options in variants.items():
                run = self._runs.run(service, load_percent, **options)
                cells = tables.run_cells(run)
                rows.append([service.name, f'{load_percent} %', name, *cells])
        header = ('service', 'load', 'variant', *tables.RUN_HEADER)
        return tables.Table(title, header, rows)
