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

_ANNOUNCEMENT_S: Final = 2.0
"""Added to the time of serving, because a peer that has not yet received the
announcement of the exit may still return this address to callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class GracefulShutdown:
    """Leaves the fleet without cutting off a request.

    The daemon first announces its exit to its peers, so that no new answer to
    an address request names it. It keeps accepting connections until the
    addresses returned before have expired, then stops listening and finishes
    the requests in flight. After that, or half of the grace time, it refuses
    requests that could outlast it.
    """

    server: server.CallerServer
    activity: activity.Activity
    membership: membership.Membership
    clock: clocks.Clock
    record: Callable[[events.Event], None]
    set_state: Callable[[status_document.DaemonState], None]

    async def run(self, fleet: model.FleetSettings, reason: str) -> None:
        """Return when all requests are finished or cut off.

        Takes ``shutdown_grace_s`` at most. Requests that are unfinished by
        then are cut off, and their number is recorded in the timeline.
        """
        now_s = self.clock.monotonic_s()
        grace_s = fleet.shutdown_grace_s
        drain_s = min(fleet.addresses_valid_s + _ANNOUNCEMENT_S, grace_s)
        deadline_s = now_s + grace_s
        self.set_state(status_document.DaemonState.DRAINING)
        self.record(
            daemon_events.DaemonDraining(
                reason,
                self.activity.in_flight,
                fleet.shutdown_grace_s,
            ),
        )
        self.membership.announce_leaving()
        self.server.begin_draining(
            now_s + min(drain_s, grace_s / 2), deadline_s
        )
        await asyncio.sleep(drain_s)
        in_flight = self.activity.in_flight
        left_s = max(0.0, deadline_s - self.clock.monotonic_s())
        unfinished = await self.server.close(left_s)
        self.set_state(status_document.DaemonState.STOPPED)
        self.record(
            daemon_events.DaemonStopped(in_flight - unfinished, unfinished),
        )
