"""Snapshots of the platform that an entry instance reads.

The platform is read-only. A snapshot is an immutable value with the platform's
revision at that moment, which only grows.
"""

from typing import Protocol

import msgspec

from sardinepier.entry import model


class UnusableEntry(msgspec.Struct, frozen=True):
    """An entry of the platform that could not be read, and why.

    ``name`` is the target's, None for the configuration.
    """

    key: str
    what: str
    name: str | None = None


class PlatformSnapshot(msgspec.Struct, frozen=True):
    """The newest usable configuration, None without any, and the targets.

    ``unusable`` are the entries that were skipped. The other entries of the
    snapshot are valid nevertheless.
    """

    configuration: model.ServedConfiguration | None
    targets: model.TargetList
    unusable: tuple[UnusableEntry, ...] = ()


class PublishedState(Protocol):
    """Reads the configuration and the target list together.

    One request for both costs the platform half as much as one for each.
    Requests at a fixed interval show at once that the platform does not answer
    any more, which a long-running watch does not.
    """

    async def read(self, *, allow_stale: bool) -> PlatformSnapshot:
        """Return what is published now.

        With ``allow_stale`` the snapshot may be seconds old and costs the
        platform less. Raises ``PlatformUnavailableError`` of
        :mod:`sardinepier.platform.errors` when no answer came in time, and
        ``PlatformReplyError`` when the answer can't be used.
        """
        ...
