"""What the daemons of a zone write to the log about their part in it."""

from collections.abc import Sequence

from sardinepier.telemetry import line_events


class ZoneHandedOver(line_events.LineEvent, frozen=True):
    """This carrier lost the way to targets and stands down for a while."""

    out_of_reach: Sequence[str]


class CarriersWanted(line_events.LineEvent, frozen=True):
    """This daemon, the first carrier, decided on another number of them."""

    count: int
    before: int


class CarrierChanged(line_events.LineEvent, frozen=True):
    """This daemon began or ceased to be one of its zone's ``count`` carriers.

    ``rank`` is its place in the order, 0 for the first.
    """

    is_carrier: bool
    rank: int
    count: int


class EntryUnusable(line_events.LineEvent, frozen=True):
    """An entry of the platform can't be read and is passed over.

    Told once for each entry and reason, not at each reading.
    """

    key: str
    what: str


class EntryUsable(line_events.LineEvent, frozen=True):
    """An entry that could not be read is gone, or can be read again."""

    key: str


class ReadingSlow(line_events.LineEvent, frozen=True):
    """A reading of the platform took long: what it tells is as old.

    The platform is slow, or the link or the processor of this instance.
    """

    took_ms: int


class PlatformRegained(line_events.LineEvent, frozen=True):
    """The platform answers this daemon again, after so many failures."""

    failures: int


class PlatformLost(line_events.LineEvent, frozen=True):
    """The platform did not answer this daemon.

    ``age_ms`` is how old the target list was that stays in use, -1 without
    one.
    """

    error: str
    what: str
    age_ms: int


class ConfirmationLost(line_events.LineEvent, frozen=True):
    """Requests with a key are refused.

    Neither the platform nor another daemon has confirmed the configuration
    since ``age_ms``.
    """

    age_ms: int


class ConfirmationRegained(line_events.LineEvent, frozen=True):
    """Requests with a key are served again."""

    age_ms: int
