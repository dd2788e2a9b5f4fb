"""Scores the results of callers: credit, nines, worst window, worst class."""

import collections
import dataclasses
import math
from typing import Final

from sardinepier.workbench.policy import (
    crash_tally,
    cut_tally,
    floor,
    run_tally,
    statement_compliance,
)

_WINDOW_S: Final = 2.0
_BEST_NINES: Final = 0.005
"""Share of unserved requests up to which the part for nines is 1.0."""

_MEAN_WEIGHT: Final = 0.35
_WINDOW_WEIGHT: Final = 0.15
_CLASS_WEIGHT: Final = 0.15
_NINES_WEIGHT: Final = 0.35
"""The weights of the parts of the worth, as the users set them."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestScore:
    """The credit of one request, its maximum, and an additional penalty."""

    credit: float
    max_credit: float
    penalty: float = 0.0
    is_refused: bool = False


@dataclasses.dataclass(slots=True)
class Count:
    """The sums over some requests: their ends, credits and penalties."""

    requests: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    max_credit: float = 0.0
    credit: float = 0.0
    penalty: float = 0.0

    def add(self, score: RequestScore) -> None:
        """Count one request."""
        self.requests += 1
        self.served += score.credit > 0
        self.in_time += score.credit >= score.max_credit
        self.refused += score.is_refused
        self.max_credit += score.max_credit
        self.credit += score.credit
        self.penalty += score.penalty

    @property
    def share(self) -> float:
        """The earned share of the maximum credit."""
        return self.credit / self.max_credit if self.max_credit else 1.0

    @property
    def failed(self) -> int:
        """Requests that were neither served nor refused."""
        return self.requests - self.served - self.refused


class Tally:
    """All measurements of one run."""

    def __init__(self) -> None:
        """Start without requests."""
        self.floor = floor.Floor()
        self.crashes = crash_tally.CrashTally()
        self.cuts = cut_tally.CutTally()
        self.runs = run_tally.RunTally()
        self.compliance = statement_compliance.StatementCompliance()
        self.total = Count()
        self.by_class: dict[str, Count] = collections.defaultdict(Count)
        self.by_window: dict[int, Count] = collections.defaultdict(Count)

    def add(self, class_name: str, sent_s: float, score: RequestScore) -> None:
        """Count one request that was sent at ``sent_s``."""
        window = int(sent_s / _WINDOW_S)
        for count in (
            self.total,
            self.by_class[class_name],
            self.by_window[window],
        ):
            count.add(score)

    def worth(self) -> float:
        """Return the worth less the penalties; 1.0 is a perfect run."""
        windows = sorted(count.share for count in self.by_window.values())
        worst_window = sum(windows[:2]) / 2
        worst_class = min(count.share for count in self.by_class.values())
        return (
            _MEAN_WEIGHT * self.total.share
            + _WINDOW_WEIGHT * worst_window
            + _CLASS_WEIGHT * worst_class
            + _NINES_WEIGHT * self._nines()
            - self.total.penalty / self.total.max_credit
        )

    def _nines(self) -> float:
        unserved = 1 - self.total.served / self.total.requests
        if unserved <= _BEST_NINES:
            return 1.0
        return math.log(unserved) / math.log(_BEST_NINES)
