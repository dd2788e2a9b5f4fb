"""The compiled routes of services, built on first use."""

from sardinepier.core import ids
from sardinepier.settings import model, routes


class RouteTables:
    """Caches one compiled route table for each service.

    Tables are built on first use because a daemon serves few of all services.
    A change of one file keeps the tables of the other services. The table
    always matches the settings that are passed in, so a request that started
    before a change still gets the table of its own settings.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._tables: dict[
            ids.ServiceName,
            tuple[model.ServiceSettings, routes.RouteTable],
        ] = {}

    def find(self, service: model.ServiceSettings) -> routes.RouteTable:
        """Return the routes of ``service``; compile them on the first call."""
        cached = self._tables.get(service.name)
        if cached is not None and cached[0] is service:
            return cached[1]
        table = routes.RouteTable(service.routes)
        self._tables[service.name] = (service, table)
        return table

    def retain(self, current: model.Configuration) -> None:
        """Drop the tables of services that ``current`` does not have."""
        for name in self._tables.keys() - current.services.keys():
            self._tables.pop(name)
