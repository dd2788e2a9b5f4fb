"""Memory budget of one daemon for buffered answers.

If an answer is buffered whole before its first byte is forwarded, the request
can be retried at another target when the answer breaks, without the caller
noticing. A buffered answer takes memory while its target sends it, and until a
slow caller has read it. Therefore large answers are streamed, and the limit for
buffering shrinks as the budget is used up.
"""

import types
import weakref
from typing import Final, Self

DEFAULT_BUDGET_BYTES: Final = 33_554_432

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

        with budget.hold() as held:
            while held.grow(len(part)):
                ...
            held.release_with(answer)
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Allow about ``max_bytes`` in total."""
        self.buffered_bytes = 0
        self._max_bytes = max_bytes

    def hold(self, max_bytes: int = MAX_BUFFERED_ANSWER_BYTES) -> 'HeldBytes':
        """Return what an answer holds, nothing yet and ``max_bytes`` at most."""
        return HeldBytes(self, max_bytes)

    def limit_bytes(self, max_bytes: int, held_bytes: int) -> int:
        """Return how many bytes an answer may hold that holds ``held_bytes``.

        That is at most ``max_bytes``.
        """
        used_bytes = self.buffered_bytes - held_bytes
        remaining_bytes = max(0, self._max_bytes - used_bytes)
        share_bytes = remaining_bytes // _REMAINING_BUDGET_DIVISOR
        return min(max_bytes, max(MIN_BUFFERED_ANSWER_BYTES, share_bytes))


class HeldBytes:
    """The bytes that one answer holds, released at once if reading it fails."""

    def __init__(self, budget: BufferBudget, max_bytes: int) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def __enter__(self) -> Self:
        """Begin to read the answer."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Release the bytes of an answer that could not be read."""
        if error is not None:
            self.release()

    def grow(self, size_bytes: int) -> bool:
        """Hold further bytes, and return whether more may be buffered.

        The bytes count in any case, since they were received.
        """
        self._held_bytes += size_bytes
        self._budget.buffered_bytes += size_bytes
        return self._held_bytes <= self._budget.limit_bytes(
            self._max_bytes, self._held_bytes
        )

    def release(self) -> None:
        """Hold nothing any more; a second call changes nothing."""
        self._budget.buffered_bytes -= self._held_bytes
        self._held_bytes = 0

    def release_with(self, answer: object) -> None:
        """Hold the bytes until ``answer`` is garbage collected."""
        weakref.finalize(answer, self.release)
