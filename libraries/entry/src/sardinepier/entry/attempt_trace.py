"""What became of each attempt of a request, for the line about its end."""

import enum

import msgspec


class ConnectionUse(enum.Enum):
    """The connection on which an attempt was sent."""

    NONE = 'none'
    """Nothing was sent."""

    NEW = 'new'
    """The attempt was the first on its connection."""

    KEPT = 'kept'
    """The connection had carried other requests before."""

    PEER = 'peer'
    """Another daemon was asked to make the attempt."""


def connection_use(*, is_reused: bool) -> ConnectionUse:
    """Return the use of a connection to a target."""
    return ConnectionUse.KEPT if is_reused else ConnectionUse.NEW


class AttemptTrace(msgspec.Struct, frozen=True, kw_only=True):
    """How one attempt ended.

    ``receiver`` is the target, or the daemon that was asked to make the
    attempt. ``outcome`` is how it ended: ``ok``, ``cancelled``, or the kind of
    failure with what proves it.
    """

    receiver: str
    connection: ConnectionUse
    outcome: str
    taken_ms: int
