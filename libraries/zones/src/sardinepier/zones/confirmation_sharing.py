"""Requests to other daemons for the age of the newest confirmation.

Daemons that read the platform confirm the configuration with each snapshot. All
others periodically request the confirmation of a carrier of their zone, and of
further daemons if that one has none: the platform may refuse this daemon, or a
whole zone.
"""

import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import service_registry
from sardinepier.telemetry import logs
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import carriers, events, messages, ranking

_REQUEST_AFTER_S: Final = 1.2
"""Age after which a confirmation is requested of a carrier of the zone.
Carriers read each second and query each other, so that theirs is at most two
seconds old."""

_REQUEST_WIDELY_AFTER_S: Final = 2.4
"""Age after which further daemons are queried: half of the shortest time in
which a revoked key has to stop working."""

_REQUEST_INTERVAL_S: Final = 0.2
_MAX_RANDOM_PEERS: Final = 2
"""Random daemons of the zone that are queried in addition to its carriers."""

_MS_PER_S: Final = 1000


class ConfirmationSharing:
    """Renews the confirmation of one daemon, and answers requests of others.

    For example::

        confirmations = ConfirmationSharing(
            network, carriers, services, clock, random
        )
        confirmations.step()  # with each heartbeat
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = zone_carriers
        self._services = services
        self._clock = clock
        self._random = random_source
        self._next_request_s = clock.monotonic_s()
        self._was_valid = True
        peer_network.subscribe(messages.ConfirmationRequest, self._on_request)
        peer_network.subscribe(messages.ConfirmationReply, self._on_reply)

    def step(self) -> None:
        """Request a confirmation if it is due and none was just requested."""
        confirmation = self._services.confirmation
        now_s = self._clock.monotonic_s()
        if confirmation.is_needed:
            self._log_change()
        if not confirmation.is_needed or now_s < self._next_request_s:
            return
        age_s = confirmation.age_s()
        if age_s is not None and age_s < _REQUEST_AFTER_S:
            return
        self._next_request_s = now_s + _REQUEST_INTERVAL_S
        is_old = age_s is None or age_s > _REQUEST_WIDELY_AFTER_S
        request = messages.ConfirmationRequest(
            int(confirmation.now_s() * _MS_PER_S),
        )
        for member in self._many_daemons() if is_old else self._other_carrier():
            self._network.send(member.peer_address, request)

    def _log_change(self) -> None:
        confirmation = self._services.confirmation
        is_valid = confirmation.is_valid()
        age_s = confirmation.age_s()
        if is_valid == self._was_valid or age_s is None:
            return
        self._was_valid = is_valid
        age_ms = int(age_s * _MS_PER_S)
        if is_valid:
            logs.write(events.ConfirmationRegained(age_ms))
        else:
            logs.write(
                events.ConfirmationLost(age_ms),
                level=logs.Level.WARNING,
            )

    def _other_carrier(self) -> ranking.Members:
        """Return a random other carrier of the zone, if there is one."""
        other_carriers = carriers.other_carriers(self._carriers)
        return (
            (self._random.choice(other_carriers),)
            if other_carriers
            else self._many_daemons()
        )

    def _many_daemons(self) -> ranking.Members:
        zone_peers = self._carriers.zone_peers()
        random_peers = self._random.sample(
            zone_peers,
            min(_MAX_RANDOM_PEERS, len(zone_peers)),
        )
        return (
            *carriers.other_carriers(self._carriers),
            *self._carriers.of_other_zones(),
            *random_peers,
        )

    def _on_request(
        self,
        sender: wire_messages.Sender,
        request: messages.ConfirmationRequest,
    ) -> None:
        """Reply, unless this daemon's own confirmation has expired."""
        confirmation = self._services.confirmation
        age_s = confirmation.age_s()
        if age_s is None or not confirmation.is_valid():
            return
        version, _ = self._services.versions()
        self._network.send(
            sender.address,
            messages.ConfirmationReply(
                request.requested_ms,
                # Rounded up: a reported age must not be below the real one.
                int(age_s * _MS_PER_S) + 1,
                version,
            ),
        )

    def _on_reply(
        self,
        sender: wire_messages.Sender,
        reply: messages.ConfirmationReply,
    ) -> None:
        """Apply a confirmation, unless this daemon lacks its version.

        A heartbeat announces that version, and the next request confirms it.
        """
        version, _ = self._services.versions()
        if reply.configuration_version <= version:
            confirmed_ms = reply.requested_ms - reply.age_ms
            self._services.confirmation.confirm(confirmed_ms / _MS_PER_S)
