"""Settings of one entry instance."""

import dataclasses
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import header_names, idle_threshold
from sardinepier.gateway import descriptors
from sardinepier.membership import capacity as capacities
from sardinepier.routing import fleet_limits
from sardinepier.wire import messages

DEFAULT_MEMORY_BYTES: Final = 209_715_200
"""Memory of an instance that states none."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryBounds:
    """Limits that an installation sets.

    ``directory_s`` is the longest time for which callers may cache a directory
    answer. ``grace_s`` is how long the process may live after SIGTERM.
    ``retry_ratio`` limits the attempts after the first to a fraction of the
    requests of a service over the whole fleet. ``retry_burst`` is how many may
    be added within ten seconds, and ``zones`` how many zones share them.
    ``min_used_share``, 0 to 1, is the fraction of a service's healthy targets
    that must get requests within two seconds while other targets fail.
    ``revocation_s`` is how long requests with a withdrawn key may still be
    served, also by daemons that are cut off; None sets no limit for those.
    ``leeway`` is by how much the limits of customers may be exceeded over the
    whole fleet.
    """

    directory_s: float = 5.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_burst: int = 0
    zones: int = 1
    min_used_share: float = idle_threshold.MIN_USED_SHARE
    revocation_s: float | None = None
    leeway: fleet_limits.Leeway = fleet_limits.DEFAULT_LEEWAY


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Names and addresses of one entry instance.

    ``front`` is the address for callers, ``peer`` the one for other daemons,
    ``directory`` the one where callers request addresses, ``ready`` the one
    where the platform checks readiness and ``metrics`` the one where metrics
    are read; the last three may be absent. ``seeds`` are the peer addresses
    that the membership starts from. ``names`` are the names of the headers.
    ``capacity`` is what the instance may use of its processor and its network
    link. ``relay`` is the address for requests that other daemons relay; without
    one, none are relayed from here either. ``memory_bytes`` is what the process
    may use, and ``max_sockets`` how many it may open.
    """

    daemon_id: ids.DaemonId
    zone: ids.ZoneName
    region: ids.RegionName
    front: messages.PeerAddress
    peer: messages.PeerAddress
    directory: messages.PeerAddress | None
    ready: messages.PeerAddress | None
    metrics: messages.PeerAddress | None
    seeds: tuple[messages.PeerAddress, ...]
    bounds: EntryBounds
    names: header_names.HeaderNames
    capacity: capacities.Capacity = capacities.DEFAULT
    relay: messages.PeerAddress | None = None
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_sockets: int = dataclasses.field(
        default_factory=descriptors.default_sockets
    )
