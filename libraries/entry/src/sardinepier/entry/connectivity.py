"""Whether this daemon can connect to the targets of each service.

A daemon may lose the network path to all targets while other daemons keep
theirs. Only new connections show it: open ones may outlive the path, and a
target that resets them may be failing by itself.
"""

import asyncio
import dataclasses
from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import events
from sardinepier.telemetry import logs

_MIN_FAILED_TARGETS: Final = 2
"""Targets that can't be connected to, one after the other, from which a service
counts as unreachable. A single one may be gone itself."""

_FAILURE_VALID_S: Final = 5.0
"""Connections are pooled, so that a failure is seldom followed by a success."""

_MAX_NAMED: Final = 4
_MS_PER_S: Final = 1000


@dataclasses.dataclass(slots=True)
class _ServicePaths:
    """Failed connection attempts since the last connection that was made.

    ``failed_s`` maps each target to when its newest attempt failed.
    ``cut_off_s`` is since when the service counts as unreachable, if it does.
    """

    failed_s: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    cut_off_s: float | None = None


class Connectivity:
    """Judges by connection attempts which services can be reached.

    For example::

        connectivity.failed(service, target_id, target_count)
        if connectivity.is_cut_off(service):
            await relaying.attempt(...)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start with all services reachable."""
        self._clock = clock
        self._paths: dict[ids.ServiceName, _ServicePaths] = {}
        self._changed = asyncio.Event()

    def failed(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        target_count: int,
    ) -> None:
        """Record a failed connection to one of a service's targets."""
        now_s = self._clock.monotonic_s()
        paths = self._paths.setdefault(service, _ServicePaths())
        paths.failed_s[target_id] = now_s
        if paths.cut_off_s is not None:
            return
        paths.failed_s = {
            failed_id: failed_s
            for failed_id, failed_s in paths.failed_s.items()
            if now_s - failed_s < _FAILURE_VALID_S
        }
        if len(paths.failed_s) >= min(_MIN_FAILED_TARGETS, target_count):
            paths.cut_off_s = now_s
            self._changed.set()
            logs.write(
                events.CutOff(
                    service=service,
                    failed=sorted(paths.failed_s)[:_MAX_NAMED],
                    targets=target_count,
                )
            )

    def connected(self, service: ids.ServiceName) -> None:
        """Record that a new connection to a target of the service was made."""
        paths = self._paths.pop(service, None)
        if paths is None or paths.cut_off_s is None:
            return
        lasted_s = self._clock.monotonic_s() - paths.cut_off_s
        logs.write(
            events.Reconnected(
                service=service, lasted_ms=round(lasted_s * _MS_PER_S)
            )
        )

    def is_cut_off(self, service: ids.ServiceName) -> bool:
        """Return whether no target of the service can be connected to."""
        paths = self._paths.get(service)
        return paths is not None and paths.cut_off_s is not None

    def cut_off_services(self) -> Collection[ids.ServiceName]:
        """Return the services that can't be reached."""
        return [name for name in self._paths if self.is_cut_off(name)]

    def failed_targets(
        self, service: ids.ServiceName
    ) -> Collection[ids.TargetId]:
        """Return the targets that could not be connected to lately."""
        paths = self._paths.get(service)
        return paths.failed_s.keys() if paths else ()

    async def wait_until_cut_off(self) -> None:
        """Wait until any service can't be reached."""
        while not self.cut_off_services():
            self._changed.clear()
            await self._changed.wait()
