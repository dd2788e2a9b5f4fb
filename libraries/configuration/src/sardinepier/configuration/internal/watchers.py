"""Chooses the daemons that watch the platform, and their read order."""

from collections.abc import Callable
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view
from sardinepier.platform import shares

_NO_VERSION: Final = -1
_READERS_PER_PART: Final = 2


class Watchers:
    """The watchers of all zones; daemons with equal views choose the same."""

    def __init__(
        self,
        current_view: view.View,
        per_zone: Callable[[], int],
    ) -> None:
        """Prepare to choose ``per_zone()`` daemons in each zone."""
        self._view = current_view
        self._per_zone = per_zone
        self._choice_key = (_NO_VERSION, 0)
        self._watcher_ids: tuple[str, ...] = ()

    @property
    def is_watcher(self) -> bool:
        """Return whether this daemon is a watcher."""
        return self._view.own.daemon_id in self._choose()

    def rank(self, name: ids.FileName) -> int | None:
        """Return this daemon's position in the read order of ``name``.

        Returns ``None`` when it is no watcher.
        """
        watcher_ids = self._choose()
        own_id = self._view.own.daemon_id
        if own_id not in watcher_ids:
            return None
        return rendezvous.top_candidates(
            f'read/{name}', watcher_ids, len(watcher_ids)
        ).index(own_id)

    def share(self) -> shares.InstanceShare | None:
        """Return the share of the instance list that this daemon reads.

        Returns ``None`` when it is no watcher. The list has one part for each
        watcher. A watcher reads the part at its own position and, as a backup,
        the part of the watcher that is half of the list of watchers away. The
        two are in different zones unless one zone has more than half of all
        watchers, so a zone that is cut off from the platform hides no target.
        Rendezvous hashing for each part would put both readers of some parts
        in one zone, and give some watchers many parts and others none.
        """
        watcher_ids = self._choose()
        own_id = self._view.own.daemon_id
        if own_id not in watcher_ids:
            return None
        count = len(watcher_ids)
        if count <= _READERS_PER_PART:
            return shares.WHOLE
        position = watcher_ids.index(own_id)
        opposite = (position + count // 2) % count
        return shares.share_of(count, (position, opposite))

    def member_count(self) -> int:
        """Return the number of serving daemons, including this one."""
        return max(1, len(self._view.serving()))

    def _choose(self) -> tuple[str, ...]:
        """Return the watchers; recompute if the view or number changed."""
        choice_key = (self._view.version, self._per_zone())
        if choice_key != self._choice_key:
            serving = self._view.serving()
            zones = sorted({member.zone for member in serving})
            self._watcher_ids = tuple(
                daemon_id
                for zone in zones
                for daemon_id in _choose_in_zone(zone, serving, choice_key[1])
            )
            self._choice_key = choice_key
        return self._watcher_ids


def _choose_in_zone(
    zone: ids.ZoneName,
    serving: tuple[members.Member, ...],
    count: int,
) -> tuple[str, ...]:
    candidates = [member.daemon_id for member in serving if member.zone == zone]
    return rendezvous.top_candidates(f'watch/{zone}', candidates, count)
