"""The ways in which a stand-in platform fails to answer well."""

import enum
from typing import Final

from aiohttp import web

from sardinepier.platform import interface

_OVERSIZED_BYTES: Final = 10 * interface.FILE_LIMIT_BYTES
_PROMISED_BYTES: Final = 1000
_UNAVAILABLE: Final = 503


class PlatformMode(enum.Enum):
    """How the stand-in answers."""

    UP = 'up'
    """As the interface promises."""

    DOWN = 'down'
    """Every connection is dropped without an answer."""

    HANGING = 'hanging'
    """Requests are taken and never answered."""

    FAILING = 'failing'
    """Status 503 for everything."""

    STALE = 'stale'
    """An earlier state, as if it were the newest."""

    GARBLED = 'garbled'
    """Well-formed answers, in which every file's text is rubbish."""

    GARBAGE = 'garbage'
    """Bytes that are no JSON, no UTF-8 and bear no revision."""

    WRONG_TYPES = 'wrong_types'
    """JSON in which every value has the wrong type."""

    TRUNCATED = 'truncated'
    """The connection closes before the promised length was sent."""

    OVERSIZED = 'oversized'
    """An answer far larger than the platform's largest value."""


SANE_MODES: Final = frozenset(
    (PlatformMode.UP, PlatformMode.STALE, PlatformMode.GARBLED),
)
GARBLED_TEXT: Final = '<rubbish>'

_WRONG_TYPES_BODY: Final = (
    b'{"revision": "seven", "files": {"name": 1}, "targets": 3, "daemons": [7]}'
)


async def respond_with_fault(
    request: web.Request,
    mode: PlatformMode,
) -> web.StreamResponse:
    """Answer, or break the connection, as ``mode`` says."""
    match mode:
        case PlatformMode.FAILING:
            return web.Response(status=_UNAVAILABLE)
        case PlatformMode.GARBAGE:
            return web.Response(body=b'\xff\xfe<garbage>\x00')
        case PlatformMode.WRONG_TYPES:
            return web.Response(
                body=_WRONG_TYPES_BODY,
                headers={'Revision': 'seven'},
            )
        case PlatformMode.OVERSIZED:
            return web.Response(
                body=b' ' * _OVERSIZED_BYTES,
                headers={'Revision': '1'},
            )
        case PlatformMode.TRUNCATED:
            return await _answer_half(request)
        case _:
            return _drop(request)


async def _answer_half(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={'Revision': '1'})
    response.content_length = _PROMISED_BYTES
    await response.prepare(request)
    await response.write(b'{"revision": 1')
    return _drop(request)


def _drop(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
