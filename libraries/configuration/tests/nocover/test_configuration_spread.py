"""Measures how fast a change spreads, and its cost, by fleet size.

Run with ``-s`` to see the measurements. Time is virtual: it includes delays
of links and timers, but no processor time.
"""

import copy
import sys

import pytest

from sardinepier.core import ids
from sardinepier.wire import memory_network

_LINKS = memory_network.LinkFaults(loss=0.02, delay_s=0.01, reorder_s=0.02)
_LIMIT_S = 8


def _spread(fleet, name):
    """Publish and return each daemon's delay until it has it, sorted."""
    started_s = fleet.loop.time()
    revision = fleet.publish(name)
    fleet.run_until(lambda: fleet.all_have(name, revision), _LIMIT_S)
    arrivals_s = sorted(
        daemon.arrived_s[(name, revision)] for daemon in fleet.daemons.values()
    )
    return [arrived_s - started_s for arrived_s in arrivals_s]


@pytest.mark.parametrize('count', [48, 200, 800])
def test_change_reaches_all_daemons_within_the_limit(support, count):
    fleet = support.make(count)
    fleet.settle()
    fleet.run(5)
    fleet.hub.faults = _LINKS
    runs = []
    for _ in range(3):
        runs.append(_spread(fleet, support.service))
        fleet.run(2)
    half_s = max(times[count // 2] for times in runs)
    last_s = max(times[-1] for times in runs)
    sys.stdout.write(
        f'{count} daemons: half after {half_s:.2f} s, all after {last_s:.2f} s\n',
    )
    assert last_s < _LIMIT_S


@pytest.mark.parametrize('count', [12, 48])
def test_restart_of_all_daemons_together_makes_few_platform_calls(
    support, count
):
    fleet = support.make(count)
    fleet.publish(support.fleet)
    for number in range(100):
        last = fleet.publish(ids.FileName(f'service/s{number}'))
    name = ids.FileName('service/s99')
    fleet.run_until(lambda: fleet.all_have(name, last), 30)
    before = copy.copy(fleet.platform.counts)
    fleet.start(*range(count))
    recovery_s = fleet.run_until(lambda: fleet.all_have(name, last), 30)
    fleet.run(5)
    assert len(fleet.marks()) == 1
    files = fleet.platform.counts.files - before.files
    calls = fleet.platform.counts.total - before.total
    sys.stdout.write(
        f'{count} daemons: back after {recovery_s:.2f} s, {files} files read, '
        + f'{calls} calls\n',
    )
    assert files <= 3 * 101
    assert calls - files <= 2 * count + 100
