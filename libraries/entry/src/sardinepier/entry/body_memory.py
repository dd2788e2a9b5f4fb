"""Reading of a request's body within the memory of the daemon."""

from typing import Final

from aiohttp import web_request

from sardinepier.core import clock as clocks
from sardinepier.entry import refusals
from sardinepier.gateway import body, body_budget, request_body
from sardinepier.gateway import refusals as gateway_refusals

_RETRY_AFTER_S: Final = 0.5


async def read(
    http_request: web_request.BaseRequest,
    limit_bytes: int,
    clock: clocks.Clock,
    deadline_s: float,
    reservation: body_budget.Reservation,
) -> request_body.RequestBody:
    """Return the whole body, whose memory ``reservation`` holds.

    Raises ``NoMemoryError`` if there is none in time, and the errors of
    :func:`sardinepier.gateway.body.read`.
    """
    try:
        return await body.read(
            http_request, limit_bytes, clock, deadline_s, reservation
        )
    except gateway_refusals.OverloadedError as error:
        raise refusals.NoMemoryError(
            error.what,
            'Send the request to another address, or later',
            _RETRY_AFTER_S,
        ) from error
