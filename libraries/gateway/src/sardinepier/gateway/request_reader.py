"""Reads and validates the requests of callers."""

import re
from typing import Final

from aiohttp import web_request

from sardinepier.core import ids
from sardinepier.gateway import body as bodies
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    caller_request,
    headers,
    refusals,
    request_body,
)
from sardinepier.settings import model

_MS_PER_S: Final = 1000
_SLASH: Final = '/'
_QUERY: Final = '?'
_FRAGMENT: Final = '#'
_MAX_CALLER_LENGTH: Final = 256
_RETRY_AFTER_S: Final = 1.0
_MILLISECONDS: Final = re.compile('[0-9]{1,12}')


class RequestReader:
    """Reads and validates requests; a refused request did not run."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context

    async def read(
        self, request: web_request.BaseRequest
    ) -> caller_request.CallerRequest:
        """Return the validated request.

        It keeps the settings that are in force now until it ends.
        """
        arrived_s = self._context.clock.monotonic_s()
        configuration = self._configuration()
        service, target_path = _split(request.raw_path)
        runtime = self._context.services.get(service)
        snapshot = runtime.snapshot
        route = snapshot.route(request.method, target_path.partition(_QUERY)[0])
        deadline_s = arrived_s + _time_limit_ms(request, route) / _MS_PER_S
        if not self._context.wake_guard.check():
            await self._context.wake_guard.ready(deadline_s)
        caller = _caller(request, configuration.fleet)
        runtime.caller_limits.admit(caller)
        pairs = _headers(request)
        reservation = self._context.body_budget.reservation(
            request.content_length
        )
        body = request_body.EMPTY
        if request.body_exists:
            body = await bodies.read(
                request,
                snapshot.settings.request_body_limit_bytes,
                self._context.clock,
                deadline_s,
                reservation,
            )
        return caller_request.CallerRequest(
            snapshot,
            runtime,
            route,
            request.method,
            target_path,
            pairs,
            body,
            caller,
            deadline_s,
            caller_request.fingerprint(
                service, request.method, target_path, body
            ),
            reservation,
        )

    def _configuration(self) -> model.Configuration:
        configuration = self._context.configuration()
        if configuration is None:
            raise refusals.NotConfiguredError(
                'This daemon has no settings yet',
                'Send the request again, or to another address',
                _RETRY_AFTER_S,
            )
        return configuration


def _split(raw_path: str) -> tuple[ids.ServiceName, str]:
    """Return the service's name, and the path and query after it."""
    # Absolute URLs and fragments are not valid here, and a path that is not
    # ASCII could not be forwarded byte for byte.
    is_path = raw_path.startswith(_SLASH) and raw_path.isascii()
    if not is_path or _FRAGMENT in raw_path:
        raise refusals.BadRequestError(
            'The request target is not an ASCII path',
            'Write it as /<service>/<path of the route>, percent-encoded',
        )
    service, slash, below = raw_path[1:].partition(_SLASH)
    if not slash:
        raise refusals.UnknownRouteError(
            'The path contains no route',
            'Write it as /<service>/<path of the route>',
        )
    return ids.ServiceName(service), f'{_SLASH}{below}'


def _caller(
    request: web_request.BaseRequest,
    fleet: model.FleetSettings,
) -> ids.CallerId:
    name = request.headers.get(fleet.caller_header, '')
    if len(name) > _MAX_CALLER_LENGTH or not name.isascii():
        raise refusals.BadRequestError(
            f'The header {fleet.caller_header} is not a name of at most '
            f'{_MAX_CALLER_LENGTH} ASCII characters',
            'Send the name that the operators gave to the caller',
        )
    return ids.CallerId(name)


def _headers(request: web_request.BaseRequest) -> list[tuple[str, str]]:
    pairs = headers.for_target(request.headers)
    if not headers.is_readable(pairs):
        raise refusals.BadRequestError(
            'A header of the request is not UTF-8',
            'Send headers in ASCII',
        )
    return pairs


def _time_limit_ms(
    request: web_request.BaseRequest,
    route: model.RouteSettings,
) -> int:
    """Return the shorter of the route's and the caller's deadline."""
    stated = request.headers.get(headers.DEADLINE)
    if stated is None:
        return route.deadline_ms
    if not _MILLISECONDS.fullmatch(stated):
        raise refusals.BadRequestError(
            f'The header {headers.DEADLINE} is not a number of milliseconds',
            'Write the remaining time in whole milliseconds, or leave it out',
        )
    return min(route.deadline_ms, int(stated))
