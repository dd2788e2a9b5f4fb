"""What a stand-in platform serves just now, and the wait for its change."""

import asyncio
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import interface, shares
from sardinepier.standins.internal import (
    platform_faults,
    platform_shares,
    platform_state,
)

_MS_PER_S: Final = 1000
_LONGEST_WATCH_MS: Final = 60_000


class ServedState:
    """The newest state, or an earlier one while the platform is stale."""

    def __init__(self) -> None:
        """Start up and empty."""
        self.mode = platform_faults.PlatformMode.UP
        self._history = platform_state.StateHistory()
        self._stale = self._history.newest
        self._changed = asyncio.Event()
        self._shares = platform_shares.ServedShares()

    @property
    def newest(self) -> platform_state.PlatformState:
        """Return the newest state, whatever is being served."""
        return self._history.newest

    @property
    def served(self) -> platform_state.PlatformState:
        """Return the state that readers get."""
        if self.mode is platform_faults.PlatformMode.STALE:
            return self._stale
        return self._history.newest

    def read(self, name: ids.FileName) -> interface.PublishedFile | None:
        """Return the file as readers get it, ``None`` if there is none."""
        held = self.served.files.get(name)
        if held is None or held.text is None:
            return None
        is_garbled = self.mode is platform_faults.PlatformMode.GARBLED
        text = platform_faults.GARBLED_TEXT if is_garbled else held.text
        return interface.PublishedFile(name, held.revision, text)

    def instances(
        self,
        share: shares.InstanceShare,
    ) -> platform_shares.ServedShare:
        """Return a share of the instance list as readers get it."""
        return self._shares.find(self.served.instances, share)

    def push(self, state: platform_state.PlatformState) -> None:
        """Make ``state`` the newest and wake all who wait."""
        self._history.push(state)
        self._wake()

    def set_mode(
        self,
        mode: platform_faults.PlatformMode,
        changes_back: int,
    ) -> None:
        """Answer in another way and wake all who wait."""
        self.mode = mode
        self._stale = self._history.before(changes_back)
        self._wake()

    async def wait_change(self) -> None:
        """Return after the next change of the state or the mode."""
        await self._changed.wait()

    async def wait_newer(self, after: int, timeout_ms: int) -> None:
        """Return once newer than ``after``, not sane, or too late."""
        bounded_ms = min(timeout_ms, _LONGEST_WATCH_MS)
        try:
            async with asyncio.timeout(bounded_ms / _MS_PER_S):
                while self._is_quiet(after):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _is_quiet(self, after: int) -> bool:
        is_sane = self.mode in platform_faults.SANE_MODES
        return is_sane and self.served.revision <= after

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
