"""Selection of the daemons that serve a service or watch the configuration."""

import weakref
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import members, view
from sardinepier.membership.internal import group_cache

_WATCHER_KEY: Final = ids.ServiceName('/configuration')
# Views that are not hashable or weakly referable (test doubles) have no cache.
_CACHES: Final[
    'weakref.WeakKeyDictionary[view.View, group_cache.GroupCache]'
] = weakref.WeakKeyDictionary()


def service_group(
    fleet_view: view.View,
    service: ids.ServiceName,
    per_zone: int,
) -> tuple[members.Member, ...]:
    """Return the first ``per_zone`` serving members of each zone.

    Members are ranked by rendezvous hashing over daemon names. A daemon that
    restarts therefore rejoins the same groups, and a daemon that leaves
    changes only the groups that it was in. Daemons whose views differ may
    compute different groups.
    """
    return _cache(fleet_view).group(fleet_view, service, per_zone)


def watchers(
    fleet_view: view.View,
    zone: ids.ZoneName,
    count: int,
) -> tuple[members.Member, ...]:
    """Return up to ``count`` members of ``zone`` that watch the platform."""
    group = service_group(fleet_view, _WATCHER_KEY, count)
    return tuple(member for member in group if member.zone == zone)


def _cache(fleet_view: view.View) -> group_cache.GroupCache:
    try:
        cache = _CACHES.get(fleet_view)
    except TypeError:
        return group_cache.GroupCache()
    if cache is None:
        cache = group_cache.GroupCache()
        _CACHES[fleet_view] = cache
    return cache
