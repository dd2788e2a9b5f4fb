"""Asking other daemons how long ago the configuration was confirmed.

Those that read the platform confirm it with each reading. All others ask a
carrier of their zone now and then, and further daemons when that one does not
know: the platform may turn this daemon away, or a whole zone.
"""

import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import service_registry
from sardinepier.telemetry import logs
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import carriers, events, messages, ranking

_RENEW_S: Final = 1.2
"""Age after which a carrier of the zone is asked. Carriers read each second and
ask each other, so that what they tell is at most two seconds old."""

_WIDER_S: Final = 2.4
"""Age after which others are asked, too: half of the shortest bound in which a
key has to stop working."""

_ASK_AGAIN_S: Final = 0.2
_MOST_NEIGHBOURS: Final = 2
"""Daemons of the zone, drawn at random, that are asked beside its carriers."""

_MS_PER_S: Final = 1000


class ConfirmationSharing:
    """Keeps the confirmation of one daemon young, and tells it to others.

    For example::

        confirming = Confirming(network, carriers, services, clock, random)
        confirming.step()  # with each beat
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        chosen: carriers.Carriers,
        held: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = chosen
        self._held = held
        self._clock = clock
        self._random = random_source
        self._ask_again_s = clock.monotonic_s()
        self._was_valid = True
        peer_network.subscribe(messages.ConfirmationRequest, self._on_request)
        peer_network.subscribe(messages.ConfirmationReply, self._on_reply)

    def step(self) -> None:
        """Ask if the confirmation grows old and no question is on its way."""
        held = self._held.confirmation
        now_s = self._clock.monotonic_s()
        if held.is_needed:
            self._tell_change()
        if not held.is_needed or now_s < self._ask_again_s:
            return
        age_s = held.age_s()
        if age_s is not None and age_s < _RENEW_S:
            return
        self._ask_again_s = now_s + _ASK_AGAIN_S
        is_old = age_s is None or age_s > _WIDER_S
        question = messages.ConfirmationRequest(
            int(held.now_s() * _MS_PER_S),
        )
        for member in self._wider() if is_old else self._carrier():
            self._network.send(member.peer_address, question)

    def _tell_change(self) -> None:
        held = self._held.confirmation
        is_valid = held.is_valid()
        age_s = held.age_s()
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

    def _carrier(self) -> ranking.Members:
        """Return one of the other carriers of the zone, if there are any."""
        others = carriers.other_carriers(self._carriers)
        return (self._random.choice(others),) if others else self._wider()

    def _wider(self) -> ranking.Members:
        zone_peers = self._carriers.zone_peers()
        drawn = self._random.sample(
            zone_peers,
            min(_MOST_NEIGHBOURS, len(zone_peers)),
        )
        return (
            *carriers.other_carriers(self._carriers),
            *self._carriers.of_other_zones(),
            *drawn,
        )

    def _on_request(
        self,
        sender: wire_messages.Sender,
        request: messages.ConfirmationRequest,
    ) -> None:
        """Answer, unless this daemon's own confirmation ran out."""
        held = self._held.confirmation
        age_s = held.age_s()
        if age_s is None or not held.is_valid():
            return
        version, _ = self._held.versions()
        self._network.send(
            sender.address,
            messages.ConfirmationReply(
                request.asked_ms,
                # Rounded up: an age may seem older than it is, not younger.
                int(age_s * _MS_PER_S) + 1,
                version,
            ),
        )

    def _on_reply(
        self,
        sender: wire_messages.Sender,
        reply: messages.ConfirmationReply,
    ) -> None:
        """Take the confirmation, unless it is of a version not held here.

        Beats bring that version, and the next question its confirmation.
        """
        version, _ = self._held.versions()
        if reply.configuration_version <= version:
            confirmed_ms = reply.asked_ms - reply.age_ms
            self._held.confirmation.confirm(confirmed_ms / _MS_PER_S)
