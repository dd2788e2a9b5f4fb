"""Selects what the daemons of one zone are told of this daemon's requests.

The own zone is told of all of them. Bytes to another zone are expensive, so that
it is only told what it can use: the requests in flight at its own targets, and
those at this zone's targets of a service that is so busy that the other zone
may come to send there, too.
"""

from collections.abc import Iterable, Mapping
from typing import Final, TypeVar

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import (
    service_pool,
    service_registry,
    waiting_elsewhere,
)
from sardinepier.zones import messages, slot_packing, target_index

_BUSY_SHARE: Final = 0.5
"""Share of the slots of this zone's usable targets in use from which requests
of other zones may find one full."""

_FULL_INTERVAL_S: Final = 0.7
"""Minimum interval of full reports, just below that of three heartbeats.
Receivers that missed a report wait for the next full one, which has to come
before the earlier counts expire."""

_CONFIRM_INTERVAL_S: Final = 0.45
"""Time after which counts are confirmed that did not change, just before they
start to lose their weight (:class:`sardinepier.entry.use_elsewhere.PeerReport`)
"""

_KeyT = TypeVar('_KeyT')
_Waiting = tuple[int, int]
"""The index of a service, and a priority."""


class SlotUpdates:
    """The reports of this daemon to the daemons of one zone."""

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        own_zone: ids.ZoneName,
        zone: ids.ZoneName,
    ) -> None:
        """Report to daemons of ``zone``; start with a full report."""
        self._services = services
        self._clock = clock
        self._own_zone = own_zone
        self._zone = zone
        self._receivers: frozenset[ids.InstanceId] = frozenset()
        self._sent_in_flight: dict[int, int] = {}
        self._sent_waiting: dict[_Waiting, int] = {}
        self._sequence = 0
        self._digest = 0
        self._full_due_s = 0.0
        self._confirm_due_s = 0.0

    def collect(
        self,
        receivers: frozenset[ids.InstanceId],
        index: target_index.TargetIndex,
    ) -> messages.SlotUse | None:
        """Return the report that is due to all ``receivers``, if any.

        None is due while nothing is in flight and nothing waits, once the
        receivers were told so.
        """
        in_flight = self._in_flight(index)
        waiting = self._waiting(index)
        if not (
            in_flight or waiting or self._sent_in_flight or self._sent_waiting
        ):
            return None
        now_s = self._now_s()
        is_full = (
            now_s >= self._full_due_s
            or self._digest != index.digest
            or not receivers <= self._receivers
        )
        self._receivers = receivers
        if is_full:
            self._sent_in_flight = {}
            self._sent_waiting = {}
            self._digest = index.digest
            self._full_due_s = now_s + _FULL_INTERVAL_S
        changed_in_flight = _changes(self._sent_in_flight, in_flight)
        changed_waiting = _changes(self._sent_waiting, waiting)
        self._sent_in_flight = in_flight
        self._sent_waiting = waiting
        is_new = is_full or changed_in_flight or changed_waiting
        if not is_new and now_s < self._confirm_due_s:
            return None
        self._confirm_due_s = now_s + _CONFIRM_INTERVAL_S
        self._sequence = (self._sequence + 1) % messages.SEQUENCE_NUMBERS
        return messages.SlotUse(
            index.digest,
            self._sequence,
            is_full,
            slot_packing.pack(changed_in_flight),
            tuple(
                messages.WaitingCount(service, priority, count)
                for (service, priority), count in changed_waiting.items()
            ),
        )

    def _in_flight(self, index: target_index.TargetIndex) -> dict[int, int]:
        in_flight = {}
        for pool in self._services.pools():
            zones = self._reported_zones(pool)
            for record in pool.targets.records():
                place = index.place_of(record.listed.target_id)
                count = record.own_in_flight()
                is_reported = zones is None or record.listed.zone in zones
                if count and place is not None and is_reported:
                    in_flight[place] = count
        return in_flight

    def _reported_zones(
        self,
        pool: service_pool.ServicePool,
    ) -> Iterable[ids.ZoneName] | None:
        """Return the zones whose targets are reported, None for all."""
        if self._zone == self._own_zone:
            return None
        if self._is_busy(pool):
            return (self._zone, self._own_zone)
        return (self._zone,)

    def _is_busy(self, pool: service_pool.ServicePool) -> bool:
        now_s = self._now_s()
        slots = 0
        used = 0
        for record in pool.targets.records():
            if (
                record.listed.zone == self._own_zone
                and waiting_elsewhere.is_usable(
                    record, now_s, pool.typical_latency_s
                )
            ):
                slots += record.listed.slots
                used += record.in_flight(now_s)
        return used >= _BUSY_SHARE * slots

    def _waiting(self, index: target_index.TargetIndex) -> dict[_Waiting, int]:
        waiting = {}
        for service, name in enumerate(index.services):
            pool = self._services.pool(name)
            for priority, count in _waiting_for_slots(pool, self._now_s()):
                waiting[(service, priority)] = count
        return waiting

    def _now_s(self) -> float:
        return self._clock.monotonic_s()


def _waiting_for_slots(
    pool: service_pool.ServicePool,
    now_s: float,
) -> Iterable[tuple[int, int]]:
    """Return how many requests wait for want of a free slot, by priority.

    While a usable target has a free slot, none does: those that wait all the
    same can't use it, so that other daemons need not leave it to them.
    """
    waiting = pool.waiting_by_priority()
    if waiting and waiting_elsewhere.has_usable_slot(
        pool.targets.records(), now_s, pool.typical_latency_s
    ):
        return ()
    return waiting.items()


def _changes(
    sent: Mapping[_KeyT, int],
    current: Mapping[_KeyT, int],
) -> dict[_KeyT, int]:
    changed = {
        key: count for key, count in current.items() if sent.get(key) != count
    }
    changed.update((key, 0) for key in sent if key not in current)
    return changed
