"""A client of the stand-in platform in the same process, without HTTP.

In each mode it behaves as the HTTP client of the stand-in does, so that tests
with many daemons need no sockets. A contract test checks both for the same
behaviour.
"""

import asyncio
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import errors, interface, shares
from sardinepier.standins import platform_standin
from sardinepier.standins.internal import platform_faults, platform_served

_MS_PER_S: Final = 1000
_REMEDY: Final = 'Try again later'
_UNAVAILABLE_MODES: Final = frozenset(
    (
        platform_faults.PlatformMode.DOWN,
        platform_faults.PlatformMode.FAILING,
        platform_faults.PlatformMode.HANGING,
    ),
)


class MemoryPlatform:
    """A :class:`interface.Platform` that reads a stand-in's state."""

    def __init__(
        self,
        state: platform_served.ServedState,
        counts: platform_standin.CallCounts,
        call_timeout_s: float = 3.0,
    ) -> None:
        """Read ``state`` and count each call into ``counts``."""
        self._state = state
        self._counts = counts
        self._call_timeout_s = call_timeout_s

    async def list_files(self) -> interface.Listing:
        """Return the revisions of all files."""
        self._counts.lists += 1
        await self._apply_fault()
        return self._state.served.listing()

    async def watch_files(
        self,
        after_revision: int,
        timeout_s: float,
    ) -> interface.Listing:
        """Return a newer listing, or the current one after ``timeout_s``."""
        self._counts.watches += 1
        timeout_ms = int(timeout_s * _MS_PER_S)
        await self._state.wait_newer(after_revision, timeout_ms)
        await self._apply_fault()
        return self._state.served.listing()

    async def read_file(self, name: ids.FileName) -> interface.PublishedFile:
        """Return the newest text of one file."""
        self._counts.files += 1
        await self._apply_fault()
        published_file = self._state.read(name)
        if published_file is None:
            raise errors.PlatformFileMissingError(
                f'The platform has no file {name}',
                'Publish the file, or list the files again',
            )
        return published_file

    async def list_instances(
        self,
        share: shares.InstanceShare = shares.WHOLE,
    ) -> interface.InstanceList:
        """Return the share; an unchanged one is the same object."""
        self._counts.instances += 1
        await self._apply_fault()
        return self._state.instances(share).listed

    async def _apply_fault(self) -> None:
        """Fail as the HTTP client would in the current mode.

        Yields to the event loop first, because a call over HTTP never
        completes in one step either.
        """
        await asyncio.sleep(0)
        if self._state.mode is platform_faults.PlatformMode.HANGING:
            await asyncio.sleep(self._call_timeout_s)
        if self._state.mode in platform_faults.WELL_FORMED_MODES:
            return
        if self._state.mode in _UNAVAILABLE_MODES:
            raise errors.PlatformUnavailableError(
                f'The platform is {self._state.mode.value}',
                _REMEDY,
            )
        raise errors.PlatformReplyError(
            f'The platform answered {self._state.mode.value}',
            _REMEDY,
        )


def in_process(
    standin: platform_standin.PlatformStandin,
    call_timeout_s: float = 3.0,
) -> MemoryPlatform:
    """Return a client that reads ``standin`` without HTTP."""
    return MemoryPlatform(standin.state, standin.counts, call_timeout_s)
