"""What a relay can be told to do to a link, and how it is told."""

import enum

import msgspec


class LinkMode(enum.Enum):
    """What becomes of the bytes on a link."""

    PASS = 'pass'

    DROP = 'drop'
    """Bytes vanish while the connection stays open, as on a cut cable.
    Connections that lost bytes are closed when the link passes again."""

    REFUSE = 'refuse'
    """Connections are closed, new ones too."""


class Direction(enum.Enum):
    """Seen from whoever connects."""

    FORWARD = 'forward'
    BACKWARD = 'backward'
    BOTH = 'both'


class LinkRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rule for one listener of the relay: the body of ``POST /control/link``.

    ``source_ip`` picks the connections that come from one address; without
    it the rule is for all. A later rule for the same listener and source
    takes the place of the earlier one.
    """

    listener: str
    mode: LinkMode
    source_ip: str = ''
    direction: Direction = Direction.BOTH

    def drops(self, direction: Direction) -> bool:
        """Tell whether bytes in ``direction`` vanish."""
        if self.mode is not LinkMode.DROP:
            return False
        return self.direction in {direction, Direction.BOTH}


class CutCount(msgspec.Struct, frozen=True):
    """On how many connections the relay has lost bytes so far."""

    connections: int


class ListenerPlan(msgspec.Struct, frozen=True):
    """A port of the relay and the process behind it."""

    name: str
    ip: str
    port: int


class RelayPlan(msgspec.Struct, frozen=True):
    """The file from which a relay process reads its listeners."""

    listeners: tuple[ListenerPlan, ...]
