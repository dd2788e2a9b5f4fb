"""Log lines for entries of the platform that can't be read.

Other writers may leave anything among the entries. A reader skips what it can't
use, and logs each such entry once rather than at each snapshot.
"""

from collections.abc import Iterable
from typing import Final

from sardinepier.entry import platform_state
from sardinepier.telemetry import logs
from sardinepier.zones import events

_MAX_LOGGED: Final = 64
"""Entries that are logged at most; further ones are only counted."""

_MAX_CHARACTERS: Final = 200
"""Limit of the logged key and reason: both contain text of other writers."""


class UnusableEntries:
    """Logs changes of the entries that can't be read.

    ``count`` is how many the newest snapshot had.
    """

    def __init__(self) -> None:
        """Start without any entry."""
        self.count = 0
        self._logged: dict[str, str] = {}

    def update(self, unusable: Iterable[platform_state.UnusableEntry]) -> None:
        """Replace the entries by those of the newest snapshot."""
        reasons = {
            entry.key: entry.what[:_MAX_CHARACTERS] for entry in unusable
        }
        self.count = len(reasons)
        for key in self._logged.keys() - reasons.keys():
            del self._logged[key]
            logs.write(events.EntryUsable(key=key[:_MAX_CHARACTERS]))
        for key, what in reasons.items():
            self._log(key, what)

    def _log(self, key: str, what: str) -> None:
        if self._logged.get(key) == what:
            return
        if key not in self._logged and len(self._logged) >= _MAX_LOGGED:
            return
        self._logged[key] = what
        logs.write(
            events.EntryUnusable(key=key[:_MAX_CHARACTERS], what=what),
            level=logs.Level.WARNING,
        )
