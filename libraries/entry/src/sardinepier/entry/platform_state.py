"""What an entry instance reads of the platform, and how it may fail.

The platform can only be read. A reading is a value with the platform's
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
    """The newest configuration, None for none that is usable, and targets.

    ``unusable`` are the entries that are passed over. An unusable one costs
    no other.
    """

    configuration: model.ServedConfiguration | None
    targets: model.TargetList
    unusable: tuple[UnusableEntry, ...] = ()


class PublishedState(Protocol):
    """The configuration and the target list, read together.

    One call for both costs the platform half as much as one for each, and a
    reading at a steady pace notices at once when the platform falls silent,
    which a watch that waits does not.
    """

    async def read(self, *, allow_stale: bool) -> PlatformSnapshot:
        """Return what is published now.

        A reading that ``allow_stale`` permits costs the platform less and
        may be seconds old. Raises ``PlatformUnavailableError`` of
        :mod:`sardinepier.platform.errors` when no answer came in time, and
        ``PlatformReplyError`` when the answer can't be used.
        """
        ...
