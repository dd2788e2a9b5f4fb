"""Learns of newer files from the platform, with few calls.

A few watchers in each zone hold the platform's watch. All others hear of a
change from their peers, and list the files now and then only.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import files, options, store
from sardinepier.configuration.internal import (
    backoff,
    platform_health,
    store_writer,
    wanted_files,
    watchers,
)
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.platform import errors, interface

PLATFORM: Final = 'platform'
"""The source that events name for what the platform sent."""

_IDLE_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderParts:
    """What a reader works with."""

    platform: interface.Platform
    file_store: store.Store
    file_intake: store_writer.StoreWriter
    chosen: watchers.Watchers
    clock: clocks.Clock
    random_source: random.Random
    limits: options.DistributorOptions
    on_event: store_writer.OnEvent
    is_silent: Callable[[], bool]
    is_fetching: Callable[[], bool]


class PlatformReader:
    """Watches, lists and reads the platform's files."""

    def __init__(self, parts: ReaderParts) -> None:
        """Call nothing yet."""
        self._parts = parts
        self._limits = parts.limits
        self._random = parts.random_source
        self._wanted = wanted_files.WantedFiles(
            parts.file_store,
            parts.chosen,
            parts.clock,
            parts.random_source,
            parts.limits,
            parts.is_fetching,
        )
        self._listing_health = self._health('platform files')
        self._reading_health = self._health('platform file texts')
        self._has_wanted = asyncio.Event()
        self._seen_revision = 0

    @property
    def has_wanted(self) -> bool:
        """Tell whether the platform lists a newer file not yet read."""
        return self._wanted.has_newer

    async def watch(self) -> None:
        """Hold the watch while this daemon is a watcher, until cancelled."""
        waits = self._backoff()
        while True:
            if not self._parts.chosen.is_own:
                await self._pause(_IDLE_S)
                continue
            if await self._watch_once():
                waits.succeeded()
            else:
                await asyncio.sleep(waits.failed())

    async def audit(self) -> None:
        """List the files now and then without being a watcher."""
        while True:
            await self._pause_until_audit()
            if not self._parts.chosen.is_own:
                await self.list_once()

    async def list_once(self) -> bool:
        """List the files and plan to read the newer ones.

        Returns whether the platform answered.
        """
        try:
            listing = await self._parts.platform.list_files()
        except errors.PlatformError as error:
            self._listing_health.failed(error)
            return False
        self._listing_health.succeeded()
        self._take(listing)
        return True

    async def read_wanted(self) -> None:
        """Read each wanted file when its time has come, until cancelled."""
        waits = self._backoff()
        while True:
            name = self._wanted.due()
            if name is None:
                await self._wait_wanted()
            elif await self._read(name):
                waits.succeeded()
            else:
                self._wanted.postpone(name, waits.failed())

    async def _watch_once(self) -> bool:
        """Wait for one listing; return whether the platform answered.

        The next watch starts from what this listing said, not from the
        newest revision known here. A platform that went back to an older
        state is then watched from there, instead of being asked in vain for
        something newer than it has.
        """
        began_s = self._parts.clock.monotonic_s()
        try:
            listing = await self._parts.platform.watch_files(
                self._seen_revision,
                self._limits.watch_s,
            )
        except errors.PlatformError as error:
            self._listing_health.failed(error)
            return False
        self._listing_health.succeeded()
        self._seen_revision = listing.revision
        is_news = self._take(listing)
        elapsed_s = self._parts.clock.monotonic_s() - began_s
        if not is_news and elapsed_s < _IDLE_S:
            # Two replicas of the platform may answer in turn, each with what
            # is news to the other; that must not become a busy loop.
            await self._pause(_IDLE_S)
        return True

    def _take(self, listing: interface.Listing) -> bool:
        """Act on a listing; return whether it had anything newer."""
        is_news = False
        for entry in listing.files:
            if entry.deleted:
                is_news = self._take_deletion(entry) or is_news
        if self._wanted.replace(listing):
            is_news = True
        self._has_wanted.set()
        return is_news

    def _take_deletion(self, entry: interface.FileRevision) -> bool:
        known = self._parts.file_store.find(entry.name)
        if entry.revision <= known.newest_revision:
            return False
        result = self._parts.file_intake.offer_deletion(
            entry.name,
            entry.revision,
            PLATFORM,
        )
        return result is not files.OfferResult.STALE

    async def _read(self, name: ids.FileName) -> bool:
        """Read one file; return whether it need not be read again."""
        try:
            published = await self._parts.platform.read_file(name)
        except errors.PlatformFileMissingError:
            self._wanted.drop(name)
            return True
        except errors.PlatformError as error:
            self._reading_health.failed(error)
            return False
        self._reading_health.succeeded()
        version = files.FileVersion(published.revision, published.text)
        result = await self._parts.file_intake.offer(name, version, PLATFORM)
        if result is files.OfferResult.STALE and not self._is_known(published):
            return False
        self._wanted.drop(name)
        return True

    def _is_known(self, published: interface.PublishedFile) -> bool:
        known = self._parts.file_store.find(published.name)
        return known.newest_revision == published.revision

    async def _wait_wanted(self) -> None:
        self._has_wanted.clear()
        next_due_s = self._wanted.next_due_s()
        if next_due_s is None:
            await self._has_wanted.wait()
            return
        wait_s = next_due_s - self._parts.clock.monotonic_s()
        await wait_set(self._has_wanted, wait_s)

    async def _pause_until_audit(self) -> None:
        """Wait for the next audit, or less when no peer is heard."""
        members = self._parts.chosen.member_count()
        audit_s = max(
            self._limits.audit_s,
            self._limits.audit_per_member_s * members,
        )
        audit_at_s = self._parts.clock.monotonic_s() + backoff.jitter(
            audit_s,
            self._random,
        )
        while self._parts.clock.monotonic_s() < audit_at_s:
            await self._pause(self._limits.silence_s)
            if self._parts.is_silent():
                return

    async def _pause(self, wait_s: float) -> None:
        await asyncio.sleep(backoff.jitter(wait_s, self._random))

    def _backoff(self) -> backoff.Backoff:
        return backoff.Backoff(
            self._limits.backoff_min_s,
            self._limits.backoff_max_s,
            self._random,
        )

    def _health(self, what: str) -> platform_health.PlatformHealth:
        return platform_health.PlatformHealth(
            what,
            self._parts.clock,
            self._parts.on_event,
        )


async def wait_set(event: asyncio.Event, timeout_s: float) -> None:
    """Return when ``event`` is set, or after ``timeout_s`` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
