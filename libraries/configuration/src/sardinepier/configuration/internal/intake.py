"""Offers versions to the store and reports what became of them."""

from collections.abc import Callable

from sardinepier.configuration import files, store
from sardinepier.core import ids
from sardinepier.telemetry import file_events

OnEvent = Callable[[file_events.FileEvent], None]


class Intake:
    """The one way by which versions reach the store from outside."""

    def __init__(self, file_store: store.Store, on_event: OnEvent) -> None:
        """Offer to ``file_store`` and report to ``on_event``."""
        self._store = file_store
        self._on_event = on_event

    def offer(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        source: str,
    ) -> files.OfferResult:
        """Offer a version, or a deletion, that came from ``source``."""
        result = self._offer(name, version)
        match result:
            case files.OfferResult.ACCEPTED:
                self._report_accepted(name, version, source)
            case files.OfferResult.INVALID:
                self._report_rejected(name, version.revision)
            case files.OfferResult.STALE:
                self._report_stale(name, version.revision, source)
        return result

    def _offer(
        self,
        name: ids.FileName,
        version: files.FileVersion,
    ) -> files.OfferResult:
        if version.text is None:
            return self._store.offer_deleted(name, version.revision)
        return self._store.offer(name, version.revision, version.text)

    def _report_accepted(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        source: str,
    ) -> None:
        kind = (
            file_events.FileDeleted
            if version.text is None
            else file_events.FileAccepted
        )
        self._on_event(kind(name, version.revision, source))

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
        """Report what is older; the same revision again is no news."""
        current = self._store.find(name).in_force_revision
        if revision < current:
            self._on_event(
                file_events.FileStale(name, revision, current, source),
            )
