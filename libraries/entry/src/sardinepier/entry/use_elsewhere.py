"""What other daemons reported of their requests at one target.

A report counts in full while it is fresh, then with decreasing weight, and not
at all once it has expired: a daemon that stops or is cut off withholds no slot
for longer than that.
"""

import dataclasses
import math
from typing import Final

_EXPIRES_S: Final = 1.0
"""Age at which a report has no weight left."""

_FRESH_S: Final = 0.5
"""Age up to which a report has its full weight, twice the interval of reports."""

_MAX_YIELD_S: Final = 0.4
"""How long a free slot is left to requests of higher priority elsewhere. Their
daemon is informed of the slot within a reporting interval of 0.25 s and rechecks
its queue every 0.05 s."""

_YIELD_PAUSE_S: Final = 2.0
"""Time after which a slot that was left unused is left again. Until then the
requests elsewhere are assumed to be unable to use that target."""


@dataclasses.dataclass(slots=True, eq=False)
class PeerReport:
    """The age of all that one other daemon reported, for its receiver."""

    received_s: float

    @property
    def expires_s(self) -> float:
        """The time from which the report has no weight."""
        return self.received_s + _EXPIRES_S

    def weight(self, now_s: float) -> float:
        """Return the weight of the reported counts, 1 to 0."""
        left_s = self.expires_s - now_s
        return min(1.0, max(0.0, left_s / (_EXPIRES_S - _FRESH_S)))


class UseElsewhere:
    """The requests of other daemons in flight at one target.

    It also keeps since when the target's free slots are left to requests of
    higher priority that wait at other daemons.
    """

    __slots__ = ('_counts', '_yielded_since_s')

    def __init__(self) -> None:
        """Start without reports."""
        self._counts: dict[PeerReport, int] = {}
        self._yielded_since_s = -math.inf

    def set(self, report: PeerReport, count: int) -> None:
        """Set how many requests the author of ``report`` has in flight."""
        if count > self._counts.get(report, 0):
            self.stop_yielding()
        if count:
            self._counts[report] = count
        else:
            self._counts.pop(report, None)

    def in_flight(self, now_s: float, since_s: float = -math.inf) -> int:
        """Return the requests in flight by the reports since ``since_s``.

        A slot counts as used if at least half of it is.
        """
        if not self._counts:
            return 0
        reported = sum(
            report.weight(now_s) * count
            for report, count in self._counts.items()
            if report.received_s >= since_s
        )
        return int(reported + 1 / 2)

    def may_be_yielded(self, now_s: float) -> bool:
        """Return whether free slots may be left to requests elsewhere.

        They are left for a moment only, and then not again for a while.
        """
        left_s = now_s - self._yielded_since_s
        return left_s < _MAX_YIELD_S or left_s >= _MAX_YIELD_S + _YIELD_PAUSE_S

    def yield_slots(self, now_s: float) -> None:
        """Record that free slots are left, unless they were left before."""
        if now_s - self._yielded_since_s >= _MAX_YIELD_S:
            self._yielded_since_s = now_s

    def stop_yielding(self) -> None:
        """Record that a slot was used by a request that it may be left to."""
        self._yielded_since_s = -math.inf
