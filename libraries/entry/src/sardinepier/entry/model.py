"""The configuration that an entry instance serves, and the list of targets.

A configuration is an immutable value. It is applied whole or not at all, and a
request keeps the one it started with.
"""

import enum
from typing import Final

import msgspec

from sardinepier.core import ids


class RouteKind(enum.Enum):
    """Whether the requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'
    """Idempotent, with long answers."""

    UNKNOWN = 'unknown'
    """A kind that this version does not know. Its requests run at most once,
    which is safe for any kind."""


_IDEMPOTENT_KINDS: Final = frozenset((RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD))


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """The share of a route's requests that one service gets.

    ``weight`` is relative to the sum of the weights of the route.
    """

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """A route: one path prefix of one host.

    ``prefix`` begins and ends with a slash. ``shares`` has one entry for a
    plain route and several for a split one. ``timeout_s`` bounds the time
    until an answer, ``target_latency_s`` is the time within which an answer
    is worth most. A lower ``priority`` is more urgent. ``max_attempts`` bounds
    the targets that run one request. ``is_public`` routes accept requests
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
        """Return whether a request may run more than once."""
        return self.kind in _IDEMPOTENT_KINDS


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A service, and what its targets accept.

    ``health_path`` is the path that health checks request. ``max_connections``
    bounds the connections of all callers together to one target.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int


class Customer(msgspec.Struct, frozen=True, array_like=True):
    """A customer, whose requests are identified by its keys.

    ``key_digests`` are made by :func:`sardinepier.entry.credentials.digest_of`.
    ``priority`` overrides that of the route, unless it is None.
    ``rate_per_s`` and ``burst`` limit its requests over the whole fleet; a
    rate of 0 means no limit.
    """

    name: ids.CustomerName
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CallerBounds(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the size of a caller's requests and the time to send them."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class ServedConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services at one version. Versions only grow.

    ``customers`` are all who may send requests, or None where requests need
    no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    bounds: CallerBounds = CallerBounds()
    customers: tuple[Customer, ...] | None = None

    def has_competing_requests(self) -> bool:
        """Return whether some requests come before others when slots are few.

        That is the case with routes or customers of different priority and
        with limits of customers.
        """
        customers = self.customers or ()
        priorities = {route.priority for route in self.routes}
        priorities.update(
            customer.priority
            for customer in customers
            if customer.priority is not None
        )
        has_limit = any(customer.rate_per_s > 0 for customer in customers)
        return has_limit or len(priorities) > 1

    def unknown_kinds(self) -> int:
        """Return how many routes have a kind unknown to this version."""
        return sum(route.kind is RouteKind.UNKNOWN for route in self.routes)


class TargetState(enum.Enum):
    """The state that a target announces in the list of targets."""

    READY = 'ready'
    DRAINING = 'draining'


class ListedTarget(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a target, as the platform lists it.

    ``target_id`` identifies this incarnation only. A target may restart under
    the same ``name``, which is empty where it equals ``target_id``. ``born_ms``
    is when this incarnation started, 0 for unknown; the greatest one of a name
    is the newest. ``warm_in_s`` is how much longer the target is slow after its
    start, counted from when the list was read.
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
        """Return the name that all incarnations of the target have."""
        return self.name or self.target_id


REVISIONS_PER_EPOCH: Final = 1_000_000_000_000
"""More revisions than a platform issues within one epoch. A platform that was
restored from a backup begins a new epoch and issues the same revisions again. A
revision in this program is the epoch times this number, plus the platform's own
revision, so that it only grows."""


class TargetList(msgspec.Struct, frozen=True, array_like=True):
    """All targets at one revision of the platform. Revisions only grow."""

    revision: int
    targets: tuple[ListedTarget, ...]

    @property
    def epoch(self) -> int:
        """Return how often the platform had been restored from a backup."""
        return self.revision // REVISIONS_PER_EPOCH
