"""The beats of one daemon: what it tells its zone, and how often.

Carriers beat to all daemons of their zone, with their versions and what they
believe of targets. Others tell the carriers what they see.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import model, service_registry
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    estimate_sharing,
    carriers,
    confirmation_sharing,
    availability,
    expired_entries,
    messages,
    role,
    zone_load,
)
from sardinepier.zones import limit_parts as parts
from sardinepier.zones import updates as zone_updates
from sardinepier.zones import usage_sharing

_LEAST_INTERVAL_S: Final = 0.02
"""Beats that failures bring about are so far apart at least."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Notice:
    """What a beat tells beside what its sender holds and believes."""

    reading_age_ms: int | None = None
    hands_over: bool = False


_NOTHING: Final = _Notice()


class ZoneSharing:
    """Exchanges news between one daemon and its zone.

    ``on_configuration`` is told of each configuration that came into force.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        chosen: carriers.Carriers,
        held: service_registry.ServiceRegistry,
        guard: expired_entries.ExpiredEntryGuard,
        load: zone_load.ZoneLoad,
        clock: clocks.Clock,
        random_source: random.Random,
        on_configuration: Callable[[model.ServedConfiguration], None],
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._carriers = chosen
        self._held = held
        self._clock = clock
        self._news = zone_updates.ZoneUpdates(
            peer_network,
            chosen,
            held,
            guard,
            clock,
            on_configuration,
        )
        self._telling = estimate_sharing.EstimateSharing(
            peer_network,
            chosen,
            held,
            clock,
        )
        self._confirming = confirmation_sharing.ConfirmationSharing(
            peer_network,
            chosen,
            held,
            clock,
            random_source,
        )
        self._usage = usage_sharing.UsageSharing(
            peer_network,
            chosen,
            held,
            clock,
        )
        self._limit_parts = parts.LimitParts(held, chosen)
        self._role = role.Role(held, chosen, load, clock)
        self._stirred = asyncio.Event()
        peer_network.subscribe(messages.ZoneBeat, self._on_beat)

    def take_configuration(self, fresh: model.ServedConfiguration) -> None:
        """Put a configuration that was read in force, and pass it on."""
        self._news.take_configuration(fresh)

    def take_targets(
        self,
        fresh: model.TargetList,
        *,
        asked_s: float,
        unusable: Collection[str] = (),
    ) -> None:
        """Use a target list that was read, and pass on what is new of it.

        The others are told of each reading, so that they need not read.
        ``asked_s`` is when the platform was asked for it. ``unusable`` are the
        names of targets whose entries can't be read.
        """
        age_ms = self._news.take_targets(
            fresh,
            asked_s=asked_s,
            unusable=unusable,
        )
        if age_ms is not None:
            self._beat_to_all(_Notice(reading_age_ms=age_ms))

    def request_early_beat(self) -> None:
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
            self._beat_to_all(_Notice(hands_over=True))
        elif self._carriers.is_carrier():
            self._beat_to_all()
        else:
            self._telling.to_carriers()
        self._exchange_with_other_zones()
        self._confirming.step()
        self._usage.step()
        self._limit_parts.assign()

    def _exchange_with_other_zones(self) -> None:
        """Tell them what is new, and take over the turns of lost ones.

        First carriers alone hear of other zones.
        """
        unreachable_zones = self._telling.unreachable_zones
        if self._carriers.is_first():
            self._telling.to_other_zones()
        else:
            unreachable_zones.forget()
        self._held.set_unreachable_zones(unreachable_zones.names())

    async def _wait(self) -> None:
        left_s = availability.BEAT_INTERVAL_S - _LEAST_INTERVAL_S
        try:
            async with asyncio.timeout(left_s):
                await self._stirred.wait()
        except TimeoutError:
            return

    def _beat_to_all(self, notice: _Notice = _NOTHING) -> None:
        self._news.to_all(self._beat(notice))

    def _beat(self, notice: _Notice) -> messages.ZoneBeat:
        return messages.ZoneBeat(
            *self._held.versions(),
            targets_digest=self._held.targets_digest,
            reading_age_ms=notice.reading_age_ms,
            beliefs=self._telling.for_own_zone(),
            hands_over=notice.hands_over,
            load=self._role.load.own(),
            carriers=self._carriers.count,
            stated=self._telling.stated_for_own_zone(),
        )

    def _on_beat(
        self,
        sender: wire_messages.Sender,
        beat: messages.ZoneBeat,
    ) -> None:
        self._carriers.heard(sender.instance_id, beat.carriers)
        self._role.load.heard(sender.instance_id, beat.load)
        if beat.hands_over:
            self._carriers.fitness.stands_down(sender.instance_id)
        self._news.compare(sender, beat)
        self._telling.take_from_zone(beat)
