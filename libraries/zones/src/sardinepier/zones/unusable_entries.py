"""Entries of the platform that can't be read, told once each.

Other writers may leave anything among the entries. Whoever reads passes over
what it can't use; operators have to learn of it without a line a second.
"""

from collections.abc import Iterable
from typing import Final

from sardinepier.entry import platform_state
from sardinepier.telemetry import logs
from sardinepier.zones import events

_MOST_TOLD: Final = 64
"""Entries whose reasons are kept and told; of more, only the number."""

_MOST_CHARACTERS: Final = 200
"""Of a key and of a reason: both hold what somebody else wrote."""


class UnusableEntries:
    """Tells what changes among the entries that can't be read.

    ``count`` is how many of the newest reading were passed over.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.count = 0
        self._told: dict[str, str] = {}

    def take(self, unusable: Iterable[platform_state.UnusableEntry]) -> None:
        """Take in what the newest reading had."""
        now = {one.key: one.what[:_MOST_CHARACTERS] for one in unusable}
        self.count = len(now)
        for key in self._told.keys() - now.keys():
            del self._told[key]
            logs.write(events.EntryUsable(key=key[:_MOST_CHARACTERS]))
        for key, what in now.items():
            self._tell(key, what)

    def _tell(self, key: str, what: str) -> None:
        if self._told.get(key) == what:
            return
        if key not in self._told and len(self._told) >= _MOST_TOLD:
            return
        self._told[key] = what
        logs.write(
            events.EntryUnusable(key=key[:_MOST_CHARACTERS], what=what),
            level=logs.Level.WARNING,
        )
