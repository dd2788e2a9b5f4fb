"""Passing configurations and target lists on within a zone.

Whoever reads something newer sends it to all at once: of a target list what
changed. Whoever sees in a beat that it is behind asks its sender. Everything has
a version that only grows, so that loss, repeats and reordering do no harm.
"""

import zlib
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.entry import model, service_registry
from sardinepier.telemetry import logs
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    carriers,
    expired_entries,
    messages,
    packing,
    target_changes,
)

_MS_PER_S: Final = 1000
_ASK_AGAIN_S: Final = 0.1
"""Carriers beat up to fifty times a second while targets fail, and the answer
to a question is a whole list, which takes a weak link a hundredth of a second."""


class ZoneUpdates:
    """Takes in what is newer, from the platform or from others of the zone.

    ``on_configuration`` is told of each configuration that came into force.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        chosen: carriers.Carriers,
        held: service_registry.ServiceRegistry,
        guard: expired_entries.ExpiredEntryGuard,
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
        self._ask_again_s = clock.monotonic_s()
        peer_network.subscribe(messages.NewsRequest, self._on_request)
        peer_network.subscribe(
            messages.ConfigurationNews,
            self._on_configuration_news,
        )
        peer_network.subscribe(messages.TargetsNews, self._on_targets)
        peer_network.subscribe(messages.TargetsChange, self._on_change)

    def take_configuration(self, fresh: model.ServedConfiguration) -> None:
        """Put a configuration that was read in force, and pass it on."""
        if self._take(fresh):
            self.to_all(messages.ConfigurationNews(packing.pack(fresh)))

    def take_targets(
        self,
        fresh: model.TargetList,
        *,
        asked_s: float,
        unusable: Collection[str] = (),
    ) -> int | None:
        """Use a target list that was read, and pass on what is new of it.

        ``asked_s`` is when the platform was asked for it, and ``unusable`` are
        the names of targets whose entries can't be read. Returns None if all
        were told of the reading, and else its age, in ms, to be told.
        """
        before = self._held.targets
        base_digest = self._held.targets_digest
        complete = self._guard.complete(
            before,
            fresh,
            asked_s=asked_s,
            unusable=unusable,
        )
        age_ms = round((self._clock.monotonic_s() - asked_s) * _MS_PER_S)
        if not self._held.offer_targets(complete):
            return age_ms
        if before is None:
            self.to_all(messages.TargetsNews(complete, age_ms))
            return None
        self.to_all(
            target_changes.between(
                before,
                complete,
                base_digest=base_digest,
                digest=self._held.targets_digest,
                reading_age_ms=age_ms,
            ),
        )
        return None

    def compare(
        self,
        sender: wire_messages.Sender,
        beat: messages.ZoneBeat,
    ) -> None:
        """Ask ``sender`` for what its beat shows to be newer."""
        version, revision = self._held.versions()
        lacks_targets = (
            beat.targets_digest != self._held.targets_digest
            and beat.targets_revision >= revision
        )
        if lacks_targets or beat.configuration_version > version:
            self._ask(sender)
        self._heard_reading(beat.reading_age_ms)

    def to_all(self, message: wire_messages.Message) -> None:
        """Send to all other daemons of the zone."""
        for member in self._carriers.zone_peers():
            self._network.send(member.peer_address, message)

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

    def _on_configuration_news(
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

    def _on_change(
        self,
        sender: wire_messages.Sender,
        change: messages.TargetsChange,
    ) -> None:
        self._heard_reading(change.reading_age_ms)
        held = self._held.targets
        digest = self._held.targets_digest
        if held is None or digest not in {change.base_digest, change.digest}:
            self._ask(sender)
            return
        fresh = target_changes.applied(held, change)
        if service_registry.digest_of(fresh) == change.digest:
            self._held.offer_targets(fresh)
        else:
            self._ask(sender)

    def _ask(self, sender: wire_messages.Sender) -> None:
        """Ask for what is newer, unless that was just asked for."""
        now_s = self._clock.monotonic_s()
        if now_s < self._ask_again_s:
            return
        self._ask_again_s = now_s + _ASK_AGAIN_S
        self._network.send(
            sender.address,
            messages.NewsRequest(*self._held.versions()),
        )

    def _heard_reading(self, age_ms: int | None) -> None:
        if age_ms is not None:
            self._guard.heard(age_ms / _MS_PER_S)

    def _take(self, configuration: model.ServedConfiguration) -> bool:
        if not self._held.offer_configuration(configuration):
            return False
        self._on_configuration(configuration)
        return True
