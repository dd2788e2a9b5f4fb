"""Picks peers at random among those that are alive."""

import random

from sardinepier.membership import view
from sardinepier.wire import messages


class PeerChoice:
    """A random few of the other daemons."""

    def __init__(
        self,
        current_view: view.View,
        random_source: random.Random,
    ) -> None:
        """Pick from ``current_view`` as it is at each call."""
        self._view = current_view
        self._random = random_source

    def pick(self, count: int) -> tuple[messages.PeerAddress, ...]:
        """Return ``count`` different peers, or all when they are fewer."""
        own = self._view.own.instance_id
        others = tuple(
            member.peer_address
            for member in self._view.serving()
            if member.instance_id != own
        )
        return tuple(self._random.sample(others, min(count, len(others))))
