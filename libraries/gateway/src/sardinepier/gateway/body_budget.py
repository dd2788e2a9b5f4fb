"""Memory budget of one daemon for the bodies of requests.

A body is read only as far as there is room for it, so that its caller is slowed
down by flow control. What counts is what is held, and not what callers state:
who states a long body and sends it slowly keeps nobody waiting. The stated
lengths only decide which bodies may grow when there is little room left, so
that a number of half-read bodies never wait for each other.

The connection of a body that waits for room has read ahead. Therefore the number
of those that wait is limited, too, and the longest give way.
"""

import asyncio
import heapq
import itertools
from typing import Final

from sardinepier.gateway import read_buffers

DEFAULT_BUDGET_BYTES: Final = 67_108_864

_READ_AHEAD_DIVISOR: Final = 8
"""Divides the budget into what the connections of waiting bodies may hold."""

_MIN_WAITING: Final = 64

PART_BYTES: Final = 65_536
"""Bodies are read in parts of this size, and room is taken for one at a time."""


class BodyBudget:
    """Counts the bytes of the bodies that are held.

    For example::

        reservation = budget.reservation(length_bytes)
        try:
            await reservation.grow(part_bytes)
            ...
        finally:
            reservation.release()

    A body that is larger than the whole budget gets room once no other is held.
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Allow about ``max_bytes`` in total."""
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._holders: set[Reservation] = set()
        self._max_waiting = max(
            _MIN_WAITING,
            max_bytes // _READ_AHEAD_DIVISOR // read_buffers.MAX_BUFFERED_BYTES,
        )
        self._waiting_begun: _Queue = []
        self._waiting_new: _Queue = []
        self._numbers = itertools.count()

    def reservation(self, expected_bytes: int | None = None) -> 'Reservation':
        """Return a reservation without any bytes yet.

        ``expected_bytes`` is the length that the caller stated, if any.
        """
        return Reservation(self, expected_bytes)

    async def take(self, reservation: 'Reservation', size_bytes: int) -> bool:
        """Add bytes to a reservation as soon as there is room for them.

        Returns False if too many bodies wait and this one lacks most of all.
        """
        if self.try_take(reservation, size_bytes):
            return True
        claim = _Claim(reservation, size_bytes)
        entry = (reservation.missing_bytes(), next(self._numbers), claim)
        is_begun = reservation.held_bytes > 0
        queue = self._waiting_begun if is_begun else self._waiting_new
        heapq.heappush(queue, entry)
        self._limit_waiting()
        try:
            return await claim.granted
        except asyncio.CancelledError:
            if claim.is_granted():
                self.give_back(reservation, size_bytes)
            raise

    def try_take(self, reservation: 'Reservation', size_bytes: int) -> bool:
        """Add bytes to a reservation if there is room for them now."""
        has_room = self._has_room_for(reservation, size_bytes)
        if has_room:
            reservation.held_bytes += size_bytes
            self.held_bytes += size_bytes
            self._holders.add(reservation)
        return has_room

    def give_back(self, reservation: 'Reservation', size_bytes: int) -> None:
        """Remove bytes of a reservation, and grant what waits for them."""
        reservation.held_bytes -= size_bytes
        self.held_bytes -= size_bytes
        if not reservation.held_bytes:
            self._holders.discard(reservation)
        # A new body may wait for one that has begun, but not the reverse.
        self._grant_waiting(self._waiting_begun)
        self._grant_waiting(self._waiting_new)

    def _grant_waiting(self, queue: '_Queue') -> None:
        """Grant claims, those of the shortest bodies first."""
        while queue:
            claim = queue[0][-1]
            if not claim.granted.done():
                if not self.try_take(claim.reservation, claim.size_bytes):
                    return
                claim.granted.set_result(True)
            heapq.heappop(queue)

    def _limit_waiting(self) -> None:
        """Refuse the body that lacks most if too many wait."""
        self._waiting_begun = _unfinished(self._waiting_begun)
        self._waiting_new = _unfinished(self._waiting_new)
        waiting = self._waiting_begun + self._waiting_new
        if len(waiting) > self._max_waiting:
            claim = max(waiting)[-1]
            claim.granted.set_result(False)

    def _has_room_for(
        self, reservation: 'Reservation', size_bytes: int
    ) -> bool:
        if self.held_bytes == reservation.held_bytes:
            return True
        free_bytes = self._max_bytes - self.held_bytes
        if max(size_bytes, reservation.missing_bytes()) <= free_bytes:
            return True
        return size_bytes <= free_bytes and self._can_all_end(
            reservation, size_bytes
        )

    def _can_all_end(self, reservation: 'Reservation', size_bytes: int) -> bool:
        """Return whether all bodies could be read one by one after a grant.

        This is the safety check of the banker's algorithm for one resource.
        """
        needs = [
            (other.missing_bytes(), other.held_bytes)
            for other in self._holders
            if other is not reservation
        ]
        missing_bytes = max(0, reservation.missing_bytes() - size_bytes)
        needs.append((missing_bytes, reservation.held_bytes + size_bytes))
        free_bytes = self._max_bytes - self.held_bytes - size_bytes
        # The last one has the whole budget, which it may exceed.
        for needed_bytes, held_bytes in sorted(needs)[:-1]:
            if needed_bytes > free_bytes:
                return False
            free_bytes += held_bytes
        return True


class Reservation:
    """The bytes that are held for one body."""

    def __init__(self, budget: BodyBudget, expected_bytes: int | None) -> None:
        """Hold nothing yet."""
        self.held_bytes = 0
        self._budget = budget
        self._expected_bytes = expected_bytes

    def missing_bytes(self) -> int:
        """Return how many bytes are still to come.

        A body of unknown length is taken for one that is half read.
        """
        if self._expected_bytes is None:
            return max(PART_BYTES, self.held_bytes)
        return max(0, self._expected_bytes - self.held_bytes)

    def try_grow(self, size_bytes: int) -> bool:
        """Hold further ``size_bytes`` if there is room for them now."""
        return self._budget.try_take(self, size_bytes)

    async def grow(self, size_bytes: int) -> bool:
        """Wait until there is room for further ``size_bytes``.

        Returns False if too many bodies wait for room already.
        """
        return await self._budget.take(self, size_bytes)

    def settle(self, size_bytes: int) -> None:
        """Hold just ``size_bytes``, as the body is complete."""
        self._expected_bytes = size_bytes
        if self.held_bytes > size_bytes:
            self._budget.give_back(self, self.held_bytes - size_bytes)

    def release(self) -> None:
        """Hold nothing any more; a second call changes nothing."""
        self._expected_bytes = 0
        if self.held_bytes:
            self._budget.give_back(self, self.held_bytes)


class _Claim:
    """Bytes that a reservation waits for."""

    def __init__(self, reservation: Reservation, size_bytes: int) -> None:
        self.reservation = reservation
        self.size_bytes = size_bytes
        self.granted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def is_granted(self) -> bool:
        """Return whether the bytes were added."""
        granted = self.granted
        return granted.done() and not granted.cancelled() and granted.result()


_Queue = list[tuple[int, int, _Claim]]


def _unfinished(queue: _Queue) -> _Queue:
    """Return a queue of the claims that still wait."""
    waiting = [entry for entry in queue if not entry[-1].granted.done()]
    heapq.heapify(waiting)
    return waiting
