"""Reading a caller's request and finding its route."""

import math
from typing import Final

import xxhash
from aiohttp import web_request

from sardinepier.entry import (
    authentication,
    context,
    model,
    refusals,
    route_table,
)
from sardinepier.entry import caller_request
from sardinepier.gateway import body, headers
from sardinepier.gateway import refusals as gateway_refusals

_MS_PER_S: Final = 1000
_HOST: Final = 'Host'
_FIRST_S: Final = 0.3
"""How long a request waits for the first configuration of a daemon that has
just started: reading it takes a few hundredths of a second."""

_BODY_S: Final = 30.0
"""A body may take this long where the caller states no deadline."""


class RequestReader:
    """Makes work of requests."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Work with the daemon's collaborators."""
        self._shared = shared
        self._authenticator = authentication.Authenticator(shared)
        names = shared.names
        self._own = frozenset(
            name.lower()
            for name in (
                names.attempt_id,
                names.deadline_ms,
                names.expected_target,
                names.customer,
            )
        )
        self._credentials = names.credentials.lower()

    async def read(
        self, request: web_request.BaseRequest
    ) -> caller_request.CallerRequest:
        """Return the whole request with its route.

        Raises ``NotConfiguredError``, ``UnknownRouteError``, the refusals of
        :class:`authentication.Authenticator`, ``BodyTooLargeError`` and
        ``BadRequestError``.
        """
        arrived_s = self._shared.clock.monotonic_s()
        await self._shared.services.wait_until_configured(_FIRST_S)
        await self._authenticator.await_confirmation()
        routes = self._shared.services.routes()
        route = _route(routes, request)
        if route is None:
            raise refusals.UnknownRouteError(
                'No route of this host begins the path',
                'Use a path that the configuration in force names',
            )
        customer = self._authenticator.customer_of(request, route)
        caller_deadline_s = arrived_s + self._patience_s(request)
        content = await self._body(request, caller_deadline_s)
        return caller_request.CallerRequest(
            request_id=request.headers.get(self._shared.names.attempt_id, ''),
            method=request.method,
            path=request.raw_path,
            headers=self._headers(request, customer),
            body=content,
            route=route,
            service=routes.service_for(route),
            arrived_s=arrived_s,
            caller_deadline_s=caller_deadline_s,
            deadline_s=min(caller_deadline_s, arrived_s + route.timeout_s),
            fingerprint=_fingerprint(request, content),
            priority=_priority(route, customer),
            customer=customer,
        )

    def is_idempotent(self, request: web_request.BaseRequest) -> bool:
        """Tell whether the request has a route that may be repeated."""
        if self._shared.services.configuration is None:
            return False
        route = _route(self._shared.services.routes(), request)
        return route is not None and route.is_idempotent

    def _patience_s(self, request: web_request.BaseRequest) -> float:
        """Return how long the caller waits, from its header."""
        text = request.headers.get(self._shared.names.deadline_ms, '')
        try:
            stated_ms = float(text) if text else math.inf
        except ValueError as error:
            raise refusals.BadRequestError(
                f'The deadline {text!r} is not a number of milliseconds',
                'Send a number, or leave the header out',
            ) from error
        return min(_BODY_S, stated_ms / _MS_PER_S)

    async def _body(
        self,
        request: web_request.BaseRequest,
        deadline_s: float,
    ) -> bytes:
        if not request.body_exists:
            return b''
        configuration = self._shared.services.configuration
        bounds = configuration.bounds if configuration else model.CallerBounds()
        try:
            return await body.read(
                request,
                bounds.body_bytes,
                self._shared.clock,
                deadline_s,
            )
        except gateway_refusals.BodyTooLargeError as error:
            raise refusals.BodyTooLargeError(
                error.what,
                error.remedy,
            ) from error
        except gateway_refusals.BodyIncompleteError as error:
            raise refusals.BadRequestError(error.what, error.remedy) from error

    def _headers(
        self,
        request: web_request.BaseRequest,
        customer: model.Customer | None,
    ) -> list[tuple[str, str]]:
        """Return what goes on to the target, whose name we set ourselves.

        Where customers are known by keys, none of these goes on.
        """
        left_out = self._own
        needs_keys = self._shared.services.customers is not None
        if needs_keys or customer is not None:
            left_out |= {self._credentials}
        passed_on = [
            pair
            for pair in headers.for_target(request.headers)
            if _plain(pair[0]) not in left_out
        ]
        if customer is not None:
            passed_on.append((self._shared.names.customer, customer.name))
        return passed_on


def _priority(route: model.Route, customer: model.Customer | None) -> int:
    """Return the rank of a request; the lower, the more urgent."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def _plain(name: str) -> str:
    """Return a header's name as servers that read ``_`` as ``-`` see it."""
    return name.lower().replace('_', '-')


def _route(
    routes: route_table.RouteTable,
    request: web_request.BaseRequest,
) -> model.Route | None:
    host = request.headers.get(_HOST, '')
    return routes.find(host, request.raw_path)


def _fingerprint(request: web_request.BaseRequest, content: bytes) -> int:
    """Return the same number for each sending of the same request."""
    digest = xxhash.xxh3_64(request.method.encode())
    digest.update(request.raw_path.encode())
    digest.update(content)
    return int(digest.intdigest())
