"""Writes lines to a file that somebody reads, or doesn't, and never waits.

A pipe whose reader stalls takes a few dozen lines. What comes then is kept, within
bounds, and written when there is room; what has no place is dropped and counted.
"""

import asyncio
import collections
import os
import select
from typing import Final

_AT_ONCE_BYTES: Final = select.PIPE_BUF
"""A pipe that is ready takes so many bytes without a wait."""

_KEPT_BYTES: Final = 262144
"""Of each sort of lines: what a busy daemon writes in ten seconds."""

_LOOK_S: Final = 0.1
"""Pace at which a pipe without room is looked at again."""


class LineStream:
    """Lines on their way to one file descriptor.

    Routine lines give way to others, which are written first when there is
    room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which stays open."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._begun = b''
        self._lines = _Kept()
        self._routine = _Kept()
        self._lost = 0
        self._is_broken = False
        self._is_looking = False

    def write(self, line: bytes, *, is_routine: bool) -> None:
        """Write a line with its end now, or keep it until there is room."""
        kept = self._routine if is_routine else self._lines
        self._lost += not kept.add(line)
        self.flush()

    def flush(self) -> None:
        """Write of what was kept as much as there is room for."""
        while self._next() and self._has_room():
            self._write_some()
        if self._begun and not self._is_broken:
            self._look_later()

    def pop_lost_count(self) -> int:
        """Return how many lines were dropped, once all others are written."""
        if self._begun or self._is_broken:
            return 0
        lost = self._lost
        self._lost = 0
        return lost

    def _next(self) -> bytes:
        """Return what is to be written next, nothing when all is written."""
        if not self._begun:
            self._begun = self._lines.take() or self._routine.take()
        return self._begun

    def _has_room(self) -> bool:
        return bool(self._poll.poll(0)) and not self._is_broken

    def _write_some(self) -> None:
        try:
            count = os.write(self._descriptor, self._begun[:_AT_ONCE_BYTES])
        except OSError:
            # Nobody reads any more, and there is no other place to tell it.
            self._is_broken = True
        else:
            self._begun = self._begun[count:]

    def _look_later(self) -> None:
        if self._is_looking:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The next line looks again.
            return
        self._is_looking = True
        loop.call_later(_LOOK_S, self._look)

    def _look(self) -> None:
        self._is_looking = False
        self.flush()


class _Kept:
    """Lines that wait, oldest first, up to a number of bytes."""

    def __init__(self) -> None:
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0

    def add(self, line: bytes) -> bool:
        """Keep a line; tell whether there was a place for it."""
        if self._bytes + len(line) > _KEPT_BYTES:
            return False
        self._lines.append(line)
        self._bytes += len(line)
        return True

    def take(self) -> bytes:
        """Return the oldest line, nothing when there is none."""
        if not self._lines:
            return b''
        line = self._lines.popleft()
        self._bytes -= len(line)
        return line
