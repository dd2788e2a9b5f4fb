"""The graceful exit of a daemon."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import status_document
from sardinepier.gateway import activity, server
from sardinepier.membership import membership
from sardinepier.settings import model
from sardinepier.telemetry import daemon_events, events

_NEWS_S: Final = 2.0
"""A peer that has not heard of the exit may still hand out this address."""


@dataclasses.dataclass(frozen=True, slots=True)
class GracefulShutdown:
    """Leaves the fleet without cutting a request.

    Peers are told first, so that no new address answer names this daemon.
    Addresses that were handed out before stay good until they run out; so it
    serves on for that long, and only then stops to listen. What is in flight
    after that is finished.
    """

    server: server.CallerServer
    activity: activity.Activity
    membership: membership.Membership
    clock: clocks.Clock
    record: Callable[[events.Event], None]
    show_state: Callable[[status_document.DaemonState], None]

    async def run(self, fleet: model.FleetSettings, reason: str) -> None:
        """Return when the daemon has nothing more to do.

        Takes ``shutdown_grace_s`` at most; whatever is unfinished then is
        cut, and the time line says how many requests that were.
        """
        deadline_s = self.clock.monotonic_s() + fleet.shutdown_grace_s
        self.show_state(status_document.DaemonState.DRAINING)
        self.record(
            daemon_events.DaemonDraining(
                reason,
                self.activity.in_flight,
                fleet.shutdown_grace_s,
            ),
        )
        self.membership.announce_leaving()
        self.server.begin_draining()
        served_s = fleet.addresses_valid_s + _NEWS_S
        await asyncio.sleep(min(served_s, fleet.shutdown_grace_s))
        in_hand = self.activity.in_flight
        left_s = max(0.0, deadline_s - self.clock.monotonic_s())
        unfinished = await self.server.close(left_s)
        self.show_state(status_document.DaemonState.STOPPED)
        self.record(
            daemon_events.DaemonStopped(in_hand - unfinished, unfinished),
        )
