"""Announces each change to a few random peers at once.

Each peer does the same once it has applied the change, so the number of
daemons that know it grows exponentially.
"""

import asyncio
from typing import Final

from sardinepier.configuration import messages, options, store
from sardinepier.configuration.internal import peer_answers, peer_choice
from sardinepier.core import ids
from sardinepier.wire import network

_MAX_LISTED_FILES: Final = 16


class ChangePush:
    """Batches changed files for a short delay and announces them at once."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
        choice: peer_choice.PeerChoice,
        limits: options.DistributorOptions,
    ) -> None:
        """Send nothing until ``start``."""
        self._store = file_store
        self._peers = peers
        self._choice = choice
        self._limits = limits
        self._changed: dict[ids.FileName, None] = {}
        self._has_changed = asyncio.Event()

    def start(self) -> None:
        """Push the changes from now on.

        The files that a starting daemon fetched before are known to its peers.
        """
        self._store.on_new_version(self._record_change)

    async def push_changes(self) -> None:
        """Announce each change, until cancelled."""
        while True:
            await self._has_changed.wait()
            await asyncio.sleep(self._limits.change_delay_s)
            self._has_changed.clear()
            self._send()

    def _record_change(self, name: ids.FileName) -> None:
        self._changed[name] = None
        self._has_changed.set()

    def _send(self) -> None:
        """List the files if they are few; else peers request the table."""
        names = tuple(self._changed)
        self._changed.clear()
        listed = names if len(names) <= _MAX_LISTED_FILES else ()
        announcement = messages.ConfigurationNews(
            self._store.mark(),
            peer_answers.known_revisions(self._store, listed),
        )
        for peer in self._choice.pick(self._limits.fanout):
            self._peers.send(peer, announcement)
