"""Passing configuration, target lists and beliefs on within a zone.

Carriers beat to all daemons of their zone. Whoever sees in a beat that it is
behind asks its sender, and a carrier that takes in something newer sends it
to all at once. Everything has a version that only grows, so that loss,
repeats and reordering do no harm.
"""

import asyncio
import zlib
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.entry import model, services
from sardinepier.telemetry import logs
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    belief_telling,
    carriers,
    fitness,
    lapses,
    messages,
    packing,
    role,
    zone_load,
)

_MS_PER_S: Final = 1000
_LEAST_INTERVAL_S: Final = 0.02
"""Beats that failures bring about are so far apart at least."""


class ZoneSharing:
    """Exchanges news between one daemon and its zone.

    ``on_configuration`` is told of each configuration that came into force.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        chosen: carriers.Carriers,
        held: services.Services,
        guard: lapses.LapseGuard,
        load: zone_load.ZoneLoad,
        clock: clocks.Clock,
        on_configuration: Callable[[model.ServedConfiguration], None],
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = chosen
        self._held = held
        self._guard = guard
        self._clock = clock
        self._on_configuration = on_configuration
        self._telling = belief_telling.BeliefTelling(
            peer_network,
            chosen,
            held,
            clock,
        )
        self._role = role.Role(held, chosen, load, clock)
        self._stirred = asyncio.Event()
        peer_network.subscribe(messages.ZoneBeat, self._on_beat)
        peer_network.subscribe(messages.NewsRequest, self._on_request)
        peer_network.subscribe(messages.ConfigurationNews, self._on_news)
        peer_network.subscribe(messages.TargetsNews, self._on_targets)

    def take_configuration(self, fresh: model.ServedConfiguration) -> None:
        """Put a configuration that was read in force, and pass it on."""
        if self._take(fresh):
            self._to_all(messages.ConfigurationNews(packing.pack(fresh)))

    def take_targets(
        self,
        fresh: model.TargetList,
        *,
        asked_s: float,
        unusable: Collection[str] = (),
    ) -> None:
        """Use a target list that was read, and pass on what is new of it.

        The others are told of each reading, so that they need not read.
        ``asked_s`` is when the platform was asked for it.
        ``unusable`` are the names of targets whose entries can't be read.
        """
        before = self._held.targets
        complete = self._guard.complete(
            before,
            fresh,
            asked_s=asked_s,
            unusable=unusable,
        )
        age_ms = round((self._clock.monotonic_s() - asked_s) * _MS_PER_S)
        if self._held.offer_targets(complete):
            self._to_all(messages.TargetsNews(complete, age_ms))
        else:
            self._to_all(self._beat(reading_age_ms=age_ms))

    def stir(self) -> None:
        """Beat soon: a target has just failed."""
        self._stirred.set()

    async def run(self) -> None:
        """Beat while this daemon is a carrier, until cancelled.

        Others tell the carriers what they see.
        """
        while True:
            self._stirred.clear()
            self.step()
            began_s = self._clock.monotonic_s()
            await asyncio.sleep(_LEAST_INTERVAL_S)
            slept_s = self._clock.monotonic_s() - began_s
            self._role.load.woke(slept_s - _LEAST_INTERVAL_S)
            await self._wait()

    def step(self) -> None:
        """Beat or report once, by what this daemon is now."""
        if self._role.step():
            self._to_all(self._beat(hands_over=True))
        elif self._carriers.is_carrier():
            self._to_all(self._beat())
        else:
            self._telling.to_carriers()
        if self._carriers.is_first():
            self._telling.to_other_zones()

    async def _wait(self) -> None:
        left_s = fitness.BEAT_INTERVAL_S - _LEAST_INTERVAL_S
        try:
            async with asyncio.timeout(left_s):
                await self._stirred.wait()
        except TimeoutError:
            return

    def _beat(
        self,
        *,
        reading_age_ms: int | None = None,
        hands_over: bool = False,
    ) -> messages.ZoneBeat:
        return messages.ZoneBeat(
            *self._held.versions(),
            targets_digest=self._held.targets_digest,
            reading_age_ms=reading_age_ms,
            beliefs=self._telling.for_own_zone(),
            hands_over=hands_over,
            load=self._role.load.own(),
            carriers=self._carriers.count,
        )

    def _to_all(self, message: wire_messages.Message) -> None:
        for member in self._carriers.neighbours():
            self._network.send(member.peer_address, message)

    def _on_beat(
        self,
        sender: wire_messages.Sender,
        beat: messages.ZoneBeat,
    ) -> None:
        self._carriers.heard(sender.instance_id, beat.carriers)
        self._role.load.heard(sender.instance_id, beat.load)
        if beat.hands_over:
            self._carriers.fitness.stands_down(sender.instance_id)
        version, revision = self._held.versions()
        is_behind = beat.configuration_version > version
        lacks_targets = (
            beat.targets_digest != self._held.targets_digest
            and beat.targets_revision >= revision
        )
        if is_behind or lacks_targets:
            self._network.send(
                sender.address,
                messages.NewsRequest(version, revision),
            )
        self._heard_reading(beat.reading_age_ms)
        self._telling.take_from_zone(beat.beliefs)

    def _on_request(
        self,
        sender: wire_messages.Sender,
        request: messages.NewsRequest,
    ) -> None:
        version, revision = self._held.versions()
        configuration = self._held.configuration
        targets = self._held.targets
        if configuration and version > request.configuration_version:
            self._network.send(
                sender.address,
                messages.ConfigurationNews(packing.pack(configuration)),
            )
        if targets and revision >= request.targets_revision:
            self._network.send(sender.address, messages.TargetsNews(targets))

    def _on_news(
        self,
        sender: wire_messages.Sender,
        news: messages.ConfigurationNews,
    ) -> None:
        try:
            configuration = packing.unpack(news.packed)
        except (zlib.error, msgspec.DecodeError) as error:
            logs.failure('news-damaged', error, sender=sender.instance_id)
            return
        self._take(configuration)

    def _on_targets(
        self,
        sender: wire_messages.Sender,
        news: messages.TargetsNews,
    ) -> None:
        self._heard_reading(news.reading_age_ms)
        self._held.offer_targets(news.targets)

    def _heard_reading(self, age_ms: int | None) -> None:
        if age_ms is not None:
            self._guard.heard(age_ms / _MS_PER_S)

    def _take(self, configuration: model.ServedConfiguration) -> bool:
        if not self._held.offer_configuration(configuration):
            return False
        self._on_configuration(configuration)
        return True
