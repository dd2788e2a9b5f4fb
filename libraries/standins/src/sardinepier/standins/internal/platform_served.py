"""The state that a stand-in platform serves, and waiting for its changes."""

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
_MAX_WATCH_MS: Final = 60_000


class ServedState:
    """Serves the newest state, or an earlier one in the mode ``STALE``."""

    def __init__(self) -> None:
        """Start empty, in the mode ``UP``."""
        self.mode = platform_faults.PlatformMode.UP
        self._history = platform_state.StateHistory()
        self._stale_state = self._history.newest
        self._changed = asyncio.Event()
        self._shares = platform_shares.ServedShares()

    @property
    def newest(self) -> platform_state.PlatformState:
        """Return the newest state, even if an earlier one is served."""
        return self._history.newest

    @property
    def served(self) -> platform_state.PlatformState:
        """Return the state that readers get."""
        if self.mode is platform_faults.PlatformMode.STALE:
            return self._stale_state
        return self._history.newest

    def read(self, name: ids.FileName) -> interface.PublishedFile | None:
        """Return the file as readers get it, ``None`` if it does not exist."""
        stored = self.served.files.get(name)
        if stored is None or stored.text is None:
            return None
        is_garbled = self.mode is platform_faults.PlatformMode.GARBLED
        text = platform_faults.GARBLED_TEXT if is_garbled else stored.text
        return interface.PublishedFile(name, stored.revision, text)

    def instances(
        self,
        share: shares.InstanceShare,
    ) -> platform_shares.ServedShare:
        """Return a share of the instance list as readers get it."""
        return self._shares.find(self.served.instances, share)

    def push(self, state: platform_state.PlatformState) -> None:
        """Make ``state`` the newest and wake all waiting calls."""
        self._history.push(state)
        self._wake()

    def set_mode(
        self,
        mode: platform_faults.PlatformMode,
        changes_back: int,
    ) -> None:
        """Set the mode and wake all waiting calls."""
        self.mode = mode
        self._stale_state = self._history.before(changes_back)
        self._wake()

    async def wait_change(self) -> None:
        """Return after the next change of the state or the mode."""
        await self._changed.wait()

    async def wait_newer(self, after: int, timeout_ms: int) -> None:
        """Wait for a state newer than ``after``, a fault or the timeout."""
        bounded_ms = min(timeout_ms, _MAX_WATCH_MS)
        try:
            async with asyncio.timeout(bounded_ms / _MS_PER_S):
                while self._has_nothing_newer(after):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _has_nothing_newer(self, after: int) -> bool:
        is_well_formed = self.mode in platform_faults.WELL_FORMED_MODES
        return is_well_formed and self.served.revision <= after

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
