"""Recognizes the head of another answer within the body of one.

A target in trouble may stop within a body and go on with its next answer on the
same connection. A body with a length then ends with bytes of that answer, and
one without a length contains all of it.
"""

import re
from typing import Final

_VERSION: Final = b'HTTP/1.'
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.\d \d{3}')
_STATUS_LINE_BYTES: Final = len(b'HTTP/1.1 200')
_HEAD_END: Final = b'\r\n\r\n'
_MAX_HEAD_BYTES: Final = 16384


class EmbeddedHeads:
    """Searches a body, chunk by chunk, for the head of a target's answer.

    Such a head bears an id, the field ``id_name``. A status line without it may
    be a part of what the body is about. For example::

        heads = EmbeddedHeads('Attempt-Id')
        heads.contain(b'entries: HTTP/1.1 200 OK\r\nAtte')  # False
        heads.contain(b'mpt-Id: 7\r\n')  # True
    """

    def __init__(self, id_name: str) -> None:
        """Start before the first chunk."""
        self._id_field = re.compile(
            rb'\r\n%s:' % re.escape(id_name.encode()), re.IGNORECASE
        )
        self._pending = b''

    def contain(self, chunk: bytes) -> bool:
        """Return whether a head was found up to the end of ``chunk``."""
        text = self._pending + chunk
        if _VERSION not in text:
            self._pending = text[1 - _STATUS_LINE_BYTES :]
            return False
        end = 0
        while line := _STATUS_LINE.search(text, end):
            end = text.find(_HEAD_END, line.end())
            fields = text[line.end() : end] if end > 0 else text[line.end() :]
            if self._id_field.search(fields):
                return True
            if end < 0:
                self._pending = _open_head(text[line.start() :])
                return False
        self._pending = text[1 - _STATUS_LINE_BYTES :]
        return False


def _open_head(text: bytes) -> bytes:
    """Return what to search again with the next chunk."""
    if len(text) > _MAX_HEAD_BYTES:
        return text[1 - _STATUS_LINE_BYTES :]
    return text
