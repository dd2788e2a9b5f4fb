"""Counts the outcomes of the requests of one run."""

import collections
import dataclasses
import enum
from typing import Final

import numpy as np

_PERCENT: Final = 100
_MS_PER_S: Final = 1000


class Outcome(enum.Enum):
    """How a request ended."""

    COMPLETED = 'completed'
    LIMITED = 'caller limit'
    QUEUE_FULL = 'queue full'
    TOO_LATE = 'deadline, not sent'
    TIMED_OUT = 'deadline, sent'
    SHED = 'shed, no budget'
    FAILED = 'failed, no budget'


@dataclasses.dataclass(frozen=True)
class EndedRequest:
    """A request that has ended, with its arrival time and its latency."""

    class_name: str
    arrived_s: float
    latency_s: float
    outcome: Outcome


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of some ended requests; the latencies are of completed ones."""

    requests: int
    lost_percent: float
    p50_ms: float
    p99_ms: float


class Tally:
    """All ended requests and attempts of one run."""

    def __init__(self, until_s: float) -> None:
        """Start empty; slot use is counted up to ``until_s``."""
        self.until_s = until_s
        self.ended: list[EndedRequest] = []
        self.attempts = 0
        self.sheds = 0
        self.busy_s = 0.0

    def add_busy(self, from_s: float, until_s: float) -> None:
        """Count the use of a slot, up to the end of the counted time."""
        self.busy_s += max(0, min(until_s, self.until_s) - from_s)

    def add(self, ended: EndedRequest) -> None:
        """Record a request that has ended."""
        self.ended.append(ended)

    def between(self, from_s: float, until_s: float) -> list[EndedRequest]:
        """Return the requests that arrived in that period."""
        return [
            request
            for request in self.ended
            if from_s <= request.arrived_s < until_s
        ]

    def of_class(self, class_name: str) -> list[EndedRequest]:
        """Return the requests of one class."""
        return [
            request
            for request in self.ended
            if request.class_name == class_name
        ]

    def amplification(self) -> float:
        """Return the attempts per request."""
        return self.attempts / max(1, len(self.ended))


def figures(ended: list[EndedRequest]) -> Figures:
    """Return the figures of ``ended``; latencies are NaN if none completed."""
    counts = collections.Counter(request.outcome for request in ended)
    latencies_ms = [
        request.latency_s * _MS_PER_S
        for request in ended
        if request.outcome is Outcome.COMPLETED
    ]
    lost = len(ended) - counts[Outcome.COMPLETED]
    quantiles = np.percentile(latencies_ms or [float('nan')], [50, 99])
    return Figures(
        len(ended),
        _PERCENT * lost / max(1, len(ended)),
        float(quantiles[0]),
        float(quantiles[1]),
    )
