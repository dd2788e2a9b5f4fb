"""Memory budget of one daemon for buffered answers.

If an answer is buffered whole before its first byte is forwarded, the request
can be retried at another target when the answer breaks, without the caller
noticing. A buffered answer takes memory until a slow caller has read it.
Therefore large answers are streamed, and the limit for buffering shrinks as the
budget is used up.
"""

import weakref
from typing import Final

DEFAULT_BUDGET_BYTES: Final = 33_554_432
"""For all buffered answers: a sixth of the memory of the smallest instances,
which have 200 MB and use about 60 MB otherwise."""

MAX_BUFFERED_ANSWER_BYTES: Final = 1_048_576
"""For one answer: twice the size of the longest requested documents."""

MIN_BUFFERED_ANSWER_BYTES: Final = 65_536
"""For one answer even if the budget is used up: its connection buffers as much
anyway."""

_REMAINING_BUDGET_DIVISOR: Final = 8
"""An answer may take the remaining budget divided by this, so that the budget is
never quite used up."""


class BufferBudget:
    """Counts the bytes of buffered answers.

    For example::

        max_bytes = budget.answer_limit_bytes()
        budget.charge(answer, len(answer.body))  # until ``answer`` is freed
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Allow about ``max_bytes`` in total."""
        self.buffered_bytes = 0
        self._max_bytes = max_bytes

    def answer_limit_bytes(
        self, max_bytes: int = MAX_BUFFERED_ANSWER_BYTES
    ) -> int:
        """Return up to how many bytes the next answer may be buffered whole.

        That is at most ``max_bytes``, the limit for each.
        """
        remaining_bytes = max(0, self._max_bytes - self.buffered_bytes)
        share_bytes = remaining_bytes // _REMAINING_BUDGET_DIVISOR
        return min(max_bytes, max(MIN_BUFFERED_ANSWER_BYTES, share_bytes))

    def charge(self, answer: object, size_bytes: int) -> None:
        """Count ``size_bytes`` until ``answer`` is garbage collected."""
        self.buffered_bytes += size_bytes
        weakref.finalize(answer, self._release, size_bytes)

    def _release(self, size_bytes: int) -> None:
        self.buffered_bytes -= size_bytes
