"""Small answers beside the request path: where to connect, and readiness."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec
from aiohttp import web_request, web_response

from sardinepier.core import ids
from sardinepier.telemetry import exposition

_JSON: Final = 'application/json'
_OK: Final = 200
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404


class Page:
    """Answers the GET of one path by ``answer``."""

    def __init__(
        self,
        path: str,
        answer: Callable[
            [web_request.BaseRequest],
            web_response.Response | Awaitable[web_response.Response],
        ],
    ) -> None:
        """Answer other paths with 404."""
        self._path = path
        self._answer = answer

    async def handle(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the answer to one request."""
        if request.path != self._path:
            return web_response.Response(status=_NOT_FOUND)
        answer = self._answer(request)
        if isinstance(answer, web_response.Response):
            return answer
        return await answer


class Directory:
    """Tells callers which addresses to use, for the zone they name.

    ``find`` returns the addresses for a caller in a zone, as ``ip:port``.
    """

    def __init__(
        self,
        find: Callable[[ids.ZoneName], Sequence[str]],
        good_for_s: float,
        encode: Callable[[Sequence[str], float], bytes],
    ) -> None:
        """Name addresses that are good for ``good_for_s`` seconds."""
        self._find = find
        self._good_for_s = good_for_s
        self._encode = encode

    def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return the addresses, 503 when none is known."""
        zone = ids.ZoneName(request.query.get('zone', ''))
        addresses = self._find(zone)
        if not addresses:
            return web_response.Response(status=_UNAVAILABLE)
        return web_response.Response(
            content_type=_JSON,
            body=self._encode(addresses, self._good_for_s),
        )


class Readiness:
    """Tells whether this daemon should get work: 200, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Ask ``is_ready`` at each request."""
        self._is_ready = is_ready

    def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return an empty answer whose status tells."""
        status = _OK if self._is_ready() else _UNAVAILABLE
        return web_response.Response(status=status)


class MetricsPage:
    """Shows the numbers that this daemon keeps, as text."""

    def __init__(self, text: Callable[[], Awaitable[str]]) -> None:
        """Make the text by ``text`` at each request."""
        self._text = text

    async def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return the figures as they are now."""
        return web_response.Response(
            headers={'Content-Type': exposition.CONTENT_TYPE},
            body=(await self._text()).encode(),
        )


def encode_addresses(addresses: Sequence[str], good_for_s: float) -> bytes:
    """Return the project's own form of a directory answer.

    ``{"addresses": ["10.0.0.7:8080"], "good_for_s": 1.0}``
    """
    return msgspec.json.encode(
        {'addresses': addresses, 'good_for_s': good_for_s},
    )
