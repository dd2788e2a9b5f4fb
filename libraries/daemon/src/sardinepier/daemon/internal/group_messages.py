"""Messages among the daemons that serve the same services."""

from typing import Annotated, Final

import msgspec

from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.once import marks
from sardinepier.wire import messages

MAX_NOTICES: Final = 2048
MAX_TARGETS: Final = 4096


class NamedTarget(msgspec.Struct, frozen=True, array_like=True):
    """One start of one target, in the order of a report's rows."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """One target's evidence without its name.

    ``position`` is its place among the named targets. Scores and ``overdue``
    are in thousandths: they are rounded to that anyway, and a whole number
    takes a third of the bytes.
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

    ``targets`` is filled now and then, and such a report holds all rows. The
    others name that report's sequence in ``base``, and hold the rows that
    have changed since the report before.
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
    """One daemon's marks of requests that crash targets."""

    report: marks.QuarantineReport


class TargetNotice(msgspec.Struct, frozen=True, array_like=True):
    """One target as the platform's instance list has it."""

    service: ids.ServiceName
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    is_leaving: bool


_Notices = Annotated[
    tuple[TargetNotice, ...],
    msgspec.Meta(max_length=MAX_NOTICES),
]


class TargetNotices(messages.Message, frozen=True):
    """What a watcher read in the instance list, for a service's group."""

    notices: _Notices


KINDS: Final = (
    GroupReport,
    QuarantineNotice,
    TargetNotices,
)
"""All kinds, for the network's codec."""
