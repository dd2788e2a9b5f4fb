"""Messages between the daemons that serve the same services."""

from typing import Annotated, Final

import msgspec

from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.once import marks
from sardinepier.wire import messages

MAX_NOTICES: Final = 2048
MAX_TARGETS: Final = 4096


class NamedTarget(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a target, in the order of a report's rows."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """One target's evidence without its name.

    ``position`` is the index of the target among the named targets. Scores
    and ``overdue`` are in thousandths: they are rounded to that anyway, and an
    integer takes a third of the bytes.
    """

    position: int
    scores: tuple[int, ...]
    good: int
    attempts: int
    overdue: int
    overdue_ms: int
    in_flight: int


_NamedTargets = Annotated[
    tuple[NamedTarget, ...],
    msgspec.Meta(max_length=MAX_TARGETS),
]
_Rows = Annotated[tuple[ReportRow, ...], msgspec.Meta(max_length=MAX_TARGETS)]


class GroupReport(messages.Message, frozen=True):
    """One daemon's evidence about the targets of one service.

    A full report has ``targets`` and all rows. An incremental report has the
    rows that changed since the previous report; its ``base`` is the sequence
    number of the full report that it builds on.
    """

    service: ids.ServiceName
    sequence: int
    base: int
    doubts_itself: bool
    targets: _NamedTargets
    rows: _Rows
    ejections: tuple[evidence.EjectionNotice, ...]
    leaving: tuple[evidence.LeavingNotice, ...]


class QuarantineNotice(messages.Message, frozen=True):
    """One daemon's quarantine marks of requests that crash targets."""

    report: marks.QuarantineReport


class TargetNotice(msgspec.Struct, frozen=True, array_like=True):
    """One target from the platform's instance list."""

    service: ids.ServiceName
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    is_leaving: bool


_Notices = Annotated[
    tuple[TargetNotice, ...],
    msgspec.Meta(max_length=MAX_NOTICES),
]


class TargetNotices(messages.Message, frozen=True):
    """Entries of the instance list, from a watcher to a service's group."""

    notices: _Notices


KINDS: Final = (
    GroupReport,
    QuarantineNotice,
    TargetNotices,
)
"""All message classes, for the codec of the network."""
