"""Reads the body of a caller's request, up to the limit of the service."""

import asyncio
import contextlib
from typing import Final

from aiohttp import http, http_exceptions, web_request

from sardinepier.core import clock as clocks
from sardinepier.gateway import body_budget, refusals, request_body

_WAIT_SHARE: Final = 0.3
"""Share of the time left for which a body waits for memory. Callers whose request
is not read within a third of their time give it up."""

_RETRY_AFTER_S: Final = 1.0
_EXPECT: Final = 'Expect'
_CONTINUE: Final = '100-continue'
_CONTINUE_LINE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


async def read(
    request: web_request.BaseRequest,
    limit_bytes: int,
    clock: clocks.Clock,
    deadline_s: float,
    reservation: body_budget.Reservation,
) -> request_body.RequestBody:
    """Return the whole body, whose memory ``reservation`` holds.

    Raises ``BodyTooLargeError``, without sending ``100 Continue`` when the
    stated length is over the limit, ``BodyIncompleteError`` when the body is
    cut short or is not complete by ``deadline_s``, and ``OverloadedError`` if
    there is no memory for it in time. Then the reservation holds nothing.
    """
    if (request.content_length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    room = _Room(reservation, clock, deadline_s)
    try:
        body = await _read(request, limit_bytes, room)
    except BaseException:
        reservation.release()
        raise
    reservation.settle(len(body))
    return body


class _Room:
    """Takes memory for a body before it is read."""

    def __init__(
        self,
        reservation: body_budget.Reservation,
        clock: clocks.Clock,
        deadline_s: float,
    ) -> None:
        self._reservation = reservation
        self._clock = clock
        self._deadline_s = deadline_s

    def left_s(self) -> float:
        """Return the time until the deadline, at least 0."""
        return max(0.0, self._deadline_s - self._clock.monotonic_s())

    async def extend(self, size_bytes: int) -> None:
        """Hold at least ``size_bytes``."""
        missing_bytes = size_bytes - self._reservation.held_bytes
        if missing_bytes > 0 and not self._reservation.try_grow(missing_bytes):
            await self._wait_for(missing_bytes)

    async def _wait_for(self, size_bytes: int) -> None:
        is_granted = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_WAIT_SHARE * self.left_s()):
                is_granted = await self._reservation.grow(size_bytes)
        if not is_granted:
            raise refusals.OverloadedError(
                'This daemon has no memory left for the body of the request',
                'Send the request again, preferably to another address',
                _RETRY_AFTER_S,
            )


async def _read(
    request: web_request.BaseRequest, limit_bytes: int, room: _Room
) -> request_body.RequestBody:
    stated_bytes = request.content_length
    first_bytes = body_budget.PART_BYTES
    await room.extend(min(first_bytes, stated_bytes or first_bytes))
    content = request.content
    if content.is_eof() and content.total_bytes <= limit_bytes:
        # A short body usually arrives together with the headers.
        await room.extend(content.total_bytes)
        return request_body.RequestBody((content.read_nowait(),))
    await _send_continue(request)
    try:
        async with asyncio.timeout(room.left_s()):
            return await _collect(request, limit_bytes, room)
    except (OSError, http_exceptions.HttpProcessingError) as error:
        raise refusals.BodyIncompleteError(
            'The body of the request did not arrive completely and in time',
            'Send the request again with its complete body',
        ) from error


async def _send_continue(request: web_request.BaseRequest) -> None:
    """Send ``100 Continue`` to a caller that asked for it."""
    if request.version < http.HttpVersion11:
        return
    if request.headers.get(_EXPECT, '').lower() == _CONTINUE:
        await request.writer.write(_CONTINUE_LINE)
        # The interim response does not count as the start of the answer.
        request.writer.output_size = 0


async def _collect(
    request: web_request.BaseRequest, limit_bytes: int, room: _Room
) -> request_body.RequestBody:
    builder = request_body.BodyBuilder()
    while not request.content.at_eof():
        read_bytes = builder.length_bytes
        await room.extend(read_bytes + _next_part_bytes(request, read_bytes))
        builder.add(await request.content.read(body_budget.PART_BYTES))
        if builder.length_bytes > limit_bytes:
            raise _too_large(limit_bytes)
    return builder.body()


def _next_part_bytes(request: web_request.BaseRequest, read_bytes: int) -> int:
    """Return how much of a body to read at once, at least one byte.

    What the connection has buffered counts too, as it is held already.
    """
    buffered_bytes = request.content.total_bytes - read_bytes
    part_bytes = max(body_budget.PART_BYTES, buffered_bytes)
    if request.content_length is None:
        return part_bytes
    return max(1, min(part_bytes, request.content_length - read_bytes))


def _too_large(limit_bytes: int) -> refusals.BodyTooLargeError:
    return refusals.BodyTooLargeError(
        f'The body is larger than the {limit_bytes} bytes that this service '
        'accepts',
        'Send a smaller body',
    )
