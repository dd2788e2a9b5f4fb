"""Reading a caller's body, never more of it than the service takes."""

import asyncio
from typing import Final

from aiohttp import http, http_exceptions, web_request

from sardinepier.core import clock as clocks
from sardinepier.gateway import refusals

_EXPECT: Final = 'Expect'
_CONTINUE: Final = '100-continue'
_CONTINUE_LINE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


async def read(
    request: web_request.BaseRequest,
    limit_bytes: int,
    clock: clocks.Clock,
    deadline_s: float,
) -> bytes:
    """Return the whole body.

    Raises ``BodyTooLargeError`` before it asks for a body that is stated to
    be too large, and ``BodyIncompleteError`` when it ends early or late.
    """
    if (request.content_length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    content = request.content
    if content.is_eof() and content.total_bytes <= limit_bytes:
        # A short body mostly comes together with the head.
        return content.read_nowait()
    await _invite(request)
    left_s = deadline_s - clock.monotonic_s()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            return await _collect(request, limit_bytes)
    except (OSError, http_exceptions.HttpProcessingError) as error:
        raise refusals.BodyIncompleteError(
            'The body of the request did not arrive whole and in time',
            'Send the request again with all of its body',
        ) from error


async def _invite(request: web_request.BaseRequest) -> None:
    """Tell a caller that waits for it to go on with the body."""
    if request.version < http.HttpVersion11:
        return
    if request.headers.get(_EXPECT, '').lower() == _CONTINUE:
        await request.writer.write(_CONTINUE_LINE)
        # The answer itself has not begun yet.
        request.writer.output_size = 0


async def _collect(
    request: web_request.BaseRequest,
    limit_bytes: int,
) -> bytes:
    parts: list[bytes] = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        parts.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise _too_large(limit_bytes)
    return b''.join(parts)


def _too_large(limit_bytes: int) -> refusals.BodyTooLargeError:
    return refusals.BodyTooLargeError(
        f'The body is larger than the {limit_bytes} bytes that this service '
        'takes',
        'Send less in one request',
    )
