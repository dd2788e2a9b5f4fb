"""The time line: a bounded ring of events in every daemon.

For example::

    timeline = Timeline(instance_id, clock)
    timeline.record(daemon_events.WakeGapSeen(gap_ms=900, bound_ms=500))
    timeline.observe(stamp_from_a_peer)

Each message between daemons carries the sender's :meth:`Timeline.stamp`, and
the receiver gives it to :meth:`Timeline.observe`. Then :func:`merge` puts the
rings of many daemons into one order in which causes precede effects.
"""

import collections
from collections.abc import Iterable
from typing import Final

import msgspec
from sardinepier.core import clock as clocks
from sardinepier.core import errors, ids
from sardinepier.telemetry import daemon_events, events, stamps

DEFAULT_CAPACITY: Final = 4096
"""Entries kept by default."""


class TimelineEntry(msgspec.Struct, frozen=True):
    """One event with its moment and the daemon that recorded it."""

    stamp: stamps.Stamp
    instance_id: ids.InstanceId
    event: events.Event


class TimelineDocument(msgspec.Struct, frozen=True):
    """The answer to ``GET /v1/timeline``.

    ``dropped`` counts the entries that the full ring has let go since the
    daemon started, oldest first.
    """

    entries: tuple[TimelineEntry, ...]
    dropped: int
    instance_id: ids.InstanceId


class _ForeignEntry(msgspec.Struct, frozen=True):
    stamp: stamps.Stamp
    instance_id: ids.InstanceId
    event: msgspec.Raw


class _ForeignDocument(msgspec.Struct, frozen=True):
    entries: tuple[_ForeignEntry, ...]
    dropped: int
    instance_id: ids.InstanceId


class Timeline:
    """The ring of one daemon."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        capacity: int = DEFAULT_CAPACITY,
        max_ahead_ms: int = stamps.MAX_AHEAD_MS,
    ) -> None:
        """Keep the last ``capacity`` events.

        Raises ``core.errors.InvalidArgumentError`` for a capacity below 1.
        """
        _check_capacity(capacity)
        self._instance_id = instance_id
        self._clock = stamps.HybridClock(clock, max_ahead_ms)
        self._ring: collections.deque[TimelineEntry] = collections.deque(
            maxlen=capacity,
        )
        self._recorded = 0

    @property
    def dropped(self) -> int:
        """Return how many entries the full ring has let go."""
        return self._recorded - len(self._ring)

    @property
    def refused_stamps(self) -> int:
        """Return how many stamps of peers were too far ahead to follow."""
        return self._clock.refused_stamps

    def record(self, event: events.Event) -> TimelineEntry:
        """Append ``event`` with a new stamp and return its entry."""
        entry = TimelineEntry(self._clock.tick(), self._instance_id, event)
        self._ring.append(entry)
        self._recorded += 1
        return entry

    def observe(self, stamp: stamps.Stamp) -> bool:
        """Follow a peer's stamp; return False when it was refused."""
        return self._clock.observe(stamp)

    def stamp(self) -> stamps.Stamp:
        """Return a new stamp, to send along with a message."""
        return self._clock.tick()

    def since(
        self,
        stamp: stamps.Stamp | None = None,
    ) -> tuple[TimelineEntry, ...]:
        """Return the entries after ``stamp``, or all, oldest first."""
        if stamp is None:
            return tuple(self._ring)
        return tuple(entry for entry in self._ring if entry.stamp > stamp)

    def document(self, stamp: stamps.Stamp | None = None) -> TimelineDocument:
        """Return the entries after ``stamp`` as they are published."""
        return TimelineDocument(
            entries=self.since(stamp),
            dropped=self.dropped,
            instance_id=self._instance_id,
        )


def merge(*rings: Iterable[TimelineEntry]) -> tuple[TimelineEntry, ...]:
    """Put entries of many daemons into one total order, without repeats.

    The result depends only on which entries are given, not on their order or
    on how often one appears. Equal stamps of two daemons are unrelated events
    and are ordered by instance id.
    """
    unique = {
        (entry.stamp, entry.instance_id): entry
        for ring in rings
        for entry in ring
    }
    return tuple(unique[place] for place in sorted(unique))


def encode(document: TimelineDocument) -> bytes:
    """Return the JSON form of ``document``."""
    return msgspec.json.encode(document)


def decode(text: bytes) -> TimelineDocument:
    """Read the JSON form back, also that of a newer or older daemon.

    An event that this version does not know becomes an ``UnknownEvent``.
    Raises ``msgspec.DecodeError`` on anything else that is malformed.
    """
    try:
        return msgspec.json.decode(text, type=TimelineDocument)
    except msgspec.ValidationError:
        foreign = msgspec.json.decode(text, type=_ForeignDocument)
    return TimelineDocument(
        tuple(map(_known, foreign.entries)),
        foreign.dropped,
        foreign.instance_id,
    )


def _known(entry: _ForeignEntry) -> TimelineEntry:
    event: events.Event
    try:
        event = msgspec.json.decode(entry.event, type=events.Event)
    except msgspec.ValidationError:
        event = daemon_events.UnknownEvent(bytes(entry.event).decode())
    return TimelineEntry(entry.stamp, entry.instance_id, event)


def _check_capacity(capacity: int) -> None:
    if capacity < 1:
        raise errors.InvalidArgumentError(
            f'A time line cannot keep {capacity} entries',
            'Give a capacity of at least 1',
        )
