"""Link rules of the relay, and the messages of its control endpoint."""

import enum

import msgspec


class LinkMode(enum.Enum):
    """What a relay does with the bytes on a link."""

    PASS = 'pass'

    DROP = 'drop'
    """Bytes are dropped while the connection stays open, as on a cut cable.
    Connections that lost bytes are closed when the link passes again."""

    REFUSE = 'refuse'
    """Present and new connections are closed."""


class Direction(enum.Enum):
    """Direction of bytes, seen from the side that connects."""

    FORWARD = 'forward'
    BACKWARD = 'backward'
    BOTH = 'both'


class LinkRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rule for one listener of the relay: the body of ``POST /control/link``.

    ``source_ip`` restricts the rule to connections from one address. A later
    rule for the same listener and source replaces the earlier one.
    """

    listener: str
    mode: LinkMode
    source_ip: str = ''
    direction: Direction = Direction.BOTH

    def drops(self, direction: Direction) -> bool:
        """Return whether bytes in ``direction`` are dropped."""
        if self.mode is not LinkMode.DROP:
            return False
        return self.direction in {direction, Direction.BOTH}


class CutCount(msgspec.Struct, frozen=True):
    """The number of connections on which the relay dropped bytes."""

    connections: int


class ListenerPlan(msgspec.Struct, frozen=True):
    """A port of the relay and the process behind it."""

    name: str
    ip: str
    port: int


class RelayPlan(msgspec.Struct, frozen=True):
    """The file from which a relay process reads its listeners."""

    listeners: tuple[ListenerPlan, ...]
