"""What callers got: credit, nines, the worst window and the worst class."""

import collections
import dataclasses
import math
from typing import Final

from sardinepier.workbench.policy import floor, statement_compliance

_WINDOW_S: Final = 2.0
_BEST_NINES: Final = 0.005
"""Share of unserved requests at which the part for nines is full."""

_MEAN_WEIGHT: Final = 0.35
_WINDOW_WEIGHT: Final = 0.15
_CLASS_WEIGHT: Final = 0.15
_NINES_WEIGHT: Final = 0.35
"""How the users weigh the parts of a day."""


@dataclasses.dataclass(frozen=True, slots=True)
class Earned:
    """What one request came to; ``price`` is what its end costs beside."""

    credit: float
    owed: float
    price: float = 0.0
    is_refused: bool = False


@dataclasses.dataclass(slots=True)
class Count:
    """Requests, what they were owed, earned and cost."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    owed: float = 0.0
    earned: float = 0.0
    price: float = 0.0

    def add(self, one: Earned) -> None:
        """Count one request."""
        self.requests += 1
        self.served += one.credit > 0
        self.refused += one.is_refused
        self.owed += one.owed
        self.earned += one.credit
        self.price += one.price

    @property
    def share(self) -> float:
        """The part of the owed credit that was earned."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def failed(self) -> int:
        """Requests that were neither served nor refused."""
        return self.requests - self.served - self.refused


class Tally:
    """Counts the requests of one run, and watches the targets in use."""

    def __init__(self) -> None:
        """Start without any."""
        self.floor = floor.Floor()
        self.compliance = statement_compliance.StatementCompliance()
        self.total = Count()
        self.by_class: dict[str, Count] = collections.defaultdict(Count)
        self.by_window: dict[int, Count] = collections.defaultdict(Count)

    def add(self, class_name: str, sent_s: float, one: Earned) -> None:
        """Count one request that was sent at ``sent_s``."""
        window = int(sent_s / _WINDOW_S)
        for count in (
            self.total,
            self.by_class[class_name],
            self.by_window[window],
        ):
            count.add(one)

    def worth(self) -> float:
        """Return the worth, 1.0 for a perfect run, less what ends cost."""
        windows = sorted(count.share for count in self.by_window.values())
        worst_window = sum(windows[:2]) / 2
        worst_class = min(count.share for count in self.by_class.values())
        return (
            _MEAN_WEIGHT * self.total.share
            + _WINDOW_WEIGHT * worst_window
            + _CLASS_WEIGHT * worst_class
            + _NINES_WEIGHT * self._nines()
            - self.total.price / self.total.owed
        )

    def _nines(self) -> float:
        unserved = 1 - self.total.served / self.total.requests
        if unserved <= _BEST_NINES:
            return 1.0
        return math.log(unserved) / math.log(_BEST_NINES)
