"""The marks of requests by fingerprint, in bounded number."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from sardinepier.core import ids

MAX_FACTOR: Final = 16
"""How many times longer than the first a quarantine may become."""


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """The state of one fingerprint, with all times as deadlines.

    ``own`` and ``reported`` hold the marked targets with the expiry of their
    marks: those that this daemon set, and those that other daemons reported.
    ``service`` is empty if the daemon that reported them didn't name it.
    ``marked_s`` is when this daemon set its newest one.
    """

    own: dict[ids.TargetId, float] = dataclasses.field(default_factory=dict)
    reported: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict,
    )
    service: ids.ServiceName = ids.ServiceName('')
    marked_s: float = 0.0
    quarantined_until_s: float = 0.0
    trial_until_s: float = 0.0
    factor: int = 1
    expires_at_s: float = 0.0

    def targets(self, now_s: float) -> set[ids.TargetId]:
        """Return the targets with an unexpired mark."""
        return set(self.deadlines(now_s))

    def deadlines(self, now_s: float) -> dict[ids.TargetId, float]:
        """Return the unexpired marks of all daemons by target."""
        return unexpired(self.reported, now_s) | unexpired(self.own, now_s)

    def begin_quarantine(
        self, now_s: float, quarantine_s: float, mark_lifetime_s: float
    ) -> None:
        """Quarantine the request, each time for twice as long as before."""
        quarantine_s *= self.factor
        self.factor = min(2 * self.factor, MAX_FACTOR)
        self.extend_quarantine(now_s, now_s + quarantine_s, mark_lifetime_s)

    def extend_quarantine(
        self, now_s: float, quarantined_until_s: float, mark_lifetime_s: float
    ) -> None:
        """Quarantine the request at least until ``quarantined_until_s``.

        Its marks last ``mark_lifetime_s`` longer than that.
        """
        self.quarantined_until_s = max(
            self.quarantined_until_s,
            quarantined_until_s,
        )
        marks_until_s = self.quarantined_until_s + mark_lifetime_s
        self.expires_at_s = max(self.expires_at_s, marks_until_s)
        for deadlines in (self.own, self.reported):
            for target in unexpired(deadlines, now_s):
                deadlines[target] = marks_until_s


def unexpired(
    deadlines: dict[ids.TargetId, float],
    now_s: float,
) -> dict[ids.TargetId, float]:
    """Return the deadlines that are after ``now_s``."""
    return {
        target_id: until_s
        for target_id, until_s in deadlines.items()
        if until_s > now_s
    }


class Entries:
    """The entries of all fingerprints with marks.

    Beyond ``capacity`` entries, the one that expires first is dropped, if
    possible one that is not quarantined.
    """

    def __init__(self, capacity: int) -> None:
        """Start without entries."""
        self._capacity = capacity
        self._entries: dict[int, Entry] = {}

    def __iter__(self) -> Iterator[tuple[int, Entry]]:
        """Iterate over the fingerprints with their entries."""
        return iter(self._entries.items())

    def find(self, fingerprint: int, now_s: float) -> Entry | None:
        """Return the entry, or None if there is none or it has expired."""
        entry = self._entries.get(fingerprint)
        if entry is None or now_s < entry.expires_at_s:
            return entry
        del self._entries[fingerprint]
        return None

    def find_or_add(self, fingerprint: int, now_s: float) -> Entry:
        """Return the entry, which is new if there is none."""
        entry = self.find(fingerprint, now_s)
        if entry is None:
            if len(self._entries) >= self._capacity:
                self._evict_one(now_s)
            entry = Entry()
            self._entries[fingerprint] = entry
        return entry

    def has_unexpired(self, now_s: float) -> bool:
        """Return whether any entry is left after expired ones are dropped."""
        self._entries = {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if now_s < entry.expires_at_s
        }
        return bool(self._entries)

    def remove(self, fingerprint: int) -> None:
        """Drop the entry, if there is one."""
        self._entries.pop(fingerprint, None)

    def crashed_targets(self, now_s: float) -> set[ids.TargetId]:
        """Return the targets that were lost to quarantined requests."""
        crashed: set[ids.TargetId] = set()
        for entry in self._entries.values():
            if entry.quarantined_until_s > now_s:
                crashed |= entry.targets(now_s)
        return crashed

    def _evict_one(self, now_s: float) -> None:
        evicted = min(
            self._entries.items(),
            key=lambda pair: (
                pair[1].quarantined_until_s > now_s,
                pair[1].expires_at_s,
            ),
        )
        del self._entries[evicted[0]]
