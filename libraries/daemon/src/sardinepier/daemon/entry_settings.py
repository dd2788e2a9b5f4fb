"""What one entry instance has to know before it starts."""

import dataclasses

from sardinepier.core import ids
from sardinepier.entry import header_names, idle_threshold
from sardinepier.membership import capacity as capacities
from sardinepier.routing import fleet_limits
from sardinepier.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class EntryBounds:
    """The figures that an installation sets.

    ``directory_s`` is how long callers may keep a directory answer at most.
    ``grace_s`` is how long the process may live after SIGTERM.
    ``retry_ratio`` bounds further attempts as a fraction of the requests of
    a service over the whole fleet, and ``retry_burst`` what may come on top
    within ten seconds. ``zones`` is how many share that.
    ``min_used_share``, 0 to 1, is how many of a service's sound targets have to
    get requests within two seconds while others fail. ``revocation_s`` is how
    long after a key was withdrawn requests may still come through with it, at
    daemons that are cut off too; None sets no bound for those. ``leeway`` is by
    how much the limits of customers may be exceeded over the whole fleet.
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

    ``front`` is where callers connect, ``peer`` where other daemons send,
    ``directory`` where callers ask for addresses and ``ready`` where the
    platform asks whether this instance is ready, and ``metrics`` where its
    figures are read; the last three may be absent.
    ``seeds`` are the peer addresses of daemons to begin with. ``names``
    are the headers in use. ``capacity`` is what the instance may use of its
    processor and its link.
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
