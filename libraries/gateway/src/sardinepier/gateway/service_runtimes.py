"""The services that this daemon has received requests for."""

from collections.abc import Collection, Iterator, Mapping

from sardinepier.core import ids
from sardinepier.gateway import refusals, service_runtime
from sardinepier.settings import model


class ServiceRuntimes:
    """The runtimes of the services that this daemon handles.

    A runtime is created when its service is first requested, so that a daemon
    spends no memory and time on the other services of the fleet.
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
        """Iterate over the runtimes that exist."""
        return iter(tuple(self._by_name.values()))

    def update(self, configuration: model.Configuration) -> None:
        """Apply a new configuration and drop removed services."""
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
                'No service has the name at the start of the path',
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
        """Drop services not in ``kept`` without requests since then.

        Any daemon may get a stray request for any service of the fleet.
        Without this method every daemon would end up evaluating all targets.
        """
        for name, runtime in tuple(self._by_name.items()):
            if name not in kept and runtime.last_used_s < unused_since_s:
                del self._by_name[name]

    def tick(self) -> None:
        """Evaluate the targets of all services again."""
        for runtime in self:
            runtime.tick()
