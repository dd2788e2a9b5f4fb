"""Identification of the customer that sends a request."""

from typing import Final

from aiohttp import web_request

from sardinepier.entry import (
    context,
    credentials,
    customers,
    model,
    refusals,
)

_CONFIRMATION_TIMEOUT_S: Final = 0.3
"""How long a request waits for the configuration to be confirmed: this takes a
few milliseconds by another daemon of the zone, and a few hundredths of a second
by the platform."""

_RETRY_AFTER_S: Final = 0.3


class Authenticator:
    """Identifies customers by their keys in the configuration in force."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Use the services and header names of ``shared``."""
        self._shared = shared

    async def await_confirmation(self) -> None:
        """Wait briefly for a confirmation, if requests need keys."""
        if self._shared.services.customers is not None:
            await self._shared.services.confirmation.wait(
                _CONFIRMATION_TIMEOUT_S
            )

    def customer_of(
        self,
        request: web_request.BaseRequest,
        route: model.Route,
    ) -> model.Customer | None:
        """Return the customer of the request, None if no key is needed.

        On a public route a key names its customer only while the configuration
        in force is confirmed.

        Raises ``UnknownKeyError`` for a key of no customer, and
        ``NotConfirmedError`` while the configuration in force may be outdated,
        so that the key may have been withdrawn.
        """
        table = self._shared.services.customers
        if table is None:
            return None
        is_confirmed = self._shared.services.confirmation.is_valid()
        if route.is_public:
            return (
                self._optional_customer(request, table)
                if is_confirmed
                else None
            )
        if not is_confirmed:
            raise refusals.NotConfirmedError(
                'This daemon has not heard from the platform for too long to '
                'tell whether the key is still valid',
                'Retry after the stated time, or at another daemon',
                _RETRY_AFTER_S,
            )
        return self._required_customer(request, table)

    def _required_customer(
        self,
        request: web_request.BaseRequest,
        table: customers.CustomerTable,
    ) -> model.Customer:
        names = self._shared.names
        digest = credentials.sent_digest(request.headers, names)
        if digest is None:
            raise credentials.unknown_key('no key', names)
        customer = table.find(digest)
        if customer is None:
            raise credentials.unknown_key('a key that nobody holds', names)
        return customer

    def _optional_customer(
        self,
        request: web_request.BaseRequest,
        table: customers.CustomerTable,
    ) -> model.Customer | None:
        """Return the customer of a request on a public route, if it is known."""
        try:
            digest = credentials.sent_digest(
                request.headers,
                self._shared.names,
            )
        except refusals.UnknownKeyError:
            return None
        return None if digest is None else table.find(digest)
