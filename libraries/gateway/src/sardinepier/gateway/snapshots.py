"""Immutable snapshots of a service's settings, prepared for requests.

A request keeps its snapshot from start to end, so that its route, its limits
and the addresses of its targets come from the same version of the settings.
"""

from typing import Final

import yarl

from sardinepier.core import ids
from sardinepier.gateway import refusals
from sardinepier.settings import model, routes

_MS_PER_S: Final = 1000
_HEAD: Final = 'HEAD'
_GET: Final = 'GET'


class ServiceSnapshot:
    """A service's settings with compiled routes and targets by id."""

    def __init__(self, settings: model.ServiceSettings) -> None:
        """Compile ``settings``, which must be valid."""
        self.settings = settings
        self.connect_timeout_s = settings.connect_timeout_ms / _MS_PER_S
        self.targets = {target.target_id: target for target in settings.targets}
        self._table = routes.RouteTable(settings.routes)
        self._urls: dict[ids.TargetId, yarl.URL] = {}

    def route(self, method: str, path: str) -> model.RouteSettings:
        """Return the route of a request; ``path`` has no query.

        ``HEAD`` uses the route of ``GET`` if it has none of its own.
        Raises ``UnknownRouteError`` or ``MethodNotAllowedError``.
        """
        route = self._table.match(method, path)
        if route is None and method == _HEAD:
            route = self._table.match(_GET, path)
        if route is None:
            raise self._no_route(method, path)
        return route

    def origin(self, target_id: ids.TargetId) -> str:
        """Return scheme, IP address and port of the target's URLs."""
        target = self.targets[target_id]
        return origin(target.ip, target.port)

    def url(self, target_id: ids.TargetId) -> yarl.URL:
        """Return the target's address as a URL without a path."""
        url = self._urls.get(target_id)
        if url is None:
            url = yarl.URL(self.origin(target_id), encoded=True)
            self._urls[target_id] = url
        return url

    def _no_route(self, method: str, path: str) -> Exception:
        name = self.settings.name
        methods = self._table.methods_for(path)
        if methods:
            return refusals.MethodNotAllowedError(
                f'Service {name} has no route for {method} on this path',
                f'Use one of {", ".join(methods)}',
            )
        return refusals.UnknownRouteError(
            f'Service {name} has no route for this path',
            'Check the path against the routes of the service',
        )


def origin(ip: str, port: int) -> str:
    """Return ``http://``, the IPv4 or IPv6 address and the port."""
    host = f'[{ip}]' if ':' in ip else ip
    return f'http://{host}:{port}'
