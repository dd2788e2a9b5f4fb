"""Intervals and limits of membership, with their defaults."""

import dataclasses
from typing import Final

from sardinepier.core import errors

DEFAULT_HEARTBEAT_INTERVAL_S: Final = 1.0
DEFAULT_MONITORED_PEERS: Final = 4
DEFAULT_ZONE_PEERS: Final = 0
DEFAULT_ZONE_LINKS: Final = 0
DEFAULT_SUSPICION_TIMEOUT_S: Final = 5.0
DEFAULT_PAUSE_GAP_S: Final = 3.0
DEFAULT_INDIRECT_PEERS: Final = 3
DEFAULT_UPDATES_PER_MESSAGE: Final = 8
DEFAULT_SYNC_INTERVAL_S: Final = 10.0
DEFAULT_SYNC_ENTRIES_PER_S: Final = 80
DEFAULT_UPDATES_PER_S: Final = 80
DEFAULT_FIRST_CONTACT_ACKS_PER_S: Final = 32
DEFAULT_NAMED_TO_STRANGERS: Final = 0
DEFAULT_ROUNDS_PER_S: Final = 0
DEFAULT_CONTACT_RETRY_S: Final = 5.0
DEFAULT_DEAD_KEEP_S: Final = 600.0
DEFAULT_MAX_MEMBERS: Final = 4096
DEFAULT_MAX_DEAD: Final = 1024
DEFAULT_MAX_CONTACTS: Final = 2048

_FAST_START_ENTRIES_PER_S: Final = 300
"""Entry rate during a fast start. At about one hundred bytes per entry it keeps
the three seed daemons, which all others contact, within 29 kB/s over the first
five seconds."""

_FAST_START_ZONE_LINKS: Final = 3
"""Probes between two zones in each direction and second. One or two may fail
together with the daemons that send them."""

_MAY_BE_ZERO: Final = frozenset(
    ('zone_peers', 'zone_links', 'named_to_strangers', 'rounds_per_s'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals and limits of one daemon's membership.

    - ``heartbeat_interval_s``: time between two heartbeats to the same peer.
    - ``monitored_peers``: number of peers that receive heartbeats.
    - ``zone_peers``: how many of them are in the daemon's own zone, if it has
      other members. Traffic between zones is expensive; the remaining peers
      still detect that a zone is cut off.
    - ``zone_links``: how many daemons of a zone monitor a peer of each other
      zone. All other monitored peers and exchanges of tables are then in the
      daemon's own zone, so that the traffic between zones does not grow with
      the fleet. With 0 it is not limited.
    - ``suspicion_timeout_s``: how long a suspected member may refute.
    - ``pause_gap_s``: a longer gap between two ticks means that this process
      was paused.
    - ``indirect_peers``: how many peers are requested to probe a peer that
      did not answer.
    - ``updates_per_message``, ``updates_per_s``: limits on the gossip of one
      heartbeat and of one second.
    - ``sync_interval_s``: time between two table exchanges with equal tables.
    - ``sync_entries_per_s``: limit on table entries sent in table exchanges.
    - ``first_contact_acks_per_s``: limit on answers to daemons that know only
      this daemon's address.
    - ``named_to_strangers``: how many other members such an answer contains.
    - ``rounds_per_s``: how many table exchanges may follow each other at once
      while they bring new entries; with 0 there is one per interval.
    - ``contact_retry_s``: time between probes of seed addresses and addresses
      of unreachable members.
    - ``dead_keep_s``: how long dead members are remembered, so that outdated
      updates do not revive them.
    - ``max_members``, ``max_dead``, ``max_contacts``: limits on stored living
      members, dead members, and addresses of either sort.
    """

    heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S
    monitored_peers: int = DEFAULT_MONITORED_PEERS
    zone_peers: int = DEFAULT_ZONE_PEERS
    zone_links: int = DEFAULT_ZONE_LINKS
    suspicion_timeout_s: float = DEFAULT_SUSPICION_TIMEOUT_S
    pause_gap_s: float = DEFAULT_PAUSE_GAP_S
    indirect_peers: int = DEFAULT_INDIRECT_PEERS
    updates_per_message: int = DEFAULT_UPDATES_PER_MESSAGE
    updates_per_s: int = DEFAULT_UPDATES_PER_S
    sync_interval_s: float = DEFAULT_SYNC_INTERVAL_S
    sync_entries_per_s: int = DEFAULT_SYNC_ENTRIES_PER_S
    first_contact_acks_per_s: int = DEFAULT_FIRST_CONTACT_ACKS_PER_S
    named_to_strangers: int = DEFAULT_NAMED_TO_STRANGERS
    rounds_per_s: int = DEFAULT_ROUNDS_PER_S
    contact_retry_s: float = DEFAULT_CONTACT_RETRY_S
    dead_keep_s: float = DEFAULT_DEAD_KEEP_S
    max_members: int = DEFAULT_MAX_MEMBERS
    max_dead: int = DEFAULT_MAX_DEAD
    max_contacts: int = DEFAULT_MAX_CONTACTS

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` for values that cannot work."""
        for field in dataclasses.fields(self):
            if field.name not in _MAY_BE_ZERO:
                _check_positive(field.name, getattr(self, field.name))
        if self.pause_gap_s <= self.heartbeat_interval_s:
            raise errors.InvalidArgumentError(
                f'pause_gap_s is {self.pause_gap_s}, not above the interval'
                f' of {self.heartbeat_interval_s} between heartbeats',
                'Pass a few times heartbeat_interval_s',
            )


def _check_positive(name: str, number: float) -> None:
    if number <= 0:
        raise errors.InvalidArgumentError(
            f'{name} is {number}',
            'Pass a number above 0',
        )


FAST_START: Final = MembershipOptions(
    sync_entries_per_s=_FAST_START_ENTRIES_PER_S,
    first_contact_acks_per_s=2 * DEFAULT_FIRST_CONTACT_ACKS_PER_S,
    named_to_strangers=4,
    rounds_per_s=8,
    zone_links=_FAST_START_ZONE_LINKS,
)
"""For fleets of several hundred daemons that may start at the same time, each with
three seed addresses, while requests arrive. In simulated time, half of 293 daemons
know half of the others after 0.75 s instead of 6 s. Each daemon sends 50 kB/s
within the first second, and no more than with the defaults once all are known."""
