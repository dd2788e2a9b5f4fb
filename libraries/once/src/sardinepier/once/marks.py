"""What daemons tell each other about requests that crash targets."""

import msgspec

from sardinepier.core import ids


class CrashMark(msgspec.Struct, frozen=True):
    """One request crashed these targets, as one daemon saw it itself.

    ``remaining_s`` says for how long the mark still counts, and ``held_s`` for
    how long that daemon holds the request back, 0 if it doesn't. They become
    deadlines on the receiver's clock on arrival.
    """

    fingerprint: int
    targets: tuple[ids.TargetId, ...]
    remaining_s: float
    held_s: float = 0.0


class QuarantineReport(msgspec.Struct, frozen=True):
    """The newest marks of one daemon, a bounded number of them."""

    marks: tuple[CrashMark, ...] = ()
