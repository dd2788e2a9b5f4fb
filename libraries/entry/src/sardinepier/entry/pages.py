"""Endpoints outside the request path: directory, readiness and metrics."""

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
    """Serves one path by the function ``answer``."""

    def __init__(
        self,
        path: str,
        answer: Callable[
            [web_request.BaseRequest],
            web_response.Response | Awaitable[web_response.Response],
        ],
    ) -> None:
        """Serve ``path``; other paths get a 404."""
        self._path = path
        self._answer = answer

    async def handle(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the response to one request."""
        if request.path != self._path:
            return web_response.Response(status=_NOT_FOUND)
        answer = self._answer(request)
        if isinstance(answer, web_response.Response):
            return answer
        return await answer


class Directory:
    """Lists the addresses that callers should use, by the zone they name.

    ``find`` returns the addresses for a caller in a zone, as ``ip:port``.
    """

    def __init__(
        self,
        find: Callable[[ids.ZoneName], Sequence[str]],
        valid_for_s: float,
        encode: Callable[[Sequence[str], float], bytes],
    ) -> None:
        """List addresses that are valid for ``valid_for_s`` seconds."""
        self._find = find
        self._valid_for_s = valid_for_s
        self._encode = encode

    def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return the addresses, or 503 if none is known."""
        zone = ids.ZoneName(request.query.get('zone', ''))
        addresses = self._find(zone)
        if not addresses:
            return web_response.Response(status=_UNAVAILABLE)
        return web_response.Response(
            content_type=_JSON,
            body=self._encode(addresses, self._valid_for_s),
        )


class Readiness:
    """Answers 200 while this daemon should get requests, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Call ``is_ready`` at each request."""
        self._is_ready = is_ready

    def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return an empty response with the status."""
        status = _OK if self._is_ready() else _UNAVAILABLE
        return web_response.Response(status=status)


class MetricsPage:
    """Serves the metrics of this daemon in the text exposition format."""

    def __init__(self, text: Callable[[], Awaitable[str]]) -> None:
        """Call ``text`` at each request."""
        self._text = text

    async def answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.Response:
        """Return the current metrics."""
        return web_response.Response(
            headers={'Content-Type': exposition.CONTENT_TYPE},
            body=(await self._text()).encode(),
        )


def encode_addresses(addresses: Sequence[str], valid_for_s: float) -> bytes:
    """Return the default JSON form of a directory answer.

    ``{"addresses": ["10.0.0.7:8080"], "good_for_s": 1.0}``
    """
    return msgspec.json.encode(
        {'addresses': addresses, 'good_for_s': valid_for_s},
    )
