"""Counters of sent, received and dropped messages."""

import enum

import msgspec


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


class NetworkCounters(msgspec.Struct, frozen=True):
    """A snapshot of a network's counters since it was created."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    dropped: dict[DropReason, int] = {}
    handler_failures: dict[str, int] = {}


class CounterSet:
    """The mutable counters of one network."""

    def __init__(self) -> None:
        """Start all counts at zero."""
        self._messages_sent = 0
        self._bytes_sent = 0
        self._messages_received = 0
        self._bytes_received = 0
        self._dropped: dict[DropReason, int] = {}
        self._handler_failures: dict[str, int] = {}

    def sent(self, size_bytes: int) -> None:
        """Count one message passed to the messaging library or the hub."""
        self._messages_sent += 1
        self._bytes_sent += size_bytes

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
        )
