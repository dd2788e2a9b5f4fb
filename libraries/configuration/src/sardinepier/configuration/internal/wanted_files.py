"""Which files the platform has newer than we do, and when to read each."""

import dataclasses
import random
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import options, store
from sardinepier.configuration.internal import backoff, watchers
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.platform import interface

_LEAST_WAIT_S: Final = 1.0
_PER_MEMBER_S: Final = 2.0
_PATIENCE_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class _Wanted:
    """A revision to read.

    It is the daemon's own when no other one reads it earlier. A recheck reads
    a rejected one once more.
    """

    revision: ids.Revision
    read_after_s: float
    is_own: bool = False
    is_recheck: bool = False


class WantedFiles:
    """The files to read from the platform, unless a peer sends them first.

    One watcher reads a file at once, the next only if the file has not come
    by then, and so on. A daemon that is no watcher waits at random, the
    longer the larger the fleet: however many daemons see that a file is
    missing, the fleet reads it at a steady, small rate until one has it.
    """

    def __init__(
        self,
        file_store: store.Store,
        chosen: watchers.Watchers,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        is_fetching: Callable[[], bool],
    ) -> None:
        """Begin with no listing; ``is_fetching`` tells of pulls from peers."""
        self._is_fetching = is_fetching
        self._store = file_store
        self._watchers = chosen
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._wanted: dict[ids.FileName, _Wanted] = {}

    @property
    def has_newer(self) -> bool:
        """Tell whether any file is wanted that is not a mere recheck."""
        return any(
            not wanted.is_recheck and not self._has_come(name, wanted)
            for name, wanted in self._wanted.items()
        )

    def replace(self, listing: interface.Listing) -> bool:
        """Want what ``listing`` has newer; return whether that is anything.

        What an earlier listing had and this one lacks is wanted no more.
        """
        before = self._wanted
        self._wanted = {}
        for entry in listing.files:
            wanted = self._plan(entry)
            planned = before.get(entry.name)
            if wanted is None:
                continue
            if planned and planned.revision == wanted.revision:
                wanted = planned
            self._wanted[entry.name] = wanted
        return self.has_newer

    def due(self) -> ids.FileName | None:
        """Return a file to read now, or ``None``; forget those that came.

        The one whose time came first goes first: a daemon's own files before
        those that it reads in case others fail. When reading is slow, the
        others have read theirs by the time that its own are done.
        """
        for name, wanted in tuple(self._wanted.items()):
            if self._has_come(name, wanted):
                self.drop(name)
        first = min(self._wanted, key=self._read_after_s, default=None)
        if first is None or self._read_after_s(first) > self._now_s():
            return None
        return first

    def next_due_s(self) -> float | None:
        """Return when to look for the next file, or ``None`` for none."""
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
        """Want ``name`` no more, until another listing has it."""
        self._wanted.pop(name, None)

    def _plan(self, entry: interface.FileRevision) -> _Wanted | None:
        if entry.deleted or not self._store.can_store(entry.name):
            return None
        known = self._store.find(entry.name)
        now_s = self._now_s()
        if entry.revision > known.newest_revision:
            rank = self._watchers.rank(entry.name)
            wait_s = self._turn_s(rank)
            return _Wanted(entry.revision, now_s + wait_s, is_own=rank == 0)
        if known.rejected is None:
            return None
        if entry.revision != known.rejected.version.revision:
            return None
        # The platform may have garbled a good file when it was read.
        wait_s = self._recheck_s(entry.name)
        return _Wanted(entry.revision, now_s + wait_s, is_recheck=True)

    def _has_come(self, name: ids.FileName, wanted: _Wanted) -> bool:
        known = self._store.find(name)
        if wanted.is_recheck:
            return known.in_force_revision >= wanted.revision
        return known.newest_revision >= wanted.revision

    def _turn_s(self, rank: int | None) -> float:
        """Return for how long to leave the reading to others."""
        if rank is not None:
            return rank * self._limits.stagger_s
        most_s = self._watchers.member_count() * _PER_MEMBER_S
        return _LEAST_WAIT_S + self._random.uniform(0, most_s)

    def _recheck_s(self, name: ids.FileName) -> float:
        """Return the wait before a rejected revision is read once more.

        Watchers alone do so, each rarer than the one before it, so that the
        calls stay few at any size of the fleet.
        """
        rank = self._watchers.rank(name)
        if rank is None:
            return float('inf')
        wait_s = self._limits.recheck_s * (rank + 1)
        return backoff.jitter(wait_s, self._random)

    def _read_after_s(self, name: ids.FileName) -> float:
        """Return when to read ``name``.

        While files come from peers they are likely to bring this one too. It
        is held back for a bounded time only: it may be the one that no peer
        could read.
        """
        wanted = self._wanted[name]
        if wanted.is_own or not self._is_fetching():
            return wanted.read_after_s
        return wanted.read_after_s + _PATIENCE_S

    def _now_s(self) -> float:
        return self._clock.monotonic_s()
