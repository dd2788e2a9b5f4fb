"""Which daemons judge a service, and which watch the configuration."""

import weakref
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import members, view
from sardinepier.membership.internal import group_cache

_WATCHER_KEY: Final = ids.ServiceName('/configuration')
# Views that cannot be kept as keys (such as plain test doubles) get none.
_CACHES: Final[
    'weakref.WeakKeyDictionary[view.View, group_cache.GroupCache]'
] = weakref.WeakKeyDictionary()


def service_group(
    seen: view.View,
    service: ids.ServiceName,
    per_zone: int,
) -> tuple[members.Member, ...]:
    """Return the first ``per_zone`` serving members of each zone.

    They are the best by rendezvous hashing over the names of daemons, so a
    daemon that restarts comes back to its services, and one that goes moves
    only the groups that it was in. Two views that differ give two groups.
    """
    return _cache(seen).group(seen, service, per_zone)


def watchers(
    seen: view.View,
    zone: ids.ZoneName,
    count: int,
) -> tuple[members.Member, ...]:
    """Return the ``count`` members of ``zone`` that watch the platform."""
    group = service_group(seen, _WATCHER_KEY, count)
    return tuple(member for member in group if member.zone == zone)


def _cache(seen: view.View) -> group_cache.GroupCache:
    try:
        cache = _CACHES.get(seen)
    except TypeError:
        return group_cache.GroupCache()
    if cache is None:
        cache = group_cache.GroupCache()
        _CACHES[seen] = cache
    return cache
