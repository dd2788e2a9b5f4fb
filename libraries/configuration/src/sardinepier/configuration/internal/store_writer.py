"""Offers versions to the store and reports the outcomes."""

import asyncio
from collections.abc import Callable

from sardinepier.configuration import files, store
from sardinepier.configuration.internal import file_parsing
from sardinepier.core import ids
from sardinepier.telemetry import file_events

OnEvent = Callable[[file_events.FileEvent], None]


class StoreWriter:
    """The only writer of versions from peers and the platform to the store."""

    def __init__(self, file_store: store.Store, on_event: OnEvent) -> None:
        """Write to ``file_store`` and report to ``on_event``."""
        self._store = file_store
        self._on_event = on_event
        self._parse_lock = asyncio.Lock()

    async def offer(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        source: str,
    ) -> files.OfferResult:
        """Parse a version received from ``source`` and offer it.

        Parsing a large file takes many milliseconds, so a thread does it to
        keep the event loop free. Only one text is parsed at a time, because
        the threads share a processor with the loop. A version that became
        stale while it waited is not parsed.
        """
        async with self._parse_lock:
            result = await self._parse_and_offer(name, version)
        self._report(result, name, version, source)
        return result

    def offer_deletion(
        self,
        name: ids.FileName,
        revision: ids.Revision,
        source: str,
    ) -> files.OfferResult:
        """Offer a deletion, which has no text to parse."""
        result = self._store.offer_deleted(name, revision)
        deletion = files.FileVersion(revision, None)
        self._report(result, name, deletion, source)
        return result

    async def _parse_and_offer(
        self,
        name: ids.FileName,
        version: files.FileVersion,
    ) -> files.OfferResult:
        if version.text is None:
            return self._store.offer_deleted(name, version.revision)
        if not self._store.is_newer(name, version):
            return files.OfferResult.STALE
        parsed_file = await asyncio.to_thread(
            file_parsing.parse, name, version.text
        )
        return self._store.offer_parsed(name, version, parsed_file)

    def _report(
        self,
        result: files.OfferResult,
        name: ids.FileName,
        version: files.FileVersion,
        source: str,
    ) -> None:
        match result:
            case files.OfferResult.ACCEPTED:
                self._report_accepted(name, version, source)
            case files.OfferResult.INVALID:
                self._report_rejected(name, version.revision)
            case files.OfferResult.STALE:
                self._report_stale(name, version.revision, source)

    def _report_accepted(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        source: str,
    ) -> None:
        event_class = (
            file_events.FileDeleted
            if version.text is None
            else file_events.FileAccepted
        )
        self._on_event(event_class(name, version.revision, source))

    def _report_rejected(
        self,
        name: ids.FileName,
        revision: ids.Revision,
    ) -> None:
        rejected = self._store.find(name).rejected
        if rejected is None or rejected.version.revision != revision:
            return
        problems = tuple(str(problem) for problem in rejected.problems)
        self._on_event(
            file_events.FileRejected(name, revision, problems),
        )

    def _report_stale(
        self,
        name: ids.FileName,
        revision: ids.Revision,
        source: str,
    ) -> None:
        """Report an older revision; ignore a repeat of the current one."""
        current_revision = self._store.find(name).in_force_revision
        if revision < current_revision:
            self._on_event(
                file_events.FileStale(name, revision, current_revision, source),
            )
