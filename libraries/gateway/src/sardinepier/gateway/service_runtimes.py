"""The services that one daemon has to do with."""

from collections.abc import Collection, Iterator, Mapping

from sardinepier.core import ids
from sardinepier.gateway import refusals, service_runtime
from sardinepier.settings import model


class ServiceRuntimes:
    """The runtimes of the services that this daemon has to do with.

    One is made when a service is first asked for, so that a daemon pays for
    its own services and not for all of the fleet's.
    """

    def __init__(self, parts: service_runtime.RuntimeParts) -> None:
        """Start without services."""
        self._parts = parts
        self._by_name: dict[
            ids.ServiceName,
            service_runtime.ServiceRuntime,
        ] = {}
        self._settings: Mapping[ids.ServiceName, model.ServiceSettings] = {}

    def __iter__(self) -> Iterator[service_runtime.ServiceRuntime]:
        """Go over the services that were asked for."""
        return iter(tuple(self._by_name.values()))

    def update(self, configuration: model.Configuration) -> None:
        """Take a new configuration; services that are gone are dropped."""
        self._settings = configuration.services
        for name, runtime in tuple(self._by_name.items()):
            settings = self._settings.get(name)
            if settings is None:
                del self._by_name[name]
            else:
                runtime.update(settings)

    def get(self, name: ids.ServiceName) -> service_runtime.ServiceRuntime:
        """Return the runtime of a service for a request.

        Raises ``UnknownServiceError``.
        """
        runtime = self.get_or_create(name)
        runtime.last_used_s = self._parts.clock.monotonic_s()
        return runtime

    def get_or_create(
        self, name: ids.ServiceName
    ) -> service_runtime.ServiceRuntime:
        """Return the runtime of a service without counting it as used.

        Raises ``UnknownServiceError``.
        """
        runtime = self._by_name.get(name)
        if runtime is not None:
            return runtime
        settings = self._settings.get(name)
        if settings is None:
            raise refusals.UnknownServiceError(
                'No service has the name with which the path starts',
                'Write the path as /<service>/<path of the route>',
            )
        runtime = service_runtime.ServiceRuntime(settings, self._parts)
        self._by_name[name] = runtime
        return runtime

    def retire(
        self,
        kept: Collection[ids.ServiceName],
        unused_since_s: float,
    ) -> None:
        """Drop the services not in ``kept`` that nobody asked for of late.

        A stray request may come for any service of the fleet. Without this a
        daemon would in the end judge the targets of all of them.
        """
        for name, runtime in tuple(self._by_name.items()):
            if name not in kept and runtime.last_used_s < unused_since_s:
                del self._by_name[name]

    def tick(self) -> None:
        """Judge the targets of all services anew."""
        for runtime in self:
            runtime.tick()
