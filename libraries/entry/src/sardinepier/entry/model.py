"""What an entry instance serves: one whole configuration across services.

A configuration is a value. It is taken whole or not at all, and a request
keeps the one it started with.
"""

import enum
from typing import Final

import msgspec

from sardinepier.core import ids


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'
    """Idempotent, with long answers."""

    UNKNOWN = 'unknown'
    """A kind that this version does not know: its requests run at most once,
    which is right whatever the kind allows."""


_REPEATABLE: Final = frozenset((RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD))


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """The part of a route's requests that one service gets.

    ``weight`` is relative to the sum of the weights of the route.
    """

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """One prefix of one host.

    ``prefix`` begins and ends with a slash. ``shares`` has one entry for a
    plain route and several for a split one. ``timeout_s`` bounds how long a
    request is kept waiting, ``target_latency_s`` is within which an answer
    is worth most. The lower ``priority``, the more urgent. ``max_attempts``
    bounds the targets that run one request. ``is_public`` routes take requests
    without a key.
    """

    name: ids.RouteName
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind in _REPEATABLE


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A service, and what its targets take.

    ``health_path`` is asked by health checks. ``max_connections`` bounds the
    connections of all callers together to one target.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int


class Customer(msgspec.Struct, frozen=True, array_like=True):
    """A customer, by whose keys its requests are known.

    ``key_digests`` are made by :func:`sardinepier.entry.credentials.digest_of`.
    ``priority`` goes before the one of a route, unless it is None.
    ``rate_per_s`` and ``burst`` bound its requests over the whole fleet; a
    rate of 0 bounds nothing.
    """

    name: ids.CustomerName
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CallerBounds(msgspec.Struct, frozen=True, array_like=True):
    """What one caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class ServedConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services at one version. Versions only grow.

    ``customers`` is None where requests need no key, and else all who may
    send any.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    bounds: CallerBounds = CallerBounds()
    customers: tuple[Customer, ...] | None = None

    def unknown_kinds(self) -> int:
        """Return how many routes have a kind that this version lacks."""
        return sum(route.kind is RouteKind.UNKNOWN for route in self.routes)


class TargetState(enum.Enum):
    """What a target says of itself where targets are listed."""

    READY = 'ready'
    DRAINING = 'draining'


class ListedTarget(msgspec.Struct, frozen=True, array_like=True):
    """One start of one target, as the platform lists it.

    ``target_id`` names this start only. A target may start again under the
    ``name`` that it had, empty where that is ``target_id``; ``born_ms`` then
    tells its starts apart, 0 for unknown. ``warm_in_s`` is how much longer the
    target is slow after its start, counted from the reading of the list.
    """

    target_id: ids.TargetId
    service: ids.ServiceName
    ip: str
    port: int
    zone: ids.ZoneName
    slots: int
    state: TargetState
    warm_in_s: float = 0.0
    name: str = ''
    born_ms: int = 0

    @property
    def stable_name(self) -> str:
        """Return what the target calls itself, whichever start it is."""
        return self.name or self.target_id


REVISIONS_PER_EPOCH: Final = 1_000_000_000_000
"""More than a platform makes before it is restored from a copy, after which it
gives revisions out again. A revision here is the era times this, and the
platform's own: it only grows."""


class TargetList(msgspec.Struct, frozen=True, array_like=True):
    """All targets at one revision of the platform. Revisions only grow."""

    revision: int
    targets: tuple[ListedTarget, ...]

    @property
    def epoch(self) -> int:
        """Return how often the platform was restored from a copy before."""
        return self.revision // REVISIONS_PER_EPOCH
