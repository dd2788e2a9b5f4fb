"""Messages between daemons about requests that crash targets."""

import msgspec

from sardinepier.core import ids


class CrashMark(msgspec.Struct, frozen=True):
    """The targets that one request crashed, as observed by one daemon.

    ``remaining_s`` is the time until the mark expires. ``held_s`` is the
    remaining time for which that daemon quarantines the request, 0 if it
    doesn't. The receiver converts both to deadlines on its own clock.
    ``service`` is the one that the request was sent to.
    """

    fingerprint: int
    targets: tuple[ids.TargetId, ...]
    remaining_s: float
    held_s: float = 0.0
    service: ids.ServiceName = ids.ServiceName('')


class QuarantineReport(msgspec.Struct, frozen=True):
    """The newest marks of one daemon; their number is bounded."""

    marks: tuple[CrashMark, ...] = ()
