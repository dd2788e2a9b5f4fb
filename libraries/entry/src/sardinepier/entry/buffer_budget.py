"""How much of answers one daemon holds in memory at a time.

An answer that is read whole before its first byte goes on can be replaced by
another target's when it breaks, unseen by its caller. That takes memory until a
slow caller has read it, so that large answers are passed on as they come, and
all of them once many are held.
"""

import weakref
from typing import Final

DEFAULT_BUDGET_BYTES: Final = 33_554_432
"""Of all answers held whole: a sixth of the memory of the smallest instances,
which have two hundred megabytes and use some sixty."""

MAX_BUFFERED_ANSWER_BYTES: Final = 1_048_576
"""Of one answer: twice the longest of the documents that are asked for."""

MIN_BUFFERED_ANSWER_BYTES: Final = 65_536
"""Of one answer when much is held: what its connection buffers anyway."""

_SHARE: Final = 8
"""An answer may take this part of what is left, so that it never runs out."""


class BufferBudget:
    """Counts the bytes of answers that are held whole.

    For example::

        most_bytes = held.bound()
        held.charge(answer, len(answer.body))  # until ``answer`` is gone
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Hold up to about ``max_bytes``."""
        self.buffered_bytes = 0
        self._most_bytes = max_bytes

    def answer_limit_bytes(self) -> int:
        """Return how many bytes of the next answer may be read whole."""
        left_bytes = max(0, self._most_bytes - self.buffered_bytes)
        return max(
            MIN_BUFFERED_ANSWER_BYTES,
            min(MAX_BUFFERED_ANSWER_BYTES, left_bytes // _SHARE),
        )

    def charge(self, holder: object, held_bytes: int) -> None:
        """Count ``held_bytes`` for as long as ``holder`` lives."""
        self.buffered_bytes += held_bytes
        weakref.finalize(holder, self._release, held_bytes)

    def _release(self, held_bytes: int) -> None:
        self.buffered_bytes -= held_bytes
