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
"""Share of the slots of a service's targets in one zone that are in use from
which requests of other zones may find a target full."""


_MIN_WAIT_S: Final = 0.2
"""Wait from which a request is reported. A slot that another daemon leaves to it
is known here after about that time. Requests that get one sooner without it would
leave the other one idle."""

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

    ``waiting`` are counts by service and priority. ``busy`` are the services and zones whose targets are well used.
    """

    targets: tuple[TargetUse, ...]
    waiting: Mapping[_Waiting, int]
    busy: frozenset[tuple[ids.ServiceName, ids.ZoneName]]


def collect(
    services: service_registry.ServiceRegistry,
    index: target_index.TargetIndex,
    now_s: float,
) -> OwnUse:
    """Return the current requests of this daemon."""
    targets: list[TargetUse] = []
    used: collections.Counter[tuple[ids.ServiceName, ids.ZoneName]] = (
        collections.Counter()
    )
    for pool in services.pools():
        for record in pool.targets.in_use():
            listed = record.listed
            place = index.place_of(listed.target_id)
            if place is not None:
                used[(listed.service, listed.zone)] += record.in_flight(now_s)
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
            group
            for group, count in used.items()
            if count >= _BUSY_SHARE * index.slots[group]
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
    waiting = pool.waiting_by_priority(_MIN_WAIT_S)
    if waiting and waiting_elsewhere.has_usable_slot(
        pool.targets.records(), now_s, pool.typical_latency_s
    ):
        return ()
    return waiting.items()
