"""Counts what happened to the requests of one run."""

import collections
import dataclasses
import enum
from typing import Final

import numpy as np

_PERCENT: Final = 100
_MS_PER_S: Final = 1000


class End(enum.Enum):
    """How a request ended."""

    COMPLETED = 'completed'
    LIMITED = 'caller limit'
    QUEUE_FULL = 'queue full'
    TOO_LATE = 'deadline, not sent'
    TIMED_OUT = 'deadline, sent'
    SHED = 'shed, no budget'
    FAILED = 'failed, no budget'


@dataclasses.dataclass(frozen=True)
class Ended:
    """One request's end: its class, when it came and how long it took."""

    class_name: str
    arrived_s: float
    latency_s: float
    end: End


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of some ended requests. Latencies are of completed ones."""

    requests: int
    lost_percent: float
    p50_ms: float
    p99_ms: float


class Tally:
    """All ends and attempts of one run."""

    def __init__(self, until_s: float) -> None:
        """Start with nothing counted; slots are watched ``until_s``."""
        self.until_s = until_s
        self.ended: list[Ended] = []
        self.attempts = 0
        self.sheds = 0
        self.busy_s = 0.0

    def add_busy(self, from_s: float, until_s: float) -> None:
        """Count a slot's use, as far as it lies in the watched time."""
        self.busy_s += max(0, min(until_s, self.until_s) - from_s)

    def add(self, ended: Ended) -> None:
        """Count the end of a request."""
        self.ended.append(ended)

    def between(self, from_s: float, until_s: float) -> list[Ended]:
        """Return the requests that arrived in that stretch of time."""
        return [one for one in self.ended if from_s <= one.arrived_s < until_s]

    def of_class(self, class_name: str) -> list[Ended]:
        """Return the requests of one class."""
        return [one for one in self.ended if one.class_name == class_name]

    def amplification(self) -> float:
        """Return the attempts for each request."""
        return self.attempts / max(1, len(self.ended))


def figures(ended: list[Ended]) -> Figures:
    """Work out the figures of ``ended``; latencies are NaN without any."""
    counts = collections.Counter(one.end for one in ended)
    latencies_ms = [
        one.latency_s * _MS_PER_S for one in ended if one.end is End.COMPLETED
    ]
    lost = len(ended) - counts[End.COMPLETED]
    quantiles = np.percentile(latencies_ms or [float('nan')], [50, 99])
    return Figures(
        len(ended),
        _PERCENT * lost / max(1, len(ended)),
        float(quantiles[0]),
        float(quantiles[1]),
    )
