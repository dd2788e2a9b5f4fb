"""Tells a few random peers of each change at once.

Each of them does the same when it has taken the change, so that the number
of daemons which know it multiplies with every round.
"""

import asyncio
from typing import Final

from sardinepier.configuration import messages, options, store
from sardinepier.configuration.internal import peer_answers, peer_choice
from sardinepier.core import ids
from sardinepier.wire import network

_MOST_NAMED: Final = 16


class ChangePush:
    """Collects changed files for a moment and sends one message of them."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
        choice: peer_choice.PeerChoice,
        limits: options.DistributorOptions,
    ) -> None:
        """Stay silent until ``begin``."""
        self._store = file_store
        self._peers = peers
        self._choice = choice
        self._limits = limits
        self._changed: dict[ids.FileName, None] = {}
        self._has_changed = asyncio.Event()

    def begin(self) -> None:
        """Push changes from now on.

        What a starting daemon learned before is old to all others.
        """
        self._store.on_new_version(self._note_change)

    async def push_changes(self) -> None:
        """Send news of each change, until cancelled."""
        while True:
            await self._has_changed.wait()
            await asyncio.sleep(self._limits.change_delay_s)
            self._has_changed.clear()
            self._send()

    def _note_change(self, name: ids.FileName) -> None:
        self._changed[name] = None
        self._has_changed.set()

    def _send(self) -> None:
        """Name the files if they are few; else the peer asks for the table."""
        names = tuple(self._changed)
        self._changed.clear()
        named = names if len(names) <= _MOST_NAMED else ()
        news = messages.ConfigurationNews(
            self._store.mark(),
            peer_answers.entries(self._store, named),
        )
        for peer in self._choice.pick(self._limits.fanout):
            self._peers.send(peer, news)
