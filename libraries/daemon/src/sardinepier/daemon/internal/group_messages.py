"""Messages among the daemons that serve the same services."""

from typing import Annotated, Final

import msgspec

from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.once import marks
from sardinepier.wire import messages

MAX_NOTICES: Final = 2048


class GroupReport(messages.Message, frozen=True):
    """One daemon's evidence about the targets of one service."""

    service: ids.ServiceName
    evidence: evidence.EvidenceReport


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
