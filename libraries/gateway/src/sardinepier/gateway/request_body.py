"""The body of a request, held in parts.

A long body is never in one piece of memory, so that neither collecting nor
sending it makes a copy of the whole.
"""

from typing import Final

_MIN_PART_BYTES: Final = 32_768


class RequestBody:
    """A body as a sequence of ``parts``; ``len`` returns its bytes.

    For example::

        body = RequestBody((b'first ', b'second'))
        assert len(body) == 12 and bytes(body) == b'first second'
    """

    __slots__ = ('_length_bytes', 'parts')

    def __init__(self, parts: tuple[bytes, ...] = ()) -> None:
        """Keep ``parts`` in their order."""
        self.parts = parts
        self._length_bytes = sum(len(part) for part in parts)

    def __len__(self) -> int:
        """Return the length in bytes."""
        return self._length_bytes

    def __bytes__(self) -> bytes:
        """Return a copy in one piece."""
        return b''.join(self.parts)


class BodyBuilder:
    """Collects the chunks of a body; small ones share a part."""

    def __init__(self) -> None:
        """Start without any."""
        self.length_bytes = 0
        self._parts: list[bytes] = []
        self._tail = bytearray()

    def add(self, chunk: bytes) -> None:
        """Append the next bytes."""
        self.length_bytes += len(chunk)
        if not self._tail and len(chunk) >= _MIN_PART_BYTES:
            self._parts.append(chunk)
            return
        self._tail += chunk
        if len(self._tail) >= _MIN_PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail.clear()

    def body(self) -> RequestBody:
        """Return all that was added."""
        tail = (bytes(self._tail),) if self._tail else ()
        return RequestBody((*self._parts, *tail))


EMPTY: Final = RequestBody()
