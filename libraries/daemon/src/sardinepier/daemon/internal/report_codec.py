"""Reports between the daemons of a group, in few bytes.

A row with its target's names and scores as floats takes 78 bytes, and a
service of 47 targets says all of it to eight peers every second or two. Most
of that is said again and again: names change rarely, and so do the rows of
targets without traffic. So names and all rows go out now and then, and the
rows that changed in between.

A lost report only delays what it said: rows are cumulative, so the next one
of the same target, or the next whole report, brings all of it.
"""

from collections.abc import Iterator
from typing import Final

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages
from sardinepier.health import evidence

_WHOLE_INTERVAL_S: Final = 10.0
_PER_UNIT: Final = 1000

_Rows = dict[int, group_messages.ReportRow]


class ReportWriter:
    """Writes the reports of one service, each to all peers alike."""

    def __init__(self) -> None:
        """Start with a whole report."""
        self._base = 0
        self._targets: tuple[group_messages.NamedTarget, ...] = ()
        self._rows: _Rows = {}
        self._whole_due_s = float('-inf')

    def write(
        self,
        service: ids.ServiceName,
        report: evidence.EvidenceReport,
        now_s: float,
    ) -> group_messages.GroupReport:
        """Return ``report`` as a message, whole if that is due."""
        targets = tuple(
            group_messages.NamedTarget(row.target_id, row.incarnation)
            for row in report.evidence
        )
        is_whole = now_s >= self._whole_due_s or targets != self._targets
        if is_whole:
            self._base = report.sequence
            self._targets = targets
            self._rows = {}
            self._whole_due_s = now_s + _WHOLE_INTERVAL_S
        return group_messages.GroupReport(
            service=service,
            sequence=report.sequence,
            base=self._base,
            doubts_itself=report.doubts_itself,
            targets=targets if is_whole else (),
            rows=tuple(self._changed(report)),
            ejections=report.ejections,
            leaving=report.leaving,
        )

    def renew(self) -> None:
        """Make the next report a whole one, for peers that are new."""
        self._whole_due_s = float('-inf')

    def _changed(
        self,
        report: evidence.EvidenceReport,
    ) -> Iterator[group_messages.ReportRow]:
        for position, full in enumerate(report.evidence):
            row = _row(position, full)
            if row != self._rows.get(position):
                self._rows[position] = row
                yield row


class ReportReader:
    """Puts the reports of one observer about one service together again."""

    def __init__(self) -> None:
        """Wait for a whole report."""
        self._base = 0
        self._sequence = 0
        self._targets: tuple[group_messages.NamedTarget, ...] = ()
        self._rows: _Rows = {}

    def read(
        self,
        message: group_messages.GroupReport,
    ) -> evidence.EvidenceReport | None:
        """Return the whole report that ``message`` amounts to.

        None for an old one, and for one whose whole report did not come.
        """
        if message.sequence <= self._sequence:
            return None
        if message.targets:
            self._base = message.base
            self._targets = message.targets
            self._rows = {}
        if not self._base or message.base != self._base:
            return None
        self._sequence = message.sequence
        self._rows.update(
            (row.position, row)
            for row in message.rows
            if 0 <= row.position < len(self._targets)
        )
        return evidence.EvidenceReport(
            sequence=message.sequence,
            doubts_itself=message.doubts_itself,
            evidence=tuple(
                _full(self._targets[position], row)
                for position, row in sorted(self._rows.items())
            ),
            ejections=message.ejections,
            leaving=message.leaving,
        )


def _row(
    position: int,
    full: evidence.TargetEvidence,
) -> group_messages.ReportRow:
    return group_messages.ReportRow(
        position=position,
        scores=tuple(round(score * _PER_UNIT) for score in full.scores),
        good=full.good,
        attempts=full.attempts,
        overdue=round(full.overdue * _PER_UNIT),
        overdue_ms=round(full.overdue_ms),
        in_flight=full.in_flight,
    )


def _full(
    target: group_messages.NamedTarget,
    row: group_messages.ReportRow,
) -> evidence.TargetEvidence:
    return evidence.TargetEvidence(
        target_id=target.target_id,
        incarnation=target.incarnation,
        scores=tuple(score / _PER_UNIT for score in row.scores),
        good=row.good,
        attempts=row.attempts,
        overdue=row.overdue / _PER_UNIT,
        overdue_ms=row.overdue_ms,
        in_flight=row.in_flight,
    )
