"""The timeline: a bounded ring buffer of events in every daemon.

For example::

    timeline = Timeline(instance_id, clock)
    timeline.record(daemon_events.WakeGapSeen(gap_ms=900, bound_ms=500))
    timeline.observe(stamp_from_a_peer)

Each message between daemons carries the sender's :meth:`Timeline.stamp`, and
the receiver passes it to :meth:`Timeline.observe`. Then :func:`merge` puts
the events of many daemons into one order in which causes precede effects.
"""

import collections
from collections.abc import Iterable
from typing import Final

import msgspec
from sardinepier.core import clock as clocks
from sardinepier.core import errors, ids
from sardinepier.telemetry import daemon_events, events, stamps

DEFAULT_CAPACITY: Final = 4096
"""Default number of entries kept."""


class TimelineEntry(msgspec.Struct, frozen=True):
    """One event with its stamp and the daemon that recorded it."""

    stamp: stamps.Stamp
    instance_id: ids.InstanceId
    event: events.Event


class TimelineDocument(msgspec.Struct, frozen=True):
    """The answer to ``GET /v1/timeline``.

    ``dropped`` counts the oldest entries, evicted from the full ring since the
    daemon started.
    """

    entries: tuple[TimelineEntry, ...]
    dropped: int
    instance_id: ids.InstanceId


class _ForeignEntry(msgspec.Struct, frozen=True):
    """An entry of another version, with its event still encoded."""

    stamp: stamps.Stamp
    instance_id: ids.InstanceId
    event: msgspec.Raw


class _ForeignDocument(msgspec.Struct, frozen=True):
    """A document that may have events of unknown kinds."""

    entries: tuple[_ForeignEntry, ...]
    dropped: int
    instance_id: ids.InstanceId


class Timeline:
    """The ring buffer of one daemon."""

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
        """Return how many entries were evicted from the full ring."""
        return self._recorded - len(self._ring)

    @property
    def refused_stamps(self) -> int:
        """Return how many stamps of peers were too far ahead to adopt."""
        return self._clock.refused_stamps

    def record(self, event: events.Event) -> TimelineEntry:
        """Append ``event`` with a new stamp and return its entry."""
        entry = TimelineEntry(self._clock.tick(), self._instance_id, event)
        self._ring.append(entry)
        self._recorded += 1
        return entry

    def observe(self, stamp: stamps.Stamp) -> bool:
        """Advance past a peer's stamp; return False if it is refused."""
        return self._clock.observe(stamp)

    def stamp(self) -> stamps.Stamp:
        """Return a new stamp to send with a message."""
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
        """Return the entries after ``stamp`` as a document."""
        return TimelineDocument(
            entries=self.since(stamp),
            dropped=self.dropped,
            instance_id=self._instance_id,
        )


def merge(*rings: Iterable[TimelineEntry]) -> tuple[TimelineEntry, ...]:
    """Put entries of many daemons into one total order, without duplicates.

    The result depends only on the set of entries, not on their order or on
    duplicates. Events with equal stamps of two daemons are unrelated and are
    ordered by instance id.
    """
    unique = {
        (entry.stamp, entry.instance_id): entry
        for ring in rings
        for entry in ring
    }
    return tuple(unique[key] for key in sorted(unique))


def encode(document: TimelineDocument) -> bytes:
    """Return the JSON form of ``document``."""
    return msgspec.json.encode(document)


def decode(text: bytes) -> TimelineDocument:
    """Return the document from its JSON form, also of another version.

    An event of an unknown kind becomes an ``UnknownEvent``. Raises
    ``msgspec.DecodeError`` on other malformed input.
    """
    try:
        return msgspec.json.decode(text, type=TimelineDocument)
    except msgspec.ValidationError:
        foreign = msgspec.json.decode(text, type=_ForeignDocument)
    return TimelineDocument(
        tuple(map(_decode_entry, foreign.entries)),
        foreign.dropped,
        foreign.instance_id,
    )


def _decode_entry(entry: _ForeignEntry) -> TimelineEntry:
    event: events.Event
    try:
        event = msgspec.json.decode(entry.event, type=events.Event)
    except msgspec.ValidationError:
        event = daemon_events.UnknownEvent(bytes(entry.event).decode())
    return TimelineEntry(entry.stamp, entry.instance_id, event)


def _check_capacity(capacity: int) -> None:
    if capacity < 1:
        raise errors.InvalidArgumentError(
            f'A timeline cannot keep {capacity} entries',
            'Give a capacity of at least 1',
        )
