"""Bounds that keep the network's memory and sockets finite."""

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
"""The longest pause between two attempts to connect to a peer that is gone.

A daemon that is started again under its old address hears from its peers only
once they have connected to it anew. Measured on loopback, at a longest pause
of 2 s that took up to 1.9 s, which is more than it waits for them before it
takes what the platform says. Each attempt costs three small packets.
"""


def require_positive(name: str, number: Number) -> Number:
    """Return ``number``; raise ``InvalidArgumentError`` unless above 0."""
    if number > 0:
        return number
    raise errors.InvalidArgumentError(
        f'{name} is {number}',
        'Pass a number above 0',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ZmqLimits:
    """Bounds of one ``ZmqNetwork``.

    ``max_message_bytes`` fits one published file of a megabyte.
    ``queued_bytes`` bounds what waits for all peers together, and
    ``max_peers`` the sockets for sending. ``high_water_mark`` bounds the
    messages that the library holds for one connection. A message that found
    no connection for ``message_ttl_s`` seconds is dropped: a heartbeat that arrives
    late says less than none.
    """

    max_message_bytes: int = DEFAULT_MAX_MESSAGE_BYTES
    queued_bytes: int = DEFAULT_QUEUED_BYTES
    max_peers: int = DEFAULT_MAX_PEERS
    high_water_mark: int = DEFAULT_HIGH_WATER_MARK
    message_ttl_s: float = DEFAULT_MESSAGE_TTL_S

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` unless all bounds are above 0."""
        for field in dataclasses.fields(self):
            require_positive(field.name, getattr(self, field.name))
