"""Whether this daemon can connect to the targets of each service.

A daemon may lose the network path to all targets while other daemons keep
theirs. Only new connections show it: open ones may outlive the path, and a
target that resets them may be failing by itself. What fails while the path is
lost is no evidence about targets and requests.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Collection
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

_RECENT_S: Final = 0.5
"""For this time after an answer a failed connection is the target's own fault,
as long as it is the only one."""

_MIN_LOST_TARGETS: Final = 3
"""Targets whose connections are lost at the same moment before the paths are
checked: several targets seldom crash together."""

_SAME_MOMENT_S: Final = 0.05
_MAX_NAMED: Final = 4
_MS_PER_S: Final = 1000


@dataclasses.dataclass(slots=True)
class _ServicePaths:
    """Failed connection attempts since the last connection that was made.

    ``failed_s`` maps each target to when its newest attempt failed, ``lost_s``
    to when an open connection was lost. ``cut_off_s`` is since when the service
    counts as unreachable, if it does.
    """

    failed_s: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    cut_off_s: float | None = None
    lost_s: dict[ids.TargetId, float] = dataclasses.field(default_factory=dict)


class Connectivity:
    """Judges by connection attempts which services can be reached.

    ``check`` tries to connect to targets of a service. It is set by the code
    that owns the connections.

    For example::

        connectivity.failed(service, target_id, target_count)
        if connectivity.is_cut_off(service):
            await relaying.attempt(...)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start with all services reachable."""
        self._clock = clock
        self._paths: dict[ids.ServiceName, _ServicePaths] = {}
        self._answered_s: dict[ids.ServiceName, float] = {}
        self._checks: set[asyncio.Future[None]] = set()
        self._changed = asyncio.Event()
        self.check: Callable[[ids.ServiceName], Awaitable[None]] = (
            _check_nothing
        )

    async def lost(
        self, service: ids.ServiceName, target_id: ids.TargetId
    ) -> None:
        """Record a lost connection, and check the paths if many were lost.

        A cut may reset the connections to all targets at once. The caller then
        waits with its conclusions until the check is over.
        """
        now_s = self._clock.monotonic_s()
        paths = self._paths.setdefault(service, _ServicePaths())
        paths.lost_s[target_id] = now_s
        # The other connections are lost in the same iteration of the loop.
        await asyncio.sleep(0)
        paths.lost_s = {
            lost_id: lost_s
            for lost_id, lost_s in paths.lost_s.items()
            if now_s - lost_s < _SAME_MOMENT_S
        }
        if len(paths.lost_s) >= _MIN_LOST_TARGETS:
            await self.check(service)

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
        elif self.is_doubtful(service):
            check = asyncio.ensure_future(self.check(service))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)

    def connected(self, service: ids.ServiceName) -> None:
        """Record that a new connection to a target of the service was made."""
        self.answered(service)
        paths = self._paths.pop(service, None)
        if paths is None or paths.cut_off_s is None:
            return
        lasted_s = self._clock.monotonic_s() - paths.cut_off_s
        logs.write(
            events.Reconnected(
                service=service, lasted_ms=round(lasted_s * _MS_PER_S)
            )
        )

    def answered(self, service: ids.ServiceName) -> None:
        """Record that a target of the service has answered."""
        self._answered_s[service] = self._clock.monotonic_s()

    def is_doubtful(self, service: ids.ServiceName) -> bool:
        """Return whether the newest connection failed, and nothing answers.

        The daemon may be cut off, or only this target gone: a peer can tell
        sooner than a second connection that has to time out.
        """
        paths = self._paths.get(service)
        if paths is None:
            return False
        since_s = self._clock.monotonic_s() - _RECENT_S
        newest_failed_s = max(paths.failed_s.values(), default=since_s)
        if newest_failed_s <= since_s:
            return False
        return self._answered_s.get(service, since_s) <= since_s

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


async def _check_nothing(service: ids.ServiceName) -> None:
    """Do nothing: the default of ``check``."""
