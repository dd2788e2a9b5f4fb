"""Which services this daemon judges, and with whom."""

import contextlib
import dataclasses
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import service_exchange, target_directory
from sardinepier.gateway import refusals, service_runtime, service_runtimes
from sardinepier.membership import groups
from sardinepier.membership import view as views
from sardinepier.settings import model

_JOIN_INTERVAL_S: Final = 1.0
_JOIN_LIMIT_S: Final = 5.0
_JOINED_AT_ONCE: Final = 20
_RETIRE_INTERVAL_S: Final = 10.0
_RETIRE_AFTER_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _State:
    """What decides which services are ours."""

    version: int
    configuration: model.Configuration

    def is_same(self, other: '_State | None') -> bool:
        """Tell whether nothing has changed between the two.

        Configurations are the same only if they are one object: comparing
        hundreds of services each second would cost too much.
        """
        if other is None or other.version != self.version:
            return False
        return other.configuration is self.configuration


class OwnServices:
    """The services whose group this daemon is in, and the guests' ones.

    A daemon is a guest of a service while requests for it come here although
    rendezvous hashing gives the service to others.
    """

    def __init__(
        self,
        view: views.View,
        services: service_runtimes.ServiceRuntimes,
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
        self._joined_for: _State | None = None
        self._seen: _State | None = None
        self._unjoined: list[ids.ServiceName] = []
        now_s = clock.monotonic_s()
        self._join_due_s = now_s
        self._join_limit_s = now_s + _JOIN_LIMIT_S
        self._retire_due_s = now_s + _RETIRE_INTERVAL_S

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
        if now_s >= self._join_due_s:
            self._join_due_s = now_s + _JOIN_INTERVAL_S
            self._join(current, now_s)
        if now_s >= self._retire_due_s:
            self._retire_due_s = now_s + _RETIRE_INTERVAL_S
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

    def _join(self, current: model.Configuration, now_s: float) -> None:
        """Work out which services are ours once the view stands still.

        A daemon that starts sees itself alone at first, and would take up
        every service of the fleet. While a zone is lost, the view changes all
        the time, and going over all services each time would take most of a
        core. So it waits for a view that stood still for a while, or until it
        has waited for long.
        """
        state = _State(self._view.version, current)
        is_still = state.is_same(self._seen)
        self._seen = state
        if state.is_same(self._joined_for):
            self._join_limit_s = now_s + _JOIN_LIMIT_S
        elif is_still or now_s >= self._join_limit_s:
            self._joined_for = state
            self._work_out(current)
        self._hold_some()

    def _work_out(self, current: model.Configuration) -> None:
        self._directory.retain(current.services)
        before = self._names
        self._names = frozenset(
            name
            for name, settings in current.services.items()
            if self.own in self.group(settings)
        )
        held = {runtime.snapshot.settings.name for runtime in self._services}
        self._unjoined = sorted(self._names - held)
        if before - self._names:
            # What was taken up in vain is given up at once.
            self._retire_due_s = self._clock.monotonic_s()

    def _hold_some(self) -> None:
        """Take up a bounded number of services, as each takes some time."""
        for name in self._unjoined[:_JOINED_AT_ONCE]:
            with contextlib.suppress(refusals.UnknownServiceError):
                self._services.get_or_create(name)
        self._unjoined = self._unjoined[_JOINED_AT_ONCE:]
