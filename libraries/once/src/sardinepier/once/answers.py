"""What a record holds once its request has come to an end."""

import dataclasses
import enum
from typing import Final

_ANSWER_BYTES: Final = 160
_HEADER_BYTES: Final = 160
"""What the objects of an answer and of each header take by themselves."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of a target, kept for resends.

    ``headers`` are pairs of name and value as they go to the caller.
    ``body`` is None when the answer was too large to keep: the request ran
    and got ``status``, but its content can't be given again.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None

    def size_bytes(self) -> int:
        """Return about how much memory the content takes."""
        headers_bytes = sum(
            len(name) + len(text) + _HEADER_BYTES for name, text in self.headers
        )
        return _ANSWER_BYTES + headers_bytes + len(self.body or b'')

    def without_content(self) -> 'RecordedAnswer':
        """Return the same answer with its status alone."""
        return RecordedAnswer(self.status, (), None)


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownFate:
    """The request was sent, and nobody can tell whether it ran.

    ``problem`` names what happened, as an error message does.
    """

    problem: str


class Released(enum.Enum):
    """The attempt ended with proof that nothing ran; the key is free."""

    NOT_RUN = 'not-run'


Settlement = RecordedAnswer | UnknownFate | Released
