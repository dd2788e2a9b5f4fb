"""The sizes and limits that the fleet is built towards, and today's."""

from typing import Final

import msgspec

_TARGET_DAEMONS: Final = 1500
_TARGET_ZONES: Final = 9
_TARGET_WORKERS: Final = 16_000
_TARGET_SERVICES: Final = 340
_TARGET_ROUTES: Final = 10_000
_TARGET_CALLERS: Final = 150_000
_TARGET_REQUESTS_PER_S: Final = 130_000.0
_TARGET_CHANGES_PER_DAY: Final = 3000
_TARGET_FAILURES_PER_DAY: Final = 47
_TARGET_REPLACEMENTS_PER_DAY: Final = 3200
_GROUP_DAEMONS_PER_ZONE: Final = 1

CPU_LIMIT_PERCENT: Final = 1.4
MEMORY_LIMIT_MB: Final = 128.0
BYTES_LIMIT_PER_S: Final = 29_000.0
IN_FORCE_LIMIT_S: Final = 8.0
PLATFORM_LIMIT_PER_S: Final = 2000.0
VALUE_LIMIT_BYTES: Final = 1_000_000
WORKER_CONNECTIONS_LIMIT: Final = 400
DAY_S: Final = 86_400.0
WATCHERS_PER_ZONE: Final = 2


class FleetSize(msgspec.Struct, frozen=True, kw_only=True):
    """What there is to serve, and with how many daemons."""

    daemons: int
    zones: int
    workers: int
    services: int
    routes: int
    callers: int
    requests_per_s: float
    changes_per_day: int
    failures_per_day: int
    replacements_per_day: int
    group_daemons_per_zone: int

    @property
    def observers(self) -> int:
        """How many daemons judge one service."""
        return min(self.group_daemons_per_zone * self.zones, self.daemons)

    @property
    def targets_per_service(self) -> float:
        """Workers of an average service."""
        return self.workers / self.services

    @property
    def routes_per_service(self) -> float:
        """Routes of an average service."""
        return self.routes / self.services

    @property
    def services_per_daemon(self) -> float:
        """In how many groups an average daemon is."""
        return self.services * self.observers / self.daemons

    @property
    def targets_per_daemon(self) -> float:
        """How many targets an average daemon judges."""
        return self.services_per_daemon * self.targets_per_service

    @property
    def requests_per_daemon_s(self) -> float:
        """Requests a second at an average daemon."""
        return self.requests_per_s / self.daemons


TARGET: Final = FleetSize(
    daemons=_TARGET_DAEMONS,
    zones=_TARGET_ZONES,
    workers=_TARGET_WORKERS,
    services=_TARGET_SERVICES,
    routes=_TARGET_ROUTES,
    callers=_TARGET_CALLERS,
    requests_per_s=_TARGET_REQUESTS_PER_S,
    changes_per_day=_TARGET_CHANGES_PER_DAY,
    failures_per_day=_TARGET_FAILURES_PER_DAY,
    replacements_per_day=_TARGET_REPLACEMENTS_PER_DAY,
    group_daemons_per_zone=_GROUP_DAEMONS_PER_ZONE,
)
