"""Every interval and bound of membership, with its default."""

import dataclasses
from typing import Final

from sardinepier.core import errors

DEFAULT_HEARTBEAT_INTERVAL_S: Final = 1.0
DEFAULT_MONITORED_PEERS: Final = 4
DEFAULT_ZONE_PEERS: Final = 0
DEFAULT_SUSPICION_TIMEOUT_S: Final = 5.0
DEFAULT_PAUSE_GAP_S: Final = 3.0
DEFAULT_INDIRECT_PEERS: Final = 3
DEFAULT_UPDATES_PER_MESSAGE: Final = 8
DEFAULT_SYNC_INTERVAL_S: Final = 10.0
DEFAULT_SYNC_ENTRIES_PER_S: Final = 80
DEFAULT_UPDATES_PER_S: Final = 80
DEFAULT_GREETINGS_PER_S: Final = 32
DEFAULT_NAMED_TO_STRANGERS: Final = 0
DEFAULT_ROUNDS_PER_S: Final = 0
DEFAULT_LOST_RETRY_S: Final = 5.0
DEFAULT_DEAD_KEEP_S: Final = 600.0
DEFAULT_MAX_MEMBERS: Final = 4096
DEFAULT_MAX_DEAD: Final = 1024
DEFAULT_MAX_CONTACTS: Final = 2048

_FAST_ENTRIES_PER_S: Final = 300
"""As many as keep the three that all know the addresses of within 29 kB/s over
the first five seconds: an entry has some hundred bytes."""

_MAY_BE_ZERO: Final = frozenset(
    ('zone_peers', 'named_to_strangers', 'rounds_per_s'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """How often membership works, and how much at most.

    ``heartbeat_interval_s`` lies between two heartbeats to each of
    ``monitored_peers`` peers, of which ``zone_peers`` are taken from the own
    zone while there are any: bytes between zones are dear, and the others
    still tell of a zone that is cut off. A suspected member has
    ``suspicion_timeout_s`` to refute. A gap of ``pause_gap_s`` between two
    ticks means that this process was paused. ``indirect_peers`` are asked to
    probe in turn when a peer does not answer. ``updates_per_message`` bounds
    the news on one heartbeat and ``updates_per_s`` that on all of one
    second, ``sync_entries_per_s`` the table entries given to others
    within one, and ``greetings_per_s`` the answers to daemons that know only an
    address; such an answer names ``named_to_strangers`` others beside the sender.
    ``rounds_per_s`` exchanges of tables may follow each other at once while they
    bring something new; with 0 there is one an interval. One lost or seed
    address is tried each ``lost_retry_s``. The dead are remembered for
    ``dead_keep_s``, so that old news does not bring them back.
    """

    heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S
    monitored_peers: int = DEFAULT_MONITORED_PEERS
    zone_peers: int = DEFAULT_ZONE_PEERS
    suspicion_timeout_s: float = DEFAULT_SUSPICION_TIMEOUT_S
    pause_gap_s: float = DEFAULT_PAUSE_GAP_S
    indirect_peers: int = DEFAULT_INDIRECT_PEERS
    updates_per_message: int = DEFAULT_UPDATES_PER_MESSAGE
    updates_per_s: int = DEFAULT_UPDATES_PER_S
    sync_interval_s: float = DEFAULT_SYNC_INTERVAL_S
    sync_entries_per_s: int = DEFAULT_SYNC_ENTRIES_PER_S
    greetings_per_s: int = DEFAULT_GREETINGS_PER_S
    named_to_strangers: int = DEFAULT_NAMED_TO_STRANGERS
    rounds_per_s: int = DEFAULT_ROUNDS_PER_S
    lost_retry_s: float = DEFAULT_LOST_RETRY_S
    dead_keep_s: float = DEFAULT_DEAD_KEEP_S
    max_members: int = DEFAULT_MAX_MEMBERS
    max_dead: int = DEFAULT_MAX_DEAD
    max_contacts: int = DEFAULT_MAX_CONTACTS

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` for what cannot work."""
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
    sync_entries_per_s=_FAST_ENTRIES_PER_S,
    greetings_per_s=2 * DEFAULT_GREETINGS_PER_S,
    named_to_strangers=4,
    rounds_per_s=8,
)
"""For fleets of some hundred daemons that may all start at once, each with three
addresses, while requests come. Half of 293 know half of the others after 0.75 s
instead of 6 s, in virtual time. It takes 50 kB/s of each daemon within the first
second, and no more than the defaults once all are known."""
