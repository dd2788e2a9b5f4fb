"""This daemon's requests in flight and waiting, as they are reported."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import (
    service_pool,
    service_registry,
    waiting_elsewhere,
)
from sardinepier.zones import target_index

_BUSY_SHARE: Final = 0.2
"""Share of the slots of a service's targets in the own zone that are in use from
which requests of this zone and others may meet at targets of any zone."""


_Waiting = tuple[int, int]
"""The place of a service, and a priority."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUse:
    """The requests in flight of this daemon at one target."""

    place: int
    count: int
    zone: ids.ZoneName
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class OwnUse:
    """All requests of this daemon in flight and waiting.

    ``waiting`` are counts by service and priority. ``busy`` are the services
    whose targets in the own zone are well used.
    """

    targets: tuple[TargetUse, ...]
    waiting: Mapping[_Waiting, int]
    busy: frozenset[ids.ServiceName]


def collect(
    services: service_registry.ServiceRegistry,
    index: target_index.TargetIndex,
    zone: ids.ZoneName,
    now_s: float,
) -> OwnUse:
    """Return the current requests of this daemon, which is in ``zone``."""
    targets: list[TargetUse] = []
    used: collections.Counter[ids.ServiceName] = collections.Counter()
    for pool in services.pools():
        for record in pool.targets.in_use():
            listed = record.listed
            place = index.place_of(listed.target_id)
            if place is not None:
                if listed.zone == zone:
                    used[listed.service] += record.in_flight(now_s)
                targets.append(
                    TargetUse(
                        place,
                        record.own_in_flight(),
                        listed.zone,
                        listed.service,
                    ),
                )
    return OwnUse(
        tuple(targets),
        dict(_waiting(services, index, now_s)),
        frozenset(
            service
            for service, count in used.items()
            if count >= _BUSY_SHARE * index.slots[(service, zone)]
        ),
    )


def _waiting(
    services: service_registry.ServiceRegistry,
    index: target_index.TargetIndex,
    now_s: float,
) -> Iterator[tuple[_Waiting, int]]:
    for service, name in enumerate(index.services):
        waiting = _waiting_for_slots(services.pool(name), now_s)
        for priority, count in waiting:
            yield (service, priority), count


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
