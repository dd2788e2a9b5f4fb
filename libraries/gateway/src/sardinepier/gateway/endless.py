"""Recognizes answers that never begin or never go on, by their bytes.

A target in trouble may send without end: interim answers, answers to other
requests, the size of a chunk, trailers. None of this reaches a reader that
could limit it, and the target is as fast as the daemon reads.
"""

from typing import Final

from aiohttp import streams

MAX_FRAMING_BYTES: Final = 65_536
"""Bytes in a row that may come without a byte of a body: heads, the framing of
chunks, trailers."""

MAX_SKIPPED_BYTES: Final = 1_048_576
"""Bytes that may come before the answer: interim answers and late ones."""


class EndlessBytes:
    """Counts the bytes of one exchange from which no answer comes."""

    def __init__(self) -> None:
        """Start without an exchange."""
        self.has_begun = False
        self._skipped = 0
        self._framing = 0
        self._payload: streams.StreamReader | None = None
        self._body_bytes = 0

    def begin(self) -> None:
        """Start an exchange; its answer has not begun."""
        self.has_begun = False
        self._skipped = 0
        self._framing = 0

    def exceed(self, count: int, payload: streams.StreamReader | None) -> bool:
        """Return whether ``count`` further bytes are more than is allowed.

        ``payload`` is the body that is being read, with these bytes in it.
        """
        if not self.has_begun:
            self._skipped += count
        body_bytes = 0 if payload is None else payload.total_bytes
        is_other = payload is not self._payload
        if body_bytes and (is_other or body_bytes > self._body_bytes):
            self._framing = 0
        else:
            self._framing += count
        self._payload = payload
        self._body_bytes = body_bytes
        return (
            self._framing > MAX_FRAMING_BYTES
            or self._skipped > MAX_SKIPPED_BYTES
        )
