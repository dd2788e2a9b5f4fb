"""Requests of higher priority that wait at other daemons, and their slots.

Each daemon has a queue of its own for a service. A request leaves as many free
slots as requests of higher priority wait in the queues of other daemons.
"""

from collections.abc import Iterable
from typing import Final

from sardinepier.entry import target_record, use_elsewhere

_USABLE_PROBABILITY: Final = 0.5
"""Failure probability above which a free target is assumed to be of no use to
requests that wait elsewhere."""


class WaitingElsewhere:
    """The requests that wait for one service at other daemons, by priority.

    For example::

        waiting.set(report, priority=0, count=2)
        waiting.above(1, now_s)  # 2 while the report is fresh
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._counts: dict[tuple[use_elsewhere.PeerReport, int], int] = {}

    def set(
        self,
        report: use_elsewhere.PeerReport,
        priority: int,
        count: int,
    ) -> None:
        """Set how many requests of a priority wait at the reporting daemon."""
        if count:
            self._counts[(report, priority)] = count
        else:
            self._counts.pop((report, priority), None)

    def above(self, priority: int, now_s: float) -> int:
        """Return how many requests of higher priority wait."""
        if not self._counts:
            return 0
        waiting = sum(
            report.weight(now_s) * count
            for (report, reported), count in self._counts.items()
            if reported < priority
        )
        return int(waiting + 1 / 2)

    def total(self, now_s: float) -> float:
        """Return how many requests wait, weighted by the reports' ages."""
        return sum(
            report.weight(now_s) * count
            for (report, _), count in self._counts.items()
        )


def is_usable(
    record: target_record.TargetRecord,
    now_s: float,
    typical_latency_s: float,
) -> bool:
    """Return whether a free target is of use to any waiting request."""
    probability = record.failure_probability(now_s, typical_latency_s)
    return probability < _USABLE_PROBABILITY


def has_usable_slot(
    records: Iterable[target_record.TargetRecord],
    now_s: float,
    typical_latency_s: float,
) -> bool:
    """Return whether a usable target has a free slot."""
    return any(
        record.has_free_slot(now_s)
        for record in records
        if is_usable(record, now_s, typical_latency_s)
    )


def without_yielded_slots(
    free: list[target_record.TargetRecord],
    waiting: int,
    now_s: float,
    typical_latency_s: float,
) -> list[target_record.TargetRecord]:
    """Return the free targets of which a request may use a slot.

    ``waiting`` requests of higher priority wait elsewhere. If there are no more
    free slots than these can use, all of them are left to them.
    """
    if not waiting:
        return free
    yielded = {
        record
        for record in free
        if record.elsewhere.may_be_yielded(now_s)
        and is_usable(record, now_s, typical_latency_s)
    }
    if sum(record.free_slots(now_s) for record in yielded) > waiting:
        return free
    for target in yielded:
        target.elsewhere.yield_slots(now_s)
    return [record for record in free if record not in yielded]
