"""Which services this daemon judges, and with whom."""

from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import service_exchange, target_directory
from sardinepier.gateway import service_runtime
from sardinepier.membership import groups
from sardinepier.membership import view as views
from sardinepier.settings import model

_JOIN_INTERVAL_S: Final = 1.0
_RETIRE_AFTER_S: Final = 60.0


class OwnServices:
    """The services whose group this daemon is in, and the guests' ones.

    A daemon is a guest of a service while requests for it come here although
    rendezvous hashing gives the service to others.
    """

    def __init__(
        self,
        view: views.View,
        services: service_runtime.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        configuration: Callable[[], model.Configuration | None],
        clock: clocks.Clock,
    ) -> None:
        """Own nothing before :meth:`refresh`."""
        self._view = view
        self._services = services
        self._directory = directory
        self._configuration = configuration
        self._clock = clock
        self._names: frozenset[ids.ServiceName] = frozenset()
        self._joined_version = -1
        self._joined_configuration: model.Configuration | None = None
        self._join_due_s = clock.monotonic_s()
        self._retire_due_s = clock.monotonic_s()

    @property
    def own(self) -> ids.InstanceId:
        """This daemon."""
        return self._view.own.instance_id

    def refresh(self) -> None:
        """Take part in the services that are ours, drop unused others."""
        now_s = self._clock.monotonic_s()
        current = self._configuration()
        if current is None:
            return
        # While a zone is lost, the view changes with every tick. Going over
        # all services each time would take most of a core.
        if now_s >= self._join_due_s and not self._has_joined_for(current):
            self._join_due_s = now_s + _JOIN_INTERVAL_S
            self._join(current)
        if now_s >= self._retire_due_s:
            self._retire_due_s = now_s + _RETIRE_AFTER_S / 2
            self._services.retire(self._names, now_s - _RETIRE_AFTER_S)

    def takes_part(self, runtime: service_runtime.ServiceRuntime) -> bool:
        """Tell whether the group should hear from this daemon."""
        if runtime.snapshot.settings.name in self._names:
            return True
        unused_s = self._clock.monotonic_s() - runtime.last_used_s
        return unused_s < service_exchange.GUEST_S

    def group(self, settings: model.ServiceSettings) -> service_exchange.Peers:
        """Return the service's group with addresses, this daemon included."""
        return {
            member.instance_id: member.peer_address
            for member in groups.service_group(
                self._view,
                settings.name,
                settings.group_daemons_per_zone,
            )
        }

    def _join(self, current: model.Configuration) -> None:
        self._joined_version = self._view.version
        self._joined_configuration = current
        self._directory.retain(current.services)
        self._names = frozenset(
            name
            for name, settings in current.services.items()
            if self.own in self.group(settings)
        )
        for name in self._names:
            self._services.get(name)

    def _has_joined_for(self, current: model.Configuration) -> bool:
        if self._view.version != self._joined_version:
            return False
        return current is self._joined_configuration
