"""Cuts daemons off from all targets, and tells whose first tries count."""

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.workbench.policy import cut_tally, daemons, scenario

_SETTLING_S: Final = 3.0
"""How long after a cut first tries don't count."""


class Cuts:
    """The cuts of one run."""

    def __init__(self, counts: cut_tally.CutTally) -> None:
        """Count first tries in ``counts``."""
        self._counts = counts
        self._settled_s = math.inf

    def tries_at(
        self, daemon: daemons.EmulatedDaemon
    ) -> cut_tally.FirstTries | None:
        """Return where a first try counts, None unless a cut has settled."""
        if asyncio.get_running_loop().time() < self._settled_s:
            return None
        if daemon.links.is_cut:
            return self._counts.at_cut_off
        return self._counts.elsewhere

    async def play(
        self,
        disturbance: scenario.Disturbance,
        by_zone: Mapping[str, Sequence[daemons.EmulatedDaemon]],
    ) -> None:
        """Cut a share of the daemons off, carriers and their successors first."""
        affected = [
            daemon
            for zone, zone_daemons in by_zone.items()
            if zone == disturbance.zone or not disturbance.zone
            for daemon in daemons.in_order(zone_daemons)[
                : math.ceil(disturbance.share * len(zone_daemons))
            ]
        ]
        self._settled_s = asyncio.get_running_loop().time() + _SETTLING_S
        for daemon in affected:
            daemon.links.cut(disturbance.manner)
        await asyncio.sleep(disturbance.for_s)
        self._settled_s = math.inf
        for daemon in affected:
            daemon.links.heal()
