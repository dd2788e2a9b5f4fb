"""Caches shares of the instance list with their entity tags."""

import dataclasses
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import errors, interface, shares

_MAX_SHARES: Final = 4
_REMEDY: Final = 'Check that the platform partitions the list as documented'


@dataclasses.dataclass(frozen=True, slots=True)
class TaggedList:
    """A list and its entity tag for conditional requests."""

    listed: interface.InstanceList
    tag: str


class InstanceCache:
    """Caches the few shares that one reader requests.

    A watcher requests two shares, and others only after the set of watchers
    has changed.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self._lists: dict[shares.InstanceShare, TaggedList] = {}

    def find(self, share: shares.InstanceShare) -> TaggedList | None:
        """Return the share as last read, if it is cached."""
        return self._lists.get(share)

    def store(self, listed: interface.InstanceList, tag: str) -> None:
        """Cache a list; evict the oldest one when the cache is full.

        A list without a tag is not cached, because the platform cannot be
        asked whether it has changed.
        """
        self._lists.pop(listed.share, None)
        if not tag:
            return
        if len(self._lists) >= _MAX_SHARES:
            self._lists.pop(next(iter(self._lists)))
        self._lists[listed.share] = TaggedList(listed, tag)


def check_share(
    listed: interface.InstanceList,
    requested: shares.InstanceShare,
) -> None:
    """Raise ``PlatformReplyError`` unless ``listed`` matches the request."""
    if listed.share != requested:
        raise errors.PlatformReplyError(
            f'The platform sent {listed.share} when {requested} was requested',
            _REMEDY,
        )
    services = {target.service for target in listed.targets}
    for service in sorted(services):
        _check_covered(service, requested)


def _check_covered(
    service: ids.ServiceName,
    requested: shares.InstanceShare,
) -> None:
    if requested.covers(service):
        return
    raise errors.PlatformReplyError(
        f'The platform listed {service!r}, which is not in {requested}',
        _REMEDY,
    )
