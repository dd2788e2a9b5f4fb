"""Service groups that are updated incrementally when the view changes.

Groups are looked up while requests are processed, and in a large fleet some
member changes every few seconds. Scoring all members for all services after
each change would use up a daemon's whole share of a core. An incremental
update computes one score per member that joined.
"""

import dataclasses
import heapq
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view

_MAX_RANKINGS: Final = 2048
_MAX_RECENT_CHANGES: Final = 64

_ScoredInstance = tuple[int, ids.InstanceId]


@dataclasses.dataclass(frozen=True, slots=True)
class _ServingChange:
    """The instances that one change removed from and added to a zone."""

    removed: frozenset[ids.InstanceId]
    added: frozenset[ids.InstanceId]


@dataclasses.dataclass(slots=True)
class _Zone:
    """The serving members of a zone and its most recent changes."""

    serving: dict[ids.InstanceId, members.Member]
    recent_changes: list[_ServingChange] = dataclasses.field(
        default_factory=list
    )
    change_count: int = 0

    def set_serving(
        self,
        serving: dict[ids.InstanceId, members.Member],
    ) -> None:
        """Replace the serving members and record the change."""
        removed = frozenset(self.serving.keys() - serving.keys())
        added = frozenset(serving.keys() - self.serving.keys())
        self.serving = serving
        if removed or added:
            self.recent_changes.append(_ServingChange(removed, added))
            self.recent_changes = self.recent_changes[-_MAX_RECENT_CHANGES:]
            self.change_count += 1


@dataclasses.dataclass(slots=True)
class _Ranking:
    """The best members of a zone for a service, as of ``change_count``."""

    best: list[_ScoredInstance]
    change_count: int


class GroupCache:
    """Caches the groups of one view."""

    def __init__(self) -> None:
        """Start with no groups."""
        self._version: int | None = None
        self._zones: dict[ids.ZoneName, _Zone] = {}
        self._rankings: dict[tuple[str, int], dict[ids.ZoneName, _Ranking]] = {}
        self._groups: dict[tuple[str, int], tuple[members.Member, ...]] = {}

    def group(
        self,
        fleet_view: view.View,
        service: ids.ServiceName,
        per_zone: int,
    ) -> tuple[members.Member, ...]:
        """Return the group, ordered by zone name and then by score."""
        if fleet_view.version != self._version:
            self._apply_view(fleet_view)
        key = (service, per_zone)
        group = self._groups.get(key)
        if group is None:
            group = self._build_group(service, per_zone)
            self._groups[key] = group
        return group

    def _apply_view(self, fleet_view: view.View) -> None:
        self._version = fleet_view.version
        self._groups.clear()
        grouped: dict[ids.ZoneName, dict[ids.InstanceId, members.Member]] = {
            zone: {} for zone in self._zones
        }
        for member in fleet_view.serving():
            zone_members = grouped.setdefault(member.zone, {})
            zone_members[member.instance_id] = member
        for name, serving in grouped.items():
            self._zones.setdefault(name, _Zone({})).set_serving(serving)

    def _build_group(
        self,
        service: ids.ServiceName,
        per_zone: int,
    ) -> tuple[members.Member, ...]:
        key = (service, per_zone)
        if len(self._rankings) >= _MAX_RANKINGS and key not in self._rankings:
            self._rankings.clear()
        rankings = self._rankings.setdefault(key, {})
        chosen: list[members.Member] = []
        for name in sorted(self._zones):
            zone = self._zones[name]
            ranking = _update_ranking(
                rankings.get(name), zone, service, per_zone
            )
            rankings[name] = ranking
            chosen.extend(
                zone.serving[instance_id] for _, instance_id in ranking.best
            )
        return tuple(chosen)


def _update_ranking(
    ranking: _Ranking | None,
    zone: _Zone,
    service: ids.ServiceName,
    per_zone: int,
) -> _Ranking:
    if ranking is None:
        return _rank_all(zone, service, per_zone)
    missed_count = zone.change_count - ranking.change_count
    if not missed_count:
        return ranking
    if missed_count > len(zone.recent_changes):
        return _rank_all(zone, service, per_zone)
    ranked_ids = {instance_id for _, instance_id in ranking.best}
    missed = zone.recent_changes[-missed_count:]
    if any(ranked_ids & change.removed for change in missed):
        return _rank_all(zone, service, per_zone)
    added = {
        instance_id
        for change in missed
        for instance_id in change.added
        if instance_id in zone.serving and instance_id not in ranked_ids
    }
    best = ranking.best + _score_members(zone, service, added)
    return _Ranking(heapq.nlargest(per_zone, best), zone.change_count)


def _rank_all(
    zone: _Zone,
    service: ids.ServiceName,
    per_zone: int,
) -> _Ranking:
    ranked = _score_members(zone, service, zone.serving)
    return _Ranking(heapq.nlargest(per_zone, ranked), zone.change_count)


def _score_members(
    zone: _Zone,
    service: ids.ServiceName,
    names: Iterable[ids.InstanceId],
) -> list[_ScoredInstance]:
    return [
        (
            rendezvous.score(service, zone.serving[instance_id].daemon_id),
            instance_id,
        )
        for instance_id in names
    ]
