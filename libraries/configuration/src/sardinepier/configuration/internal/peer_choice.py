"""Picks random peers among the serving members."""

import random

from sardinepier.membership import view
from sardinepier.wire import messages


class PeerChoice:
    """Picks a few random other daemons."""

    def __init__(
        self,
        current_view: view.View,
        random_source: random.Random,
    ) -> None:
        """Pick from ``current_view`` as it is at each call."""
        self._view = current_view
        self._random = random_source

    def pick(self, count: int) -> tuple[messages.PeerAddress, ...]:
        """Return ``count`` distinct peers, or all if there are fewer."""
        own_id = self._view.own.instance_id
        peers = tuple(
            member.peer_address
            for member in self._view.serving()
            if member.instance_id != own_id
        )
        return tuple(self._random.sample(peers, min(count, len(peers))))
