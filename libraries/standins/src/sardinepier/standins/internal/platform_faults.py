"""Faulty responses of a stand-in platform."""

import enum
from typing import Final

from aiohttp import web

from sardinepier.platform import interface

_OVERSIZED_BYTES: Final = 10 * interface.FILE_LIMIT_BYTES
_STATED_LENGTH_BYTES: Final = 1000
_UNAVAILABLE: Final = 503


class PlatformMode(enum.Enum):
    """How the stand-in responds."""

    UP = 'up'
    """Responses conform to the interface."""

    DOWN = 'down'
    """Every connection is dropped without a response."""

    HANGING = 'hanging'
    """Requests are accepted and never answered."""

    FAILING = 'failing'
    """Every response has status 503."""

    STALE = 'stale'
    """An earlier state is served as the newest."""

    GARBLED = 'garbled'
    """Responses are well-formed, but the text of every file is invalid."""

    GARBAGE = 'garbage'
    """Bodies are neither JSON nor UTF-8, and no revision is stated."""

    WRONG_TYPES = 'wrong_types'
    """Bodies are JSON in which every value has the wrong type."""

    TRUNCATED = 'truncated'
    """The connection closes before the stated length was sent."""

    OVERSIZED = 'oversized'
    """A response is far larger than the platform's largest file."""


WELL_FORMED_MODES: Final = frozenset(
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
    """Respond or drop the connection according to ``mode``."""
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
            return await _send_truncated(request)
        case _:
            return _drop(request)


async def _send_truncated(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={'Revision': '1'})
    response.content_length = _STATED_LENGTH_BYTES
    await response.prepare(request)
    await response.write(b'{"revision": 1')
    return _drop(request)


def _drop(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
