"""Counters of sent, received and dropped messages."""

import enum
from collections.abc import Callable
from typing import Final

import msgspec

from sardinepier.wire import messages

CrossesZones = Callable[[messages.PeerAddress], bool | None]
"""Returns whether the daemon at an address is in another availability zone, and
None if its zone is unknown."""

TRANSPORT_OVERHEAD_BYTES: Final = 60
"""Estimate of what the transport adds to a small message: 20 bytes of IPv4
header, 32 of TCP header with time stamps, 2 of framing, and a share of the
acknowledgements. Counted bytes include the envelope, but not this."""


class DropReason(enum.Enum):
    """Why a message was not sent or not passed to a handler."""

    QUEUE_FULL = 'queue-full'
    """The queue of its peer or of the whole network was full."""

    STALE = 'stale'
    """It waited for a connection longer than the limit on its age."""

    PEER_LIMIT = 'peer-limit'
    """The limit on peers with sockets was reached, and none was idle."""

    BAD_PEER = 'bad-peer'
    """The destination is not a valid IP address and port."""

    SEND_FAILED = 'send-failed'
    """The socket for it could not be opened."""

    CLOSED = 'closed'
    """The network was no longer running."""

    OVERSIZED = 'oversized'
    """It exceeded the maximum message size."""

    MALFORMED = 'malformed'
    """It has no valid envelope, or its fields do not match its kind."""

    UNKNOWN_KIND = 'unknown-kind'
    """Its kind is not registered in this process."""

    WRONG_VERSION = 'wrong-version'
    """Its envelope has another protocol version."""

    BAD_SENDER = 'bad-sender'
    """Its sender has no valid address or no instance id."""

    NO_HANDLER = 'no-handler'
    """Its kind is registered, but has no handler."""

    HANDLER_FAILED = 'handler-failed'
    """Its handler raised an exception."""


class ZoneCrossing(enum.Enum):
    """Whether the receiver of a message is in another zone than its sender."""

    CROSSES = 'yes'
    WITHIN = 'no'
    UNKNOWN = 'unknown'
    """The zone of the receiver is not known yet."""


class KindTraffic(msgspec.Struct, frozen=True):
    """What was sent of one kind of message, by where it was sent."""

    kind: str
    crossing: ZoneCrossing
    messages: int
    bytes: int


class NetworkCounters(msgspec.Struct, frozen=True):
    """A snapshot of a network's counters since it was created.

    ``traffic`` breaks the sent messages and bytes down.
    """

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    dropped: dict[DropReason, int] = {}
    handler_failures: dict[str, int] = {}
    traffic: tuple[KindTraffic, ...] = ()


class _Sum:
    """Messages and bytes of one kind and crossing."""

    __slots__ = ('bytes', 'messages')

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0


class CounterSet:
    """The mutable counters of one network.

    ``crosses_zones`` is set by code that knows the zones; without it all
    receivers are of unknown zone.
    """

    def __init__(self) -> None:
        """Start all counts at zero."""
        self.crosses_zones: CrossesZones | None = None
        self._traffic: dict[tuple[str, bool | None], _Sum] = {}
        self._messages_sent = 0
        self._bytes_sent = 0
        self._messages_received = 0
        self._bytes_received = 0
        self._dropped: dict[DropReason, int] = {}
        self._handler_failures: dict[str, int] = {}

    def sent(
        self,
        receiver: messages.PeerAddress,
        kind: str,
        size_bytes: int,
    ) -> None:
        """Count one message passed to the messaging library or the hub."""
        self._messages_sent += 1
        self._bytes_sent += size_bytes
        key = (kind, self._crosses_zones(receiver))
        total = self._traffic.get(key)
        if total is None:
            total = self._traffic.setdefault(key, _Sum())
        total.messages += 1
        total.bytes += size_bytes

    def received(self, size_bytes: int) -> None:
        """Count one received message, before it is decoded."""
        self._messages_received += 1
        self._bytes_received += size_bytes

    def drop(self, reason: DropReason) -> None:
        """Count one message dropped for ``reason``."""
        self._dropped[reason] = self._dropped.get(reason, 0) + 1

    def handler_failed(self, error: Exception) -> None:
        """Count an exception raised by a handler, by its type."""
        self.drop(DropReason.HANDLER_FAILED)
        name = type(error).__name__
        failures = self._handler_failures
        failures[name] = failures.get(name, 0) + 1

    def snapshot(self) -> NetworkCounters:
        """Return the current counts."""
        return NetworkCounters(
            messages_sent=self._messages_sent,
            bytes_sent=self._bytes_sent,
            messages_received=self._messages_received,
            bytes_received=self._bytes_received,
            dropped=dict(self._dropped),
            handler_failures=dict(self._handler_failures),
            traffic=tuple(
                KindTraffic(
                    kind, _CROSSINGS[crosses], total.messages, total.bytes
                )
                for (kind, crosses), total in self._traffic.items()
            ),
        )

    def _crosses_zones(self, receiver: messages.PeerAddress) -> bool | None:
        if self.crosses_zones is None:
            return None
        try:
            return self.crosses_zones(receiver)
        except Exception:
            # A failure to count must not prevent a message from being sent.
            return None


_CROSSINGS: Final = {
    True: ZoneCrossing.CROSSES,
    False: ZoneCrossing.WITHIN,
    None: ZoneCrossing.UNKNOWN,
}
