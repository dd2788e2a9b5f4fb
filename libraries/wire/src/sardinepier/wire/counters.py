"""Counts of what a network sent, received and dropped, and why."""

import enum

import msgspec


class DropReason(enum.Enum):
    """Why a message was not sent or not handed to a handler."""

    QUEUE_FULL = 'queue-full'
    """The queue of its peer or of the whole network was full."""

    STALE = 'stale'
    """It waited for a connection longer than such messages are worth."""

    PEER_LIMIT = 'peer-limit'
    """The bound number of peers with sockets was busy."""

    BAD_PEER = 'bad-peer'
    """The address to send to is no IP number with a port."""

    SEND_FAILED = 'send-failed'
    """The socket refused it."""

    CLOSED = 'closed'
    """The network was no longer running."""

    OVERSIZED = 'oversized'
    """It was larger than the bound for one message."""

    MALFORMED = 'malformed'
    """It is no envelope, or its fields don't fit its kind."""

    UNKNOWN_KIND = 'unknown-kind'
    """This process has registered no such kind of message."""

    WRONG_VERSION = 'wrong-version'
    """Its envelope is of another protocol version."""

    BAD_SENDER = 'bad-sender'
    """Its sender names no valid address or no instance."""

    NO_HANDLER = 'no-handler'
    """The kind is registered, but nobody subscribed to it."""

    HANDLER_FAILED = 'handler-failed'
    """Its handler raised an exception."""


class NetworkCounters(msgspec.Struct, frozen=True):
    """A snapshot of a network's counters since its start."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    dropped: dict[DropReason, int] = {}
    handler_failures: dict[str, int] = {}


class CounterSet:
    """The counters of one network while it runs."""

    def __init__(self) -> None:
        """Start all counts at zero."""
        self._messages_sent = 0
        self._bytes_sent = 0
        self._messages_received = 0
        self._bytes_received = 0
        self._dropped: dict[DropReason, int] = {}
        self._handler_failures: dict[str, int] = {}

    def sent(self, size_bytes: int) -> None:
        """Count one message handed to the operating system."""
        self._messages_sent += 1
        self._bytes_sent += size_bytes

    def received(self, size_bytes: int) -> None:
        """Count one message as it arrived, whatever becomes of it."""
        self._messages_received += 1
        self._bytes_received += size_bytes

    def drop(self, reason: DropReason) -> None:
        """Count one message that was dropped for ``reason``."""
        self._dropped[reason] = self._dropped.get(reason, 0) + 1

    def handler_failed(self, error: Exception) -> None:
        """Count an exception of a handler by the name of its type."""
        self.drop(DropReason.HANDLER_FAILED)
        name = type(error).__name__
        failures = self._handler_failures
        failures[name] = failures.get(name, 0) + 1

    def snapshot(self) -> NetworkCounters:
        """Return the counts as they are now."""
        return NetworkCounters(
            messages_sent=self._messages_sent,
            bytes_sent=self._bytes_sent,
            messages_received=self._messages_received,
            bytes_received=self._bytes_received,
            dropped=dict(self._dropped),
            handler_failures=dict(self._handler_failures),
        )
