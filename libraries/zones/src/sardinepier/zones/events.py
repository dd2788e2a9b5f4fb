"""Log events of a daemon's role in its zone, and of its platform reader."""

from collections.abc import Sequence

from sardinepier.telemetry import line_events


class ZoneHandedOver(line_events.LineEvent, frozen=True):
    """This carrier can't reach targets and hands its zone over for a while."""

    out_of_reach: Sequence[str]


class CarriersWanted(line_events.LineEvent, frozen=True):
    """This daemon, the first carrier, changed the number of carriers."""

    count: int
    before: int


class CarrierChanged(line_events.LineEvent, frozen=True):
    """This daemon became or ceased to be one of its zone's ``count`` carriers.

    ``rank`` is its place in the order, 0 for the first.
    """

    is_carrier: bool
    rank: int
    count: int


class EntryUnusable(line_events.LineEvent, frozen=True):
    """An entry of the platform can't be read and is skipped.

    Logged once for each entry and reason, not at each snapshot.
    """

    key: str
    what: str


class EntryUsable(line_events.LineEvent, frozen=True):
    """An entry that could not be read was removed, or can be read again."""

    key: str


class ReadingSlow(line_events.LineEvent, frozen=True):
    """Reading a platform snapshot took long, so that the snapshot is old.

    The platform, the link or the processor of this instance is slow.
    """

    took_ms: int


class PlatformRegained(line_events.LineEvent, frozen=True):
    """The platform answers this daemon again, after ``failures`` failures."""

    failures: int


class PlatformLost(line_events.LineEvent, frozen=True):
    """The platform did not answer this daemon.

    ``age_ms`` is the age of the target list that stays in use, -1 without one.
    """

    error: str
    what: str
    age_ms: int


class ConfirmationLost(line_events.LineEvent, frozen=True):
    """Requests with a key are refused, for lack of a confirmation.

    Neither the platform nor another daemon has confirmed the configuration for
    ``age_ms``.
    """

    age_ms: int


class ConfirmationRegained(line_events.LineEvent, frozen=True):
    """Requests with a key are served again."""

    age_ms: int


class SlotUseUnusable(line_events.LineEvent, frozen=True):
    """The requests in flight that ``member`` reports are not counted here.

    Its target list has differed from this daemon's for seconds.
    """

    member: str


class SlotUseUsable(line_events.LineEvent, frozen=True):
    """The lists are equal again, and the reports of ``member`` are counted."""

    member: str
