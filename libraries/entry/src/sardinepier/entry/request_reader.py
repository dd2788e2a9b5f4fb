"""Reading of a caller's request and lookup of its route."""

import math
from typing import Final

import xxhash
from aiohttp import web_request

from sardinepier.entry import (
    authentication,
    body_memory,
    caller_request,
    context,
    model,
    refusals,
    route_table,
)
from sardinepier.gateway import body_budget, headers, request_body
from sardinepier.gateway import refusals as gateway_refusals

_MS_PER_S: Final = 1000
_HOST: Final = 'Host'
_CONFIGURATION_TIMEOUT_S: Final = 0.3
"""How long a request waits for the first configuration of a daemon that has just
started: reading it takes a few hundredths of a second."""

_BODY_TIMEOUT_S: Final = 30.0
"""Upper limit of a caller's timeout, which also bounds reading its body. It is the
default for a caller that states no deadline."""


class RequestReader:
    """Turns HTTP requests into :class:`caller_request.CallerRequest`."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Use the services, header names and clock of ``shared``."""
        self._shared = shared
        self._authenticator = authentication.Authenticator(shared)
        names = shared.names
        self._daemon_headers = frozenset(
            name.lower()
            for name in (
                names.attempt_id,
                names.deadline_ms,
                names.expected_target,
                names.customer,
            )
        )
        self._credentials_header = names.credentials.lower()

    async def read(
        self,
        http_request: web_request.BaseRequest,
    ) -> caller_request.CallerRequest:
        """Return the whole request with its route.

        Raises ``NotConfiguredError``, ``UnknownRouteError``, the refusals of
        :class:`authentication.Authenticator`, ``BodyTooLargeError``,
        ``NoMemoryError`` and ``BadRequestError``.
        """
        arrived_s = self._shared.clock.monotonic_s()
        await self._shared.services.wait_until_configured(
            _CONFIGURATION_TIMEOUT_S,
        )
        await self._authenticator.await_confirmation()
        routes = self._shared.services.routes()
        route = _route(routes, http_request)
        if route is None:
            raise refusals.UnknownRouteError(
                'No route of this host matches the path',
                'Use a path of a route in the current configuration',
            )
        self._authenticator.customer_of(http_request, route)
        caller_deadline_s = arrived_s + self._caller_timeout_s(http_request)
        reservation = self._shared.body_budget.reservation(
            http_request.content_length
        )
        content = await self._read_body(
            http_request, caller_deadline_s, reservation
        )
        customer = self._customer_of(http_request, route, reservation)
        return caller_request.CallerRequest(
            request_id=http_request.headers.get(
                self._shared.names.attempt_id,
                '',
            ),
            method=http_request.method,
            path=http_request.raw_path,
            headers=self._headers(http_request, customer),
            body=content,
            route=route,
            service=routes.service_for(route),
            arrived_s=arrived_s,
            caller_deadline_s=caller_deadline_s,
            deadline_s=min(caller_deadline_s, arrived_s + route.timeout_s),
            fingerprint=fingerprint(http_request, content),
            priority=_priority(route, customer),
            customer=customer,
            reservation=reservation,
        )

    def is_idempotent(self, http_request: web_request.BaseRequest) -> bool:
        """Return whether the request has an idempotent route."""
        if self._shared.services.configuration is None:
            return False
        route = _route(self._shared.services.routes(), http_request)
        return route is not None and route.is_idempotent

    def _customer_of(
        self,
        http_request: web_request.BaseRequest,
        route: model.Route,
        reservation: body_budget.Reservation,
    ) -> model.Customer | None:
        """Return the customer now that the body has arrived.

        The key may have been withdrawn since the head came.
        """
        try:
            return self._authenticator.customer_of(http_request, route)
        except refusals.EntryError:
            reservation.release()
            raise

    def _caller_timeout_s(self, http_request: web_request.BaseRequest) -> float:
        """Return how long the caller waits, as its header states."""
        text = http_request.headers.get(self._shared.names.deadline_ms, '')
        try:
            stated_ms = float(text) if text else math.inf
        except ValueError as error:
            raise refusals.BadRequestError(
                f'The deadline {text!r} is not a number of milliseconds',
                'Send a number, or omit the header',
            ) from error
        return min(_BODY_TIMEOUT_S, stated_ms / _MS_PER_S)

    async def _read_body(
        self,
        http_request: web_request.BaseRequest,
        deadline_s: float,
        reservation: body_budget.Reservation,
    ) -> request_body.RequestBody:
        if not http_request.body_exists:
            return request_body.EMPTY
        configuration = self._shared.services.configuration
        bounds = configuration.bounds if configuration else model.CallerBounds()
        try:
            return await body_memory.read(
                http_request,
                bounds.body_bytes,
                self._shared.clock,
                deadline_s,
                reservation,
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
        http_request: web_request.BaseRequest,
        customer: model.Customer | None,
    ) -> list[tuple[str, str]]:
        """Return the headers to forward, with the customer's name.

        Headers that the daemon sets itself are dropped, and also the
        credentials if requests need keys.
        """
        dropped = self._daemon_headers
        needs_keys = self._shared.services.customers is not None
        if needs_keys or customer is not None:
            dropped |= {self._credentials_header}
        forwarded = [
            pair
            for pair in headers.for_target(http_request.headers)
            if _normalized(pair[0]) not in dropped
        ]
        if customer is not None:
            forwarded.append((self._shared.names.customer, customer.name))
        return forwarded


def _priority(route: model.Route, customer: model.Customer | None) -> int:
    """Return the priority of a request; a lower one is more urgent."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def _normalized(name: str) -> str:
    """Return a header's name as servers see it that treat ``_`` as ``-``."""
    return name.lower().replace('_', '-')


def _route(
    routes: route_table.RouteTable,
    http_request: web_request.BaseRequest,
) -> model.Route | None:
    host = http_request.headers.get(_HOST, '')
    return routes.find(host, http_request.raw_path)


def fingerprint(
    http_request: web_request.BaseRequest,
    body: request_body.RequestBody,
) -> int:
    """Return a hash that is the same whenever the same request is sent."""
    digest = xxhash.xxh3_64(http_request.method.encode())
    digest.update(http_request.raw_path.encode())
    for part in body.parts:
        digest.update(part)
    return int(digest.intdigest())
