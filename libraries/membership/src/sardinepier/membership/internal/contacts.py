"""Addresses to try although no living member is known there."""

import random
from collections.abc import Callable, Iterable

from sardinepier.wire import messages


class Contacts:
    """Seeds and the addresses of lost members, tried one by one.

    The lost stay for as long as there is room, so that two sides of a
    partition find each other again however long it lasted. The oldest lost
    address goes first when there is none.
    """

    def __init__(
        self,
        own: messages.PeerAddress,
        random_source: random.Random,
        max_contacts: int,
    ) -> None:
        """Start with no address; never try ``own``."""
        self._own = own
        self._random = random_source
        self._max_contacts = max_contacts
        self._seeds: dict[messages.PeerAddress, None] = {}
        self._lost: dict[messages.PeerAddress, None] = {}

    def __bool__(self) -> bool:
        """Tell whether any address is known."""
        return bool(self._seeds or self._lost)

    def seed(self, addresses: Iterable[messages.PeerAddress]) -> None:
        """Replace the seeds; more than the bound are sampled."""
        usable = sorted(
            address
            for address in set(addresses)
            if address.is_valid() and address != self._own
        )
        if len(usable) > self._max_contacts:
            usable = self._random.sample(usable, self._max_contacts)
        self._seeds = dict.fromkeys(usable)

    def remember(self, address: messages.PeerAddress) -> None:
        """Try the address of one taken for dead, or met but not known."""
        self._lost.pop(address, None)
        self._lost[address] = None
        if len(self._lost) > self._max_contacts:
            self._lost.pop(next(iter(self._lost)))

    def mark_reachable(self, address: messages.PeerAddress) -> None:
        """Stop to try a lost address: a member lives there."""
        self._lost.pop(address, None)

    def choose(
        self,
        count: int,
        living_at: Callable[[messages.PeerAddress], object | None],
    ) -> list[messages.PeerAddress]:
        """Return up to ``count`` random addresses without a living member."""
        usable = [
            address
            for address in (*self._seeds, *self._lost)
            if living_at(address) is None
        ]
        return self._random.sample(usable, min(count, len(usable)))
