"""Simulation runs with the same seed and duration."""

import dataclasses
from typing import Any, Final

from sardinepier.workbench.load import scenario, simulation

_RUN_S: Final = 40.0
_QUICK_S: Final = 1.0


class RunFactory:
    """Makes runs with one seed; they are short if ``quick``."""

    def __init__(self, seed: int, quick: bool) -> None:
        """Use ``seed`` for all runs."""
        self.seed = seed
        self.quick = quick
        self._length_s = _QUICK_S if quick else _RUN_S

    def run(
        self,
        service: scenario.Service,
        load_percent: float,
        failing_percent: float = 0,
        **options: Any,
    ) -> simulation.Simulation:
        """Run one phase at that load; ``options`` override scenario fields."""
        phase = scenario.Phase(self._length_s, load_percent, failing_percent)
        baseline = scenario.Scenario(service, (phase,), seed=self.seed)
        run = simulation.Simulation(dataclasses.replace(baseline, **options))
        run.run()
        return run
