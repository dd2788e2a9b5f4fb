"""The compiled routes of services, made when they are first asked for."""

from sardinepier.core import ids
from sardinepier.settings import model, routes


class RouteTables:
    """Keeps one compiled table for each service.

    A daemon serves few of all services, and a change of one file leaves the
    others' tables as they are. The table always fits the settings that are
    passed in: a request which began before a change gets the one for the
    settings that it started with.
    """

    def __init__(self) -> None:
        """Start with nothing compiled."""
        self._tables: dict[
            ids.ServiceName,
            tuple[model.ServiceSettings, routes.RouteTable],
        ] = {}

    def find(self, service: model.ServiceSettings) -> routes.RouteTable:
        """Return the routes of ``service``, compiled at the first call."""
        kept = self._tables.get(service.name)
        if kept is not None and kept[0] is service:
            return kept[1]
        table = routes.RouteTable(service.routes)
        self._tables[service.name] = (service, table)
        return table

    def retain(self, current: model.Configuration) -> None:
        """Forget the tables of services that are gone."""
        for name in self._tables.keys() - current.services.keys():
            self._tables.pop(name)
