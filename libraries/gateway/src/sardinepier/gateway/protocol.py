"""aiohttp's server protocol, with problem documents for invalid requests."""

import asyncio
from typing import Any, Final

from aiohttp import (
    http_exceptions,
    web_request,
    web_response,
)

from sardinepier.gateway import (
    descriptors,
    errors,
    graceful_connection,
    problems,
    refusals,
)

_LINE_LIMIT_BYTES: Final = 8190
_FIELD_LIMIT_BYTES: Final = 8190
_MAX_HEADERS: Final = 100
_KEEPALIVE_S: Final = 75.0
_LINGERING_S: Final = 2.0


class CallerConnection(graceful_connection.GracefulConnection):
    """A connection from a caller."""

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web_response.StreamResponse:
        """Answer a request that can't be parsed, so that none of it ran."""
        if request.writer.output_size > 0:
            raise ConnectionResetError('The answer was interrupted')
        response = problems.answer(_error_for(exc, message), request.raw_path)
        response.force_close()
        return response

    def response_to_failure(
        self, request: web_request.BaseRequest, error: Exception
    ) -> web_response.StreamResponse:
        """Return a problem document in place of an answer."""
        return problems.answer(_error_for(error, None), request.raw_path)


class CallerConnections(graceful_connection.GracefulServer):
    """Accepts connections from callers and limits the size of requests."""

    def __init__(self, handler: Any) -> None:
        """Answer requests by ``handler``, and leave sockets for other uses."""
        super().__init__(
            handler,
            descriptors.caller_connections(descriptors.default_sockets()),
        )

    def __call__(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
            lingering_time=_LINGERING_S,
            max_line_size=_LINE_LIMIT_BYTES,
            max_field_size=_FIELD_LIMIT_BYTES,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )


def _error_for(
    exc: BaseException | None,
    message: str | None,
) -> errors.GatewayError:
    if isinstance(exc, http_exceptions.LineTooLong):
        return refusals.HeaderTooLargeError(
            'The request line or a header is too long',
            f'Keep each below {_LINE_LIMIT_BYTES} bytes',
        )
    if isinstance(exc, http_exceptions.HttpProcessingError):
        return refusals.BadRequestError(
            f'The request is not valid HTTP: {exc.message or message}',
            'Send a valid HTTP/1.1 request',
        )
    return errors.InternalError(
        f'The daemon failed: {type(exc).__name__}',
        'Check whether the request ran before sending it again',
    )
