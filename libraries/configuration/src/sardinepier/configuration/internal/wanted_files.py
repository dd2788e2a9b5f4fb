"""The files that are newer on the platform, and when to read each."""

import dataclasses
import random
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import options, store
from sardinepier.configuration.internal import backoff, watchers
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.platform import interface

_NON_WATCHER_MIN_WAIT_S: Final = 1.0
_NON_WATCHER_SPREAD_PER_MEMBER_S: Final = 2.0
_PEER_FETCH_WAIT_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class _Wanted:
    """A revision to read.

    ``is_first_reader`` is set if this daemon is the first reader by rank. A recheck
    reads a rejected revision again.
    """

    revision: ids.Revision
    read_after_s: float
    is_first_reader: bool = False
    is_recheck: bool = False


class WantedFiles:
    """The files to read from the platform, unless a peer sends them first.

    The first watcher reads a file at once, the second one only if the file
    has not arrived by then, and so on. A daemon that is no watcher waits for
    a random time proportional to the fleet size, so that the fleet reads a
    missing file at a low, constant rate however many daemons miss it.
    """

    def __init__(
        self,
        file_store: store.Store,
        current_watchers: watchers.Watchers,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        is_fetching: Callable[[], bool],
    ) -> None:
        """Start empty; ``is_fetching`` says if peers are sending files."""
        self._is_fetching = is_fetching
        self._store = file_store
        self._watchers = current_watchers
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._wanted: dict[ids.FileName, _Wanted] = {}

    @property
    def has_newer(self) -> bool:
        """Return whether any file is wanted for more than a recheck."""
        return any(
            not wanted.is_recheck and not self._has_arrived(name, wanted)
            for name, wanted in self._wanted.items()
        )

    def replace(self, listing: interface.Listing) -> bool:
        """Plan to read the newer files of ``listing``; return if any are.

        Files of an earlier listing that this one lacks are dropped.
        """
        previous = self._wanted
        self._wanted = {}
        for entry in listing.files:
            wanted = self._plan(entry)
            planned = previous.get(entry.name)
            if wanted is None:
                continue
            if planned and planned.revision == wanted.revision:
                wanted = planned
            self._wanted[entry.name] = wanted
        return self.has_newer

    def due(self) -> ids.FileName | None:
        """Return a file to read now, or ``None``; drop those that arrived.

        The file due first comes first: files of which this daemon is the
        first reader precede those that it reads in case other daemons fail.
        When reading is slow, the other daemons finish theirs in the meantime.
        """
        for name, wanted in tuple(self._wanted.items()):
            if self._has_arrived(name, wanted):
                self.drop(name)
        first = min(self._wanted, key=self._read_after_s, default=None)
        if first is None or self._read_after_s(first) > self._now_s():
            return None
        return first

    def next_due_s(self) -> float | None:
        """Return when to call ``due`` next, or ``None`` if none is wanted."""
        due_s = min(map(self._read_after_s, self._wanted), default=None)
        if due_s is not None and self._is_fetching():
            return min(due_s, self._now_s() + self._limits.stagger_s)
        return due_s

    def postpone(self, name: ids.FileName, wait_s: float) -> None:
        """Read ``name`` again after ``wait_s`` seconds."""
        wanted = self._wanted.get(name)
        if wanted is not None:
            wanted.read_after_s = self._now_s() + wait_s

    def drop(self, name: ids.FileName) -> None:
        """Drop ``name`` until another listing has it."""
        self._wanted.pop(name, None)

    def _plan(self, entry: interface.FileRevision) -> _Wanted | None:
        if entry.deleted or not self._store.can_store(entry.name):
            return None
        known = self._store.find(entry.name)
        now_s = self._now_s()
        if entry.revision > known.newest_revision:
            rank = self._watchers.rank(entry.name)
            wait_s = self._rank_wait_s(rank)
            return _Wanted(
                entry.revision, now_s + wait_s, is_first_reader=rank == 0
            )
        if known.rejected is None:
            return None
        if entry.revision != known.rejected.version.revision:
            return None
        # The platform may have garbled a valid file in the earlier read.
        wait_s = self._recheck_wait_s(entry.name)
        return _Wanted(entry.revision, now_s + wait_s, is_recheck=True)

    def _has_arrived(self, name: ids.FileName, wanted: _Wanted) -> bool:
        known = self._store.find(name)
        if wanted.is_recheck:
            return known.in_force_revision >= wanted.revision
        return known.newest_revision >= wanted.revision

    def _rank_wait_s(self, rank: int | None) -> float:
        """Return how long other daemons may read first."""
        if rank is not None:
            return rank * self._limits.stagger_s
        max_spread_s = (
            self._watchers.member_count() * _NON_WATCHER_SPREAD_PER_MEMBER_S
        )
        return _NON_WATCHER_MIN_WAIT_S + self._random.uniform(0, max_spread_s)

    def _recheck_wait_s(self, name: ids.FileName) -> float:
        """Return the wait before a rejected revision is read again.

        Only watchers do so, and the wait grows with their rank, so that the
        number of calls does not grow with the fleet.
        """
        rank = self._watchers.rank(name)
        if rank is None:
            return float('inf')
        wait_s = self._limits.recheck_s * (rank + 1)
        return backoff.jitter(wait_s, self._random)

    def _read_after_s(self, name: ids.FileName) -> float:
        """Return when to read ``name``.

        While files arrive from peers, this one is likely to arrive too. The
        extra wait is bounded because it may be a file that no peer could read.
        """
        wanted = self._wanted[name]
        if wanted.is_first_reader or not self._is_fetching():
            return wanted.read_after_s
        return wanted.read_after_s + _PEER_FETCH_WAIT_S

    def _now_s(self) -> float:
        return self._clock.monotonic_s()
