"""What an entry instance reads of the platform, and how it may fail.

The platform can only be read and watched. A reading is a value with the
platform's revision at that moment, which only grows.
"""

from typing import Protocol

import msgspec

from sardinepier.entry import model


class ConfigurationReading(msgspec.Struct, frozen=True):
    """The newest configuration, None when there is none yet."""

    configuration: model.ServedConfiguration | None
    revision: int


class PublishedState(Protocol):
    """The configuration and the target list, read and watched.

    Every method raises ``PlatformUnavailableError`` of
    :mod:`sardinepier.platform.errors` when no answer came in time, and
    ``PlatformReplyError`` when the answer can't be used. A reading that
    ``allow_stale`` permits costs the platform less and may be seconds old.
    """

    async def read_configuration(
        self,
        *,
        allow_stale: bool,
    ) -> ConfigurationReading:
        """Return the configuration as it is now."""
        ...

    async def watch_configuration(
        self,
        after_revision: int,
        wait_s: float,
    ) -> ConfigurationReading:
        """Return the newest configuration changed after a revision.

        When nothing changes within ``wait_s`` seconds the reading has no
        configuration. Raises ``PlatformHistoryLostError`` when the platform
        no longer knows what came after ``after_revision``.
        """
        ...

    async def read_targets(self, *, allow_stale: bool) -> model.TargetList:
        """Return all targets as they are listed now."""
        ...
