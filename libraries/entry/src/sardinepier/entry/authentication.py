"""Whose request it is, and whether it may be served."""

from typing import Final

from aiohttp import web_request

from sardinepier.entry import (
    context,
    credentials,
    customers,
    model,
    refusals,
)

_CONFIRM_S: Final = 0.3
"""How long a request waits for the configuration to be confirmed: asking a
neighbour takes milliseconds, and asking the platform a few hundredths of a
second."""

_RETRY_AFTER_S: Final = 0.3


class Authenticator:
    """Finds the customer of each request, by the configuration in force."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Work with the daemon's collaborators."""
        self._shared = shared

    async def await_confirmation(self) -> None:
        """Wait a moment for a confirmation, where keys need one."""
        if self._shared.services.customers is not None:
            await self._shared.services.confirmation.wait(_CONFIRM_S)

    def customer_of(
        self,
        request: web_request.BaseRequest,
        route: model.Route,
    ) -> model.Customer | None:
        """Return who sends the request, None where no key is needed.

        Raises ``UnknownKeyError`` for a key that nobody holds, and
        ``NotConfirmedError`` while a key may have been withdrawn unheard.
        """
        table = self._shared.services.customers
        if table is None:
            return None
        if route.is_public:
            return self._known(request, table)
        if not self._shared.services.confirmation.is_valid():
            raise refusals.NotConfirmedError(
                'This daemon has not heard from the platform for too long to '
                'tell whether the key is still valid',
                'Ask again after the stated time, or ask another daemon',
                _RETRY_AFTER_S,
            )
        return self._required(request, table)

    def _required(
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

    def _known(
        self,
        request: web_request.BaseRequest,
        table: customers.CustomerTable,
    ) -> model.Customer | None:
        """Return the customer of a request that needs no key."""
        try:
            digest = credentials.sent_digest(
                request.headers,
                self._shared.names,
            )
        except refusals.UnknownKeyError:
            return None
        return None if digest is None else table.find(digest)
