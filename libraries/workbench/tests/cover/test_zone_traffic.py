"""The simulation of traffic between zones agrees with itself."""

import asyncio

from sardinepier.workbench.zone_traffic import command, simulation
from sardinepier.workbench.policy import virtual_loop


def test_equal_seeds_give_equal_figures():
    # Guards against comparisons of two variants that differ by chance.
    runs = [command.simulate(9, 3, seed) for seed in (1, 1, 2)]
    assert runs[0] == runs[1]
    assert runs[1] != runs[2]


def test_messages_within_a_zone_are_not_counted_between_zones():
    # Guards against a break-down that charges zones for their own traffic.
    async def play():
        played = simulation.Simulation(6, 1, 0)
        played.start()
        await asyncio.sleep(3)
        sent = played.traffic()
        await played.stop()
        return sent

    sent = virtual_loop.run(play())
    assert sent.bytes.total() == sent.forwarded[True] == 0
    assert sent.within_bytes > 0
    assert sent.forwarded[False] > 0
