"""Determines the services whose targets this daemon evaluates."""

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
_MAX_JOIN_DELAY_S: Final = 5.0
_MAX_JOINED_AT_ONCE: Final = 20
_RETIRE_INTERVAL_S: Final = 10.0
_RETIRE_AFTER_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _State:
    """What determines the services of this daemon."""

    version: int
    configuration: model.Configuration

    def is_same(self, earlier: '_State | None') -> bool:
        """Return whether nothing has changed since ``earlier``.

        Configurations are compared by identity: comparing hundreds of services
        each second would cost too much.
        """
        if earlier is None or earlier.version != self.version:
            return False
        return earlier.configuration is self.configuration


class OwnServices:
    """The services that this daemon takes part in.

    It takes part in the services whose group it is in by rendezvous hashing.
    It is a guest of other services while it gets requests for them.
    """

    def __init__(
        self,
        view: views.View,
        services: service_runtimes.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        configuration: Callable[[], model.Configuration | None],
        clock: clocks.Clock,
    ) -> None:
        """Start without services; :meth:`refresh` adds them."""
        self._view = view
        self._services = services
        self._directory = directory
        self._configuration = configuration
        self._clock = clock
        self._group_service_names: frozenset[ids.ServiceName] = frozenset()
        self._applied_state: _State | None = None
        self._previous_state: _State | None = None
        self._unjoined: list[ids.ServiceName] = []
        now_s = clock.monotonic_s()
        self._join_due_s = now_s
        self._join_limit_s = now_s + _MAX_JOIN_DELAY_S
        self._retire_due_s = now_s + _RETIRE_INTERVAL_S

    @property
    def own(self) -> ids.InstanceId:
        """The identifier of this daemon."""
        return self._view.own.instance_id

    def refresh(self) -> None:
        """Join this daemon's services, and drop unused other ones."""
        now_s = self._clock.monotonic_s()
        current = self._configuration()
        if current is None:
            return
        if now_s >= self._join_due_s:
            self._join_due_s = now_s + _JOIN_INTERVAL_S
            self._join(current, now_s)
        if now_s >= self._retire_due_s:
            self._retire_due_s = now_s + _RETIRE_INTERVAL_S
            self._services.retire(
                self._group_service_names, now_s - _RETIRE_AFTER_S
            )

    def takes_part(self, runtime: service_runtime.ServiceRuntime) -> bool:
        """Return whether this daemon should send reports to the group."""
        if runtime.snapshot.settings.name in self._group_service_names:
            return True
        unused_s = self._clock.monotonic_s() - runtime.last_used_s
        return unused_s < service_exchange.GUEST_TIMEOUT_S

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
        """Update the services of this daemon once the view is stable.

        A starting daemon sees only itself at first, and would join every
        service of the fleet. While a zone is unreachable, the view changes all
        the time, and going over all services each time would take most of a
        processor core. So the update waits for a view that did not change for
        one interval, at most until the time limit.
        """
        state = _State(self._view.version, current)
        is_stable = state.is_same(self._previous_state)
        self._previous_state = state
        if state.is_same(self._applied_state):
            self._join_limit_s = now_s + _MAX_JOIN_DELAY_S
        elif is_stable or now_s >= self._join_limit_s:
            self._applied_state = state
            self._update_services(current)
        self._join_next()

    def _update_services(self, current: model.Configuration) -> None:
        self._directory.retain(current.services)
        before = self._group_service_names
        self._group_service_names = frozenset(
            name
            for name, settings in current.services.items()
            if self.own in self.group(settings)
        )
        joined = {runtime.snapshot.settings.name for runtime in self._services}
        self._unjoined = sorted(self._group_service_names - joined)
        if before - self._group_service_names:
            # Retires services that are no longer this daemon's without delay.
            self._retire_due_s = self._clock.monotonic_s()

    def _join_next(self) -> None:
        """Join a limited number of services, as each takes some time."""
        for name in self._unjoined[:_MAX_JOINED_AT_ONCE]:
            with contextlib.suppress(refusals.UnknownServiceError):
                self._services.get_or_create(name)
        self._unjoined = self._unjoined[_MAX_JOINED_AT_ONCE:]
