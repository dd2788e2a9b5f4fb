"""Lookup of the customers of a configuration by the digests of their keys."""

from collections.abc import Iterable

from sardinepier.core import errors, ids
from sardinepier.entry import model
from sardinepier.routing import fleet_bucket


class SharedKeyError(errors.SardinepierError):
    """Two customers of a configuration have the same key."""


class CustomerTable:
    """Finds the customer of a key.

    For example ``CustomerTable(customers).find(credentials.key_digest(key))``.
    """

    def __init__(self, customers: Iterable[model.Customer]) -> None:
        """Index the keys of ``customers``."""
        self._by_digest = {
            digest: customer
            for customer in customers
            for digest in customer.key_digests
        }

    def find(self, digest: bytes) -> model.Customer | None:
        """Return the customer with this key, None for an unknown key."""
        return self._by_digest.get(digest)


def require_distinct_keys(customers: Iterable[model.Customer]) -> None:
    """Raise ``SharedKeyError`` if two customers have the same key.

    The customer of a request with that key would be ambiguous.
    """
    owners: dict[bytes, model.Customer] = {}
    for customer in customers:
        for digest in customer.key_digests:
            owner = owners.setdefault(digest, customer)
            if owner.name != customer.name:
                raise SharedKeyError(
                    f'{owner.name} and {customer.name} have the same key',
                    'Give each customer its own keys',
                )


def rate_limits(
    customers: Iterable[model.Customer],
) -> dict[ids.CustomerName, fleet_bucket.Limit]:
    """Return the limits of the customers that have one."""
    return {
        customer.name: fleet_bucket.Limit(
            customer.rate_per_s,
            max(1.0, customer.burst),
        )
        for customer in customers
        if customer.rate_per_s > 0
    }
