"""Relayed requests between emulated daemons: the network is a fixed delay."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Protocol

from sardinepier.core import ids
from sardinepier.entry import caller_request, relay_messages, relaying
from sardinepier.workbench.policy import scenario


class RelayReceiver(Protocol):
    """A daemon that accepts relayed requests."""

    async def relayed(
        self,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        """Make the attempt and return its reply."""
        ...


class EmulatedTransport:
    """Hands requests of one daemon to the daemons in ``receivers``."""

    def __init__(
        self,
        setup: scenario.Scenario,
        zone: ids.ZoneName,
        receivers: Mapping[ids.InstanceId, RelayReceiver],
    ) -> None:
        """Send from a daemon of ``zone``."""
        self._setup = setup
        self._zone = zone
        self._receivers = receivers

    async def send(
        self,
        peer: relaying.Peer,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
        permit: Callable[[], None],
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        """Return the reply of ``peer``."""
        delay_s = self._setup.cross_zone_s
        if peer.zone == self._zone:
            delay_s = self._setup.in_zone_s
        permit()
        await asyncio.sleep(delay_s)
        relayed = dataclasses.replace(
            request,
            attempts=0,
            was_sent=False,
            unproved=0,
            is_abandoned=False,
            sent_to=set(),
            history=[],
        )
        reply = await self._receivers[peer.instance_id].relayed(
            relayed, attempt
        )
        await asyncio.sleep(delay_s)
        return reply
