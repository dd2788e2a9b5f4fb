"""The shares of the instance list that were read, each with its tag."""

import dataclasses
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import errors, interface, shares

_MOST_SHARES: Final = 4
_REMEDY: Final = 'Check that the platform divides the list as documented'


@dataclasses.dataclass(frozen=True, slots=True)
class TaggedList:
    """A list, and the tag by which the platform knows it again."""

    listed: interface.InstanceList
    tag: str


class InstanceCache:
    """Keeps the few shares that one reader asks for.

    A watcher asks for two; another one only after the watchers have changed.
    """

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._kept: dict[shares.InstanceShare, TaggedList] = {}

    def find(self, share: shares.InstanceShare) -> TaggedList | None:
        """Return the share as it was read last, if it is kept."""
        return self._kept.get(share)

    def keep(self, listed: interface.InstanceList, tag: str) -> None:
        """Keep a list, and drop the one that was read first.

        Without a tag there is no way to ask whether it has changed.
        """
        self._kept.pop(listed.share, None)
        if not tag:
            return
        if len(self._kept) >= _MOST_SHARES:
            self._kept.pop(next(iter(self._kept)))
        self._kept[listed.share] = TaggedList(listed, tag)


def check_share(
    listed: interface.InstanceList,
    asked: shares.InstanceShare,
) -> None:
    """Raise ``PlatformReplyError`` unless ``listed`` is what was asked for."""
    if listed.share != asked:
        raise errors.PlatformReplyError(
            f'The platform sent {listed.share} when asked for {asked}',
            _REMEDY,
        )
    services = {target.service for target in listed.targets}
    for service in sorted(services):
        _check_covered(service, asked)


def _check_covered(
    service: ids.ServiceName,
    asked: shares.InstanceShare,
) -> None:
    if asked.covers(service):
        return
    raise errors.PlatformReplyError(
        f'The platform listed {service!r}, which is not in {asked}',
        _REMEDY,
    )
