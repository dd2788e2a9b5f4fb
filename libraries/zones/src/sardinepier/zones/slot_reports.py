"""Applies what other daemons report of their requests in flight and waiting."""

import dataclasses

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record, use_elsewhere
from sardinepier.zones import messages, slot_packing, target_index


@dataclasses.dataclass(slots=True)
class _Author:
    """The newest reports of one daemon, and what their counts were set on."""

    report: use_elsewhere.PeerReport
    sequence: int = 0
    records: set[target_record.TargetRecord] = dataclasses.field(
        default_factory=set,
    )
    waiting: set[tuple[ids.ServiceName, int]] = dataclasses.field(
        default_factory=set,
    )


class SlotReports:
    """Keeps the reports of other daemons until they expire."""

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        index: target_index.CurrentIndex,
    ) -> None:
        """Start without reports."""
        self._services = services
        self._clock = clock
        self._index = index
        self._authors: dict[ids.InstanceId, _Author] = {}

    def apply(self, sender: ids.InstanceId, use: messages.SlotUse) -> bool:
        """Apply a report; return False if its target list is another one.

        A report that follows a lost one is left out, so that the earlier
        counts expire unless a full report comes before.
        """
        index = self._index.get()
        if use.targets_digest != index.digest:
            return False
        now_s = self._clock.monotonic_s()
        author = self._authors.get(sender)
        if use.is_full:
            author = _Author(
                use_elsewhere.PeerReport(now_s)
                if author is None
                else author.report
            )
        elif author is None or not _follows(author, use):
            return True
        author.sequence = use.sequence
        author.report.received_s = now_s
        self._services.peer_reports.valid_until_s = author.report.expires_s
        self._apply_in_flight(author, use, index)
        self._apply_waiting(author, use, index)
        self._replace(sender, author)
        return True

    def expire(self) -> None:
        """Forget the daemons whose reports have no weight left."""
        now_s = self._clock.monotonic_s()
        expired = [
            sender
            for sender, author in self._authors.items()
            if not author.report.weight(now_s)
        ]
        for sender in expired:
            self._forget(sender)

    def _forget(self, sender: ids.InstanceId) -> None:
        author = self._authors.pop(sender)
        self._clear(author, _Author(author.report))

    def _replace(self, sender: ids.InstanceId, author: _Author) -> None:
        """Keep ``author``, and drop earlier counts that it does not have.

        Counts that it has again are not set to 0 in between: each would then
        look like a slot that was used since.
        """
        earlier = self._authors.get(sender, author)
        self._authors[sender] = author
        if earlier is not author:
            self._clear(earlier, author)

    def _clear(self, earlier: _Author, author: _Author) -> None:
        """Drop the counts of ``earlier`` that ``author`` does not have."""
        for record in earlier.records - author.records:
            record.elsewhere.set(earlier.report, 0)
        for name, priority in earlier.waiting - author.waiting:
            waiting = self._services.pool(name).waiting_elsewhere
            waiting.set(earlier.report, priority, 0)

    def _apply_in_flight(
        self,
        author: _Author,
        use: messages.SlotUse,
        index: target_index.TargetIndex,
    ) -> None:
        for place, count in slot_packing.unpack(use.in_flight).items():
            if place >= len(index.targets):
                return
            listed = index.targets[place]
            pool = self._services.pool(listed.service)
            record = pool.targets.find(listed.target_id)
            if record is not None:
                record.elsewhere.set(author.report, count)
                author.records.add(record)

    def _apply_waiting(
        self,
        author: _Author,
        use: messages.SlotUse,
        index: target_index.TargetIndex,
    ) -> None:
        for reported in use.waiting:
            if not 0 <= reported.service < len(index.services):
                return
            name = index.services[reported.service]
            waiting = self._services.pool(name).waiting_elsewhere
            waiting.set(author.report, reported.priority, reported.count)
            author.waiting.add((name, reported.priority))


def _follows(author: _Author, use: messages.SlotUse) -> bool:
    return use.sequence == (author.sequence + 1) % messages.SEQUENCE_NUMBERS
