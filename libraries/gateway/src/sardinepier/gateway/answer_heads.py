"""Decides which heads from a target are answers.

All bytes of targets and peers pass here before anything is read from them. A
head that is none of an answer in HTTP proves nothing, whatever id it bears.
"""

import re
from collections.abc import Iterable
from typing import Final

from aiohttp import hdrs, http_exceptions, http_parser, streams

_STATUS_LINE: Final = re.compile(r'HTTP/\d\.\d \d{3}(?: |$)')
_CONTROL_CHARACTER: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_FIRST_STATUS: Final = 100
_FIRST_FINAL_STATUS: Final = 200
_LAST_STATUS: Final = 599
_SWITCHING_PROTOCOLS: Final = 101


def is_final(message: http_parser.RawResponseMessage) -> bool:
    """Return whether a head belongs to a final answer, not to an interim one.

    Raises ``BadHttpMessage`` if it is not the head of one answer.
    """
    _require_status(message.code)
    texts = (message.reason, *message.headers.keys(), *message.headers.values())
    _require_writable(texts)
    _require_one_answer(texts)
    return message.code >= _FIRST_FINAL_STATUS


def require_end(
    message: http_parser.RawResponseMessage, payload: streams.StreamReader
) -> None:
    """Raise ``BadHttpMessage`` if an answer ends only with its connection.

    Nothing can follow such an answer, so there is no use in skipping it.
    """
    is_framed = message.chunked or hdrs.CONTENT_LENGTH in message.headers
    if not is_framed and not payload.is_eof():
        raise http_exceptions.BadHttpMessage(
            'An answer to another request ends with the connection'
        )


def _require_status(status: int) -> None:
    # No request asks for an upgrade.
    is_status = _FIRST_STATUS <= status <= _LAST_STATUS
    if not is_status or status == _SWITCHING_PROTOCOLS:
        raise http_exceptions.BadHttpMessage(
            f'{status:03} is no status of an answer'
        )


def _require_writable(texts: Iterable[str]) -> None:
    """Raise ``BadHttpMessage`` for a control character.

    The parser of answers lets some through, and a head with one can't be
    written to the caller.
    """
    if any(_CONTROL_CHARACTER.search(text) for text in texts):
        raise http_exceptions.BadHttpMessage(
            'The head contains a control character'
        )


def _require_one_answer(texts: Iterable[str]) -> None:
    """Raise ``BadHttpMessage`` if the head contains another status line.

    An answer that ends within its head may be followed by the next answer on
    the same connection. The last line of the first then goes on with the status
    line of the second, and what is read has the status of one and the headers
    of both.
    """
    if any(_STATUS_LINE.search(text) for text in texts):
        raise http_exceptions.BadHttpMessage('One head contains two answers')
