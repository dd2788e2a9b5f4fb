"""The ways in which a stand-in target ends one request."""

import asyncio
import http
from typing import Final

import msgspec
from aiohttp import web

from sardinepier.standins import target_answers

_JSON: Final = 'application/json'
_IDLE_CLOSE_DELAY_S: Final = 0.001


class Problem(msgspec.Struct, frozen=True):
    """The body of the response to a failed request."""

    problem: str


def fail(status: http.HTTPStatus, problem: str) -> web.Response:
    """Return an error response that names the problem."""
    return web.Response(
        body=msgspec.json.encode(Problem(problem)),
        status=status,
        content_type=_JSON,
    )


def shed() -> web.Response:
    """Return the response which states that the request was not run."""
    response = fail(http.HTTPStatus.SERVICE_UNAVAILABLE, 'shed')
    response.headers[target_answers.SHED_HEADER] = target_answers.SHED_VALUE
    return response


def answer(content: msgspec.Struct) -> web.Response:
    """Return ``content`` as a complete JSON response."""
    return web.Response(body=msgspec.json.encode(content), content_type=_JSON)


def drop(request: web.Request) -> web.Response:
    """Close the connection without sending anything more."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def drop_when_idle(request: web.Request) -> None:
    """Close the idle connection shortly after its response was sent."""
    loop = asyncio.get_running_loop()
    loop.call_later(_IDLE_CLOSE_DELAY_S, drop, request)


async def truncate(
    request: web.Request,
    content: msgspec.Struct,
) -> web.StreamResponse:
    """State the full content length, send half of the body and close."""
    raw = msgspec.json.encode(content)
    response = web.StreamResponse()
    response.content_type = _JSON
    response.content_length = len(raw)
    await response.prepare(request)
    await response.write(raw[: len(raw) // 2])
    if request.transport is not None:
        request.transport.close()
    return response
