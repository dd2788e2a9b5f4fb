"""What callers get under the loads that the decisions are made for.

Virtual time and fixed seeds: each run gives the same figures. The bounds lie
below what the two seeds give by more than their spread.
"""

import statistics

import pytest
from sardinepier.workbench.policy import emulation, scenario

SEEDS = range(2)


def played(name):
    setup = scenario.load(name)
    return [emulation.emulate(setup, seed) for seed in SEEDS]


def mean_served(counts):
    return statistics.fmean(
        one.total.served / one.total.requests for one in counts
    )


LOADS = (
    # A third of the targets fail at any time; sure ones run short of slots.
    ('busy', 0.965),
    # The same with half of the traffic: nobody waits.
    ('calm', 0.972),
    # Without any repeatable request: trials can only be requests that count.
    ('writes', 0.955),
    # No target fails by itself: what is made for those that do costs nothing.
    ('sound', 0.985),
)


@pytest.mark.parametrize(('name', 'least'), LOADS)
def test_nearly_all_are_served(name, least):
    assert mean_served(played(name)) > least
