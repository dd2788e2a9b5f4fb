"""Reads newer files from the platform with few calls.

A few watchers in each zone keep a watch request open at the platform. All
other daemons learn of changes from their peers and list the files rarely.
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
"""The source that events name for versions read from the platform."""

_IDLE_PAUSE_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderDependencies:
    """The dependencies of a reader."""

    platform: interface.Platform
    file_store: store.Store
    file_writer: store_writer.StoreWriter
    current_watchers: watchers.Watchers
    clock: clocks.Clock
    random_source: random.Random
    limits: options.DistributorOptions
    on_event: store_writer.OnEvent
    is_silent: Callable[[], bool]
    is_fetching: Callable[[], bool]


class PlatformReader:
    """Watches, lists and reads the files on the platform."""

    def __init__(self, dependencies: ReaderDependencies) -> None:
        """Send no request yet."""
        self._dependencies = dependencies
        self._limits = dependencies.limits
        self._random = dependencies.random_source
        self._wanted = wanted_files.WantedFiles(
            dependencies.file_store,
            dependencies.current_watchers,
            dependencies.clock,
            dependencies.random_source,
            dependencies.limits,
            dependencies.is_fetching,
        )
        self._listing_health = self._health('platform files')
        self._text_health = self._health('platform file texts')
        self._has_wanted = asyncio.Event()
        self._listed_revision = 0

    @property
    def has_wanted(self) -> bool:
        """Return whether the platform lists a newer file not yet read."""
        return self._wanted.has_newer

    async def watch(self) -> None:
        """Watch the files while this daemon is a watcher, until cancelled."""
        retry_backoff = self._backoff()
        while True:
            if not self._dependencies.current_watchers.is_watcher:
                await self._pause(_IDLE_PAUSE_S)
                continue
            if await self._watch_once():
                retry_backoff.reset()
            else:
                await asyncio.sleep(retry_backoff.next_wait_s())

    async def audit(self) -> None:
        """List the files periodically while this daemon is no watcher."""
        while True:
            await self._pause_until_audit()
            if not self._dependencies.current_watchers.is_watcher:
                await self.list_once()

    async def list_once(self) -> bool:
        """List the files and plan to read the newer ones.

        Returns whether the platform answered.
        """
        try:
            listing = await self._dependencies.platform.list_files()
        except errors.PlatformError as error:
            self._listing_health.record_failure(error)
            return False
        self._listing_health.record_success()
        self._apply(listing)
        return True

    async def read_wanted(self) -> None:
        """Read each wanted file when it is due, until cancelled."""
        retry_backoff = self._backoff()
        while True:
            name = self._wanted.due()
            if name is None:
                await self._wait_until_due()
            elif await self._read(name):
                retry_backoff.reset()
            else:
                self._wanted.postpone(name, retry_backoff.next_wait_s())

    async def _watch_once(self) -> bool:
        """Wait for one listing; return whether the platform answered.

        The next watch starts at the revision of this listing, not at the
        newest revision known here. A platform that went back to an older
        state would otherwise be watched for a revision that it does not have.
        """
        started_s = self._dependencies.clock.monotonic_s()
        try:
            listing = await self._dependencies.platform.watch_files(
                self._listed_revision,
                self._limits.watch_s,
            )
        except errors.PlatformError as error:
            self._listing_health.record_failure(error)
            return False
        self._listing_health.record_success()
        self._listed_revision = listing.revision
        has_newer = self._apply(listing)
        elapsed_s = self._dependencies.clock.monotonic_s() - started_s
        if not has_newer and elapsed_s < _IDLE_PAUSE_S:
            # Two replicas of the platform with different states may answer
            # alternately; the pause prevents a busy loop.
            await self._pause(_IDLE_PAUSE_S)
        return True

    def _apply(self, listing: interface.Listing) -> bool:
        """Apply a listing; return whether it had anything newer."""
        has_newer = False
        for entry in listing.files:
            if entry.deleted:
                has_newer = self._apply_deletion(entry) or has_newer
        if self._wanted.replace(listing):
            has_newer = True
        self._has_wanted.set()
        return has_newer

    def _apply_deletion(self, entry: interface.FileRevision) -> bool:
        known = self._dependencies.file_store.find(entry.name)
        if entry.revision <= known.newest_revision:
            return False
        result = self._dependencies.file_writer.offer_deletion(
            entry.name,
            entry.revision,
            PLATFORM,
        )
        return result is not files.OfferResult.STALE

    async def _read(self, name: ids.FileName) -> bool:
        """Read one file; return whether no retry is needed."""
        try:
            published = await self._dependencies.platform.read_file(name)
        except errors.PlatformFileMissingError:
            self._wanted.drop(name)
            return True
        except errors.PlatformError as error:
            self._text_health.record_failure(error)
            return False
        self._text_health.record_success()
        version = files.FileVersion(published.revision, published.text)
        result = await self._dependencies.file_writer.offer(
            name, version, PLATFORM
        )
        if result is files.OfferResult.STALE and not self._is_known(published):
            return False
        self._wanted.drop(name)
        return True

    def _is_known(self, published: interface.PublishedFile) -> bool:
        known = self._dependencies.file_store.find(published.name)
        return known.newest_revision == published.revision

    async def _wait_until_due(self) -> None:
        self._has_wanted.clear()
        next_due_s = self._wanted.next_due_s()
        if next_due_s is None:
            await self._has_wanted.wait()
            return
        wait_s = next_due_s - self._dependencies.clock.monotonic_s()
        await wait_for_event(self._has_wanted, wait_s)

    async def _pause_until_audit(self) -> None:
        """Wait for the next audit, or less if no peer sends messages."""
        members = self._dependencies.current_watchers.member_count()
        audit_s = max(
            self._limits.audit_s,
            self._limits.audit_per_member_s * members,
        )
        audit_at_s = self._dependencies.clock.monotonic_s() + backoff.jitter(
            audit_s,
            self._random,
        )
        while self._dependencies.clock.monotonic_s() < audit_at_s:
            await self._pause(self._limits.silence_s)
            if self._dependencies.is_silent():
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
            self._dependencies.clock,
            self._dependencies.on_event,
        )


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Return when ``event`` is set, or after ``timeout_s`` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
