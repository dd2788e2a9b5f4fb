"""The parts of an entry instance that relay requests between daemons."""

import random

from sardinepier.core import ids
from sardinepier.daemon import entry_settings
from sardinepier.entry import (
    caller_server,
    context,
    relay_http,
    relay_service,
    relaying,
)
from sardinepier.membership import members, view
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, relay_peers


class Relays:
    """Relays requests to other daemons, and accepts those that they relay."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        shared: context.EntryContext,
        zone_carriers: carriers.Carriers,
        fleet: view.View,
        random_source: random.Random,
    ) -> None:
        """Build the parts; nothing is opened yet."""
        self._address = settings.relay
        self._fleet = fleet
        self.relaying: relaying.Relaying | None = None
        if settings.relay is not None:
            self.relaying = relaying.Relaying(
                shared,
                relay_peers.RelayPeers(zone_carriers, random_source),
                relay_http.HttpTransport(shared),
            )
        handler = relay_http.RelayHandler(
            shared, relay_service.RelayService(shared), self._is_member
        )
        self._server = caller_server.HttpServer(handler.handle, handler.bounds)

    async def open(self) -> None:
        """Accept relayed requests, if there is a free address for them."""
        if self._address is None:
            return
        try:
            await self._server.start(self._address.ip, self._address.port)
        except OSError as error:
            logs.failure('relays-unavailable', error)

    async def close(self, within_s: float) -> int:
        """Close the connections of other daemons, after their answers.

        Returns how many were cut off after ``within_s`` seconds.
        """
        return await self._server.close(within_s)

    def _is_member(self, instance_id: ids.InstanceId) -> bool:
        member = self._fleet.find(instance_id)
        return (
            member is not None and member.state is not members.MemberState.DEAD
        )
