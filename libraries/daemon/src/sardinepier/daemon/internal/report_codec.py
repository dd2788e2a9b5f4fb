"""A compact encoding of the reports between the daemons of a group.

A row with its target's names and with scores as floats takes 78 bytes, and
the rows of a service of 47 targets are sent to eight peers every second or
two. Names rarely change, nor do the rows of targets without traffic. So full
reports, with names and all rows, are sent at intervals, and between them
incremental reports with the rows that changed.

The loss of a report only causes a delay: rows are cumulative, so the next row
of the same target, or the next full report, contains the lost evidence.
"""

from collections.abc import Iterator
from typing import Final

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages
from sardinepier.health import evidence

_FULL_INTERVAL_S: Final = 10.0
_THOUSANDTHS: Final = 1000

_Rows = dict[int, group_messages.ReportRow]


class ReportWriter:
    """Encodes the reports of one service, the same for all peers."""

    def __init__(self) -> None:
        """Start with a full report."""
        self._base = 0
        self._targets: tuple[group_messages.NamedTarget, ...] = ()
        self._rows: _Rows = {}
        self._full_due_s = float('-inf')

    def write(
        self,
        service: ids.ServiceName,
        report: evidence.EvidenceReport,
        now_s: float,
    ) -> group_messages.GroupReport:
        """Return ``report`` as a message, as a full report if one is due."""
        targets = tuple(
            group_messages.NamedTarget(row.target_id, row.incarnation)
            for row in report.evidence
        )
        is_full = now_s >= self._full_due_s or targets != self._targets
        if is_full:
            self._base = report.sequence
            self._targets = targets
            self._rows = {}
            self._full_due_s = now_s + _FULL_INTERVAL_S
        return group_messages.GroupReport(
            service=service,
            sequence=report.sequence,
            base=self._base,
            doubts_itself=report.doubts_itself,
            targets=targets if is_full else (),
            rows=tuple(self._changed_rows(report)),
            ejections=report.ejections,
            leaving=report.leaving,
        )

    def renew(self) -> None:
        """Make the next report a full one, for new peers."""
        self._full_due_s = float('-inf')

    def _changed_rows(
        self,
        report: evidence.EvidenceReport,
    ) -> Iterator[group_messages.ReportRow]:
        for position, row_evidence in enumerate(report.evidence):
            row = _to_row(position, row_evidence)
            if row != self._rows.get(position):
                self._rows[position] = row
                yield row


class ReportReader:
    """Decodes the reports of one observer about one service."""

    def __init__(self) -> None:
        """Start without a full report to build on."""
        self._base = 0
        self._sequence = 0
        self._targets: tuple[group_messages.NamedTarget, ...] = ()
        self._rows: _Rows = {}

    def read(
        self,
        message: group_messages.GroupReport,
    ) -> evidence.EvidenceReport | None:
        """Return the evidence after ``message``, of all targets.

        Returns None for a message older than the newest one, and for one whose
        full report was not received.
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
                _to_evidence(self._targets[position], row)
                for position, row in sorted(self._rows.items())
            ),
            ejections=message.ejections,
            leaving=message.leaving,
        )


def _to_row(
    position: int,
    row_evidence: evidence.TargetEvidence,
) -> group_messages.ReportRow:
    return group_messages.ReportRow(
        position=position,
        scores=tuple(
            round(score * _THOUSANDTHS) for score in row_evidence.scores
        ),
        good=row_evidence.good,
        attempts=row_evidence.attempts,
        overdue=round(row_evidence.overdue * _THOUSANDTHS),
        overdue_ms=round(row_evidence.overdue_ms),
        in_flight=row_evidence.in_flight,
    )


def _to_evidence(
    target: group_messages.NamedTarget,
    row: group_messages.ReportRow,
) -> evidence.TargetEvidence:
    return evidence.TargetEvidence(
        target_id=target.target_id,
        incarnation=target.incarnation,
        scores=tuple(score / _THOUSANDTHS for score in row.scores),
        good=row.good,
        attempts=row.attempts,
        overdue=row.overdue / _THOUSANDTHS,
        overdue_ms=row.overdue_ms,
        in_flight=row.in_flight,
    )
