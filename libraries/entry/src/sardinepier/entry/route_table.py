"""Finds the route of a request by its host and the longest path prefix."""

import functools
import random
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import model

_SLASH: Final = '/'


class SplitRotation:
    """Distributes the requests of a route to its services by their weights.

    Smooth weighted round robin: after any number of requests each service
    has its share to within one request. The rotation starts at a random place,
    so that many daemons with few requests each don't all start at the same
    service.
    """

    def __init__(
        self,
        shares: tuple[model.ServiceShare, ...],
        random_source: random.Random,
    ) -> None:
        """Start at a random place in the rotation."""
        self._shares = shares
        self._total = sum(share.weight for share in shares)
        self._credit = [
            random_source.uniform(0, share.weight) for share in shares
        ]

    def next_service(self) -> ids.ServiceName:
        """Return the service of the next request."""
        for place, share in enumerate(self._shares):
            self._credit[place] += share.weight
        chosen = self._credit.index(max(self._credit))
        self._credit[chosen] -= self._total
        return self._shares[chosen].service


class RouteTable:
    """The routes of one configuration.

    For example ``RouteTable(configuration, random.Random()).find(
    'a.example', '/deposits/7')`` returns the route with prefix
    ``/deposits/`` of that host, or None.
    """

    def __init__(
        self,
        configuration: model.ServedConfiguration,
        random_source: random.Random,
    ) -> None:
        """Index the routes by host and prefix."""
        self._by_place = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        self._hosts = frozenset(route.host for route in configuration.routes)
        self._rotation = functools.lru_cache(maxsize=None)(
            lambda place: SplitRotation(
                self._by_place[place].shares,
                random_source,
            ),
        )

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of ``path``, else None."""
        name = host.partition(':')[0].lower()
        if name not in self._hosts:
            return None
        place = path.partition('?')[0]
        end = place.rfind(_SLASH)
        while end >= 0:
            route = self._by_place.get((name, place[: end + 1]))
            if route is not None:
                return route
            end = place.rfind(_SLASH, 0, end)
        return None

    def service_for(self, route: model.Route) -> ids.ServiceName:
        """Return the service that gets the next request of ``route``."""
        if len(route.shares) == 1:
            return route.shares[0].service
        return self._rotation((route.host, route.prefix)).next_service()
