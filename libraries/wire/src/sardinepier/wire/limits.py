"""Limits on the memory and the sockets of a network."""

import dataclasses
from typing import Final, TypeVar

from sardinepier.core import errors

Number = TypeVar('Number', int, float)

DEFAULT_MAX_MESSAGE_BYTES: Final = 1_200_000
DEFAULT_QUEUED_BYTES: Final = 16_777_216
DEFAULT_MAX_PEERS: Final = 256
DEFAULT_HIGH_WATER_MARK: Final = 64
DEFAULT_MESSAGE_TTL_S: Final = 2.0
MAX_RECONNECT_INTERVAL_S: Final = 0.4
"""The longest interval between two attempts to reconnect to a peer.

A daemon that is restarted at the same address receives from its peers only
after they have reconnected. At 2 s that took up to 1.9 s on loopback, longer
than a daemon waits for its peers before it falls back to the platform. An
attempt costs three small packets.
"""


def require_positive(name: str, number: Number) -> Number:
    """Return ``number``; raise ``InvalidArgumentError`` unless positive."""
    if number > 0:
        return number
    raise errors.InvalidArgumentError(
        f'{name} is {number}',
        'Pass a number above 0',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ZmqLimits:
    """Limits of one ``ZmqNetwork``.

    ``max_message_bytes`` fits one published file of a megabyte.
    ``queued_bytes`` limits the messages queued for all peers together, and
    ``max_peers`` the number of sending sockets. ``high_water_mark`` limits
    the messages that the messaging library buffers for one connection. A
    message that found no connection for ``message_ttl_s`` seconds is dropped,
    because a late heartbeat is worse than none.
    """

    max_message_bytes: int = DEFAULT_MAX_MESSAGE_BYTES
    queued_bytes: int = DEFAULT_QUEUED_BYTES
    max_peers: int = DEFAULT_MAX_PEERS
    high_water_mark: int = DEFAULT_HIGH_WATER_MARK
    message_ttl_s: float = DEFAULT_MESSAGE_TTL_S

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` unless all limits are positive."""
        for field in dataclasses.fields(self):
            require_positive(field.name, getattr(self, field.name))
