"""Writes log lines to a file descriptor without ever blocking.

A pipe whose reader stalls fills up after a few dozen lines. Later lines are
buffered up to a limit and written once the pipe is writable again. Lines that
do not fit into the buffer are dropped and counted.
"""

import asyncio
import collections
import os
import select
from typing import Final

_MAX_WRITE_BYTES: Final = select.PIPE_BUF
"""A writable pipe accepts this many bytes without blocking."""

_MAX_BUFFERED_BYTES: Final = 262144
"""Size limit of each buffer, for routine and for other lines.

A busy daemon writes this much in ten seconds.
"""

_RETRY_INTERVAL_S: Final = 0.1
"""Interval at which a full pipe is checked again."""


class LineStream:
    """Writes lines to one file descriptor and buffers those that don't fit.

    Buffered routine lines are written after all other buffered lines.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is not closed."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._unwritten = b''
        self._priority_lines = _LineBuffer()
        self._routine_lines = _LineBuffer()
        self._lost_count = 0
        self._is_broken = False
        self._is_retry_scheduled = False

    def write(self, line: bytes, *, is_routine: bool) -> None:
        """Write a line that ends in a line feed, or buffer it."""
        buffer = self._routine_lines if is_routine else self._priority_lines
        self._lost_count += not buffer.add(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        while self._next_bytes() and self._is_writable():
            self._write_chunk()
        if self._unwritten and not self._is_broken:
            self._schedule_retry()

    def pop_lost_count(self) -> int:
        """Return and reset the count of dropped lines.

        Returns 0 until all buffered lines are written, and always after
        the reader is gone.
        """
        if self._unwritten or self._is_broken:
            return 0
        lost_count = self._lost_count
        self._lost_count = 0
        return lost_count

    def _next_bytes(self) -> bytes:
        """Return the bytes to write next, empty when all lines are written."""
        if not self._unwritten:
            self._unwritten = (
                self._priority_lines.pop() or self._routine_lines.pop()
            )
        return self._unwritten

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0)) and not self._is_broken

    def _write_chunk(self) -> None:
        try:
            count = os.write(
                self._descriptor, self._unwritten[:_MAX_WRITE_BYTES]
            )
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self._is_broken = True
        else:
            self._unwritten = self._unwritten[count:]

    def _schedule_retry(self) -> None:
        if self._is_retry_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop the next line retries.
            return
        self._is_retry_scheduled = True
        loop.call_later(_RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        self.flush()


class _LineBuffer:
    """A queue of lines, limited in bytes."""

    def __init__(self) -> None:
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0

    def add(self, line: bytes) -> bool:
        """Append a line; return False when it does not fit."""
        if self._bytes + len(line) > _MAX_BUFFERED_BYTES:
            return False
        self._lines.append(line)
        self._bytes += len(line)
        return True

    def pop(self) -> bytes:
        """Remove and return the oldest line, empty when there is none."""
        if not self._lines:
            return b''
        line = self._lines.popleft()
        self._bytes -= len(line)
        return line
