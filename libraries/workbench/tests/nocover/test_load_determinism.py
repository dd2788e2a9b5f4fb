"""Tests that the load experiment gives the same figures in every process."""

import os
import subprocess
import sys

import pytest

_PROGRAM = """
from sardinepier.workbench.load import scenario, simulation
phases = (scenario.Phase(5, 80),)
setup = scenario.Scenario(scenario.SEARCH, phases, first_daemon_weight=3)
run = simulation.Simulation(setup)
print(sum(request.latency_s for request in run.run().ended), run.counts.sheds)
"""


@pytest.mark.processes
def test_the_hash_seed_does_not_change_the_figures():
    printed = {
        subprocess.run(
            [sys.executable, '-c', _PROGRAM],
            env={**os.environ, 'PYTHONHASHSEED': hash_seed},
            check=True,
            capture_output=True,
            text=True,
            timeout=120,
        ).stdout
        for hash_seed in ('1', '2', '3')
    }
    assert len(printed) == 1
    assert printed != {'0.0 0\n'}
