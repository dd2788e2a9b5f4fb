"""Groups kept up to date by what changed, not computed anew.

The groups of all services are asked for on the path of requests, and in a
large fleet some member changes every few seconds. Scoring all members for all
services after each change would take a daemon's whole share of a core, so a
change is applied to a group by one score.
"""

import dataclasses
import heapq
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view

_MAX_GROUPS: Final = 2048
_MAX_LOG: Final = 64

_Ranked = tuple[int, ids.InstanceId]


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """The instances that one change took from a zone and brought to it."""

    gone: frozenset[ids.InstanceId]
    come: frozenset[ids.InstanceId]


@dataclasses.dataclass(slots=True)
class _Zone:
    """The serving members of a zone and its last changes."""

    serving: dict[ids.InstanceId, members.Member]
    log: list[_Step] = dataclasses.field(default_factory=list)
    changes: int = 0

    def set_serving(
        self,
        serving: dict[ids.InstanceId, members.Member],
    ) -> None:
        """Take over the members and note what changed."""
        gone = frozenset(self.serving.keys() - serving.keys())
        come = frozenset(serving.keys() - self.serving.keys())
        self.serving = serving
        if gone or come:
            self.log.append(_Step(gone, come))
            self.log = self.log[-_MAX_LOG:]
            self.changes += 1


@dataclasses.dataclass(slots=True)
class _Ranking:
    """The best of one zone for one service, after some changes of it."""

    best: list[_Ranked]
    changes: int


class GroupCache:
    """The groups of one view."""

    def __init__(self) -> None:
        """Start empty."""
        self._version: int | None = None
        self._zones: dict[ids.ZoneName, _Zone] = {}
        self._rankings: dict[tuple[str, int], dict[ids.ZoneName, _Ranking]] = {}
        self._groups: dict[tuple[str, int], tuple[members.Member, ...]] = {}

    def group(
        self,
        seen: view.View,
        service: ids.ServiceName,
        per_zone: int,
    ) -> tuple[members.Member, ...]:
        """Return the group, zone by zone in the order of their names."""
        if seen.version != self._version:
            self._take_over(seen)
        key = (service, per_zone)
        group = self._groups.get(key)
        if group is None:
            group = self._build(service, per_zone)
            self._groups[key] = group
        return group

    def _take_over(self, seen: view.View) -> None:
        self._version = seen.version
        self._groups.clear()
        grouped: dict[ids.ZoneName, dict[ids.InstanceId, members.Member]] = {
            zone: {} for zone in self._zones
        }
        for member in seen.serving():
            zone_members = grouped.setdefault(member.zone, {})
            zone_members[member.instance_id] = member
        for name, serving in grouped.items():
            self._zones.setdefault(name, _Zone({})).set_serving(serving)

    def _build(
        self,
        service: ids.ServiceName,
        per_zone: int,
    ) -> tuple[members.Member, ...]:
        key = (service, per_zone)
        if len(self._rankings) >= _MAX_GROUPS and key not in self._rankings:
            self._rankings.clear()
        rankings = self._rankings.setdefault(key, {})
        chosen: list[members.Member] = []
        for name in sorted(self._zones):
            zone = self._zones[name]
            ranking = _updated(rankings.get(name), zone, service, per_zone)
            rankings[name] = ranking
            chosen.extend(
                zone.serving[instance_id] for _, instance_id in ranking.best
            )
        return tuple(chosen)


def _updated(
    ranking: _Ranking | None,
    zone: _Zone,
    service: ids.ServiceName,
    per_zone: int,
) -> _Ranking:
    if ranking is None:
        return _from_all(zone, service, per_zone)
    behind = zone.changes - ranking.changes
    if not behind:
        return ranking
    if behind > len(zone.log):
        return _from_all(zone, service, per_zone)
    held = {instance_id for _, instance_id in ranking.best}
    steps = zone.log[-behind:]
    if any(held & step.gone for step in steps):
        return _from_all(zone, service, per_zone)
    come = {
        instance_id
        for step in steps
        for instance_id in step.come
        if instance_id in zone.serving and instance_id not in held
    }
    best = ranking.best + _ranked(zone, service, come)
    return _Ranking(heapq.nlargest(per_zone, best), zone.changes)


def _from_all(
    zone: _Zone,
    service: ids.ServiceName,
    per_zone: int,
) -> _Ranking:
    ranked = _ranked(zone, service, zone.serving)
    return _Ranking(heapq.nlargest(per_zone, ranked), zone.changes)


def _ranked(
    zone: _Zone,
    service: ids.ServiceName,
    names: Iterable[ids.InstanceId],
) -> list[_Ranked]:
    return [
        (
            rendezvous.score(service, zone.serving[instance_id].daemon_id),
            instance_id,
        )
        for instance_id in names
    ]
