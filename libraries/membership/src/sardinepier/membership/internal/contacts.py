"""Addresses to probe although no living member is known there."""

import random
from collections.abc import Callable, Iterable

from sardinepier.wire import messages


class Contacts:
    """Seed addresses and the addresses of unreachable members.

    Addresses of unreachable members have no time limit, so that the two sides
    of a partition find each other again however long it lasted. When the
    number exceeds ``max_contacts``, the oldest address is dropped.
    """

    def __init__(
        self,
        own: messages.PeerAddress,
        random_source: random.Random,
        max_contacts: int,
    ) -> None:
        """Start with no address; ``own`` is never used as a seed."""
        self._own = own
        self._random = random_source
        self._max_contacts = max_contacts
        self._seeds: dict[messages.PeerAddress, None] = {}
        self._unreachable: dict[messages.PeerAddress, None] = {}

    def __bool__(self) -> bool:
        """Return whether any address is known."""
        return bool(self._seeds or self._unreachable)

    def seed(self, addresses: Iterable[messages.PeerAddress]) -> None:
        """Replace the seeds; keep a random sample if there are too many."""
        usable = sorted(
            address
            for address in set(addresses)
            if address.is_valid() and address != self._own
        )
        if len(usable) > self._max_contacts:
            usable = self._random.sample(usable, self._max_contacts)
        self._seeds = dict.fromkeys(usable)

    def is_seed(self, address: messages.PeerAddress) -> bool:
        """Return whether ``address`` is a seed, which all daemons know."""
        return address in self._seeds

    def add_unreachable(self, address: messages.PeerAddress) -> None:
        """Add the address of a dead member, or of a sender that is unknown."""
        self._unreachable.pop(address, None)
        self._unreachable[address] = None
        if len(self._unreachable) > self._max_contacts:
            self._unreachable.pop(next(iter(self._unreachable)))

    def mark_reachable(self, address: messages.PeerAddress) -> None:
        """Remove an unreachable address: a living member was found there."""
        self._unreachable.pop(address, None)

    def choose(
        self,
        count: int,
        living_at: Callable[[messages.PeerAddress], object | None],
    ) -> list[messages.PeerAddress]:
        """Return up to ``count`` random addresses without a living member."""
        usable = [
            address
            for address in (*self._seeds, *self._unreachable)
            if living_at(address) is None
        ]
        return self._random.sample(usable, min(count, len(usable)))
