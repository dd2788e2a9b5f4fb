"""Which daemons hold the platform's watch, and which of them reads first."""

from collections.abc import Callable
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view
from sardinepier.platform import shares

_NO_VERSION: Final = -1
_READERS_OF_A_PART: Final = 2


class Watchers:
    """The watchers of all zones, chosen alike by all with the same view."""

    def __init__(
        self,
        current_view: view.View,
        per_zone: Callable[[], int],
    ) -> None:
        """Choose ``per_zone()`` daemons a zone; nothing is chosen yet."""
        self._view = current_view
        self._per_zone = per_zone
        self._chosen_for = (_NO_VERSION, 0)
        self._chosen: tuple[str, ...] = ()

    @property
    def is_own(self) -> bool:
        """Tell whether this daemon is a watcher."""
        return self._view.own.daemon_id in self._choose()

    def rank(self, name: ids.FileName) -> int | None:
        """Return this daemon's place in the order of readers of ``name``.

        Returns ``None`` when it is no watcher.
        """
        chosen = self._choose()
        own = self._view.own.daemon_id
        if own not in chosen:
            return None
        return rendezvous.top_candidates(
            f'read/{name}', chosen, len(chosen)
        ).index(own)

    def share(self) -> shares.InstanceShare | None:
        """Return the share of the instance list that falls to this daemon.

        Returns ``None`` when it is no watcher. There are as many parts as
        watchers, and each watcher has the part of its own place and, as a
        backup, that of the watcher half the circle away. That one is in
        another zone unless one zone has more than half of all watchers, so a
        zone that is cut off from the platform hides no target. A choice by
        score for each part would put both readers of some parts into one
        zone, and give some watchers many parts and some none.
        """
        chosen = self._choose()
        own = self._view.own.daemon_id
        if own not in chosen:
            return None
        count = len(chosen)
        if count <= _READERS_OF_A_PART:
            return shares.WHOLE
        place = chosen.index(own)
        opposite = (place + count // 2) % count
        return shares.share_of(count, (place, opposite))

    def member_count(self) -> int:
        """Return how many daemons are known to serve, this one included."""
        return max(1, len(self._view.serving()))

    def _choose(self) -> tuple[str, ...]:
        """Choose again when the view or the number has changed."""
        chosen_for = (self._view.version, self._per_zone())
        if chosen_for != self._chosen_for:
            serving = self._view.serving()
            zones = sorted({member.zone for member in serving})
            self._chosen = tuple(
                daemon
                for zone in zones
                for daemon in _choose_in(zone, serving, chosen_for[1])
            )
            self._chosen_for = chosen_for
        return self._chosen


def _choose_in(
    zone: ids.ZoneName,
    serving: tuple[members.Member, ...],
    count: int,
) -> tuple[str, ...]:
    candidates = [member.daemon_id for member in serving if member.zone == zone]
    return rendezvous.top_candidates(f'watch/{zone}', candidates, count)
