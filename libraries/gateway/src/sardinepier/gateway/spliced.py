"""Recognizes a head that the parser read from the bytes of two answers.

An answer that ends within its head may be followed by the next answer on the
same connection. The last line of the first then goes on with the status line of
the second, and what is read has the status of one and the headers of both.
"""

import re
from typing import Final

from aiohttp import http_exceptions, http_parser

_STATUS_LINE: Final = re.compile(r'HTTP/\d\.\d \d{3}(?: |$)')


def require_one_answer(message: http_parser.RawResponseMessage) -> None:
    """Raise ``BadHttpMessage`` if the head contains another status line."""
    texts = (message.reason, *message.headers.values())
    if any(_STATUS_LINE.search(text) for text in texts):
        raise http_exceptions.BadHttpMessage('One head contains two answers')
