"""The possible outcomes of a request that ran under a key."""

import dataclasses
import enum
from typing import Final

_ANSWER_BYTES: Final = 160
_HEADER_BYTES: Final = 160
"""Memory of the Python objects of an answer and of each header, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of a target, kept for resends.

    ``headers`` are pairs of name and value as they are sent to the caller.
    ``body`` is None when the answer was too large to keep: the request ran
    and got ``status``, but a resend can't get its content.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None

    def size_bytes(self) -> int:
        """Return the approximate memory of the answer in bytes."""
        headers_bytes = sum(
            len(name) + len(text) + _HEADER_BYTES for name, text in self.headers
        )
        return _ANSWER_BYTES + headers_bytes + len(self.body or b'')

    def without_content(self) -> 'RecordedAnswer':
        """Return the same answer with only its status."""
        return RecordedAnswer(self.status, (), None)


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownFate:
    """The request was sent, and it can't be known whether it ran.

    ``problem`` describes what happened, in the words of an error message.
    """

    problem: str


class Released(enum.Enum):
    """The attempt ended and provably did not run; the key is free again."""

    NOT_RUN = 'not-run'


Settlement = RecordedAnswer | UnknownFate | Released
