"""Estimates how likely a target, or a service, sheds a request sent now.

A target sheds for as long as it is full or unhealthy, which ends from one
moment to the next. All that is learned is therefore forgotten within a second:
a target that has recovered must not be avoided any longer.
"""

import dataclasses
import enum
import math
from typing import Final

_HALF_LIFE_S: Final = 0.35
"""Time in which evidence loses half of its weight. A recovered target is to be
used again within a second, by when an eighth is left."""


class ShedCause(enum.Enum):
    """Why a target shed a request, as far as its load shows."""

    UNHEALTHY = 'unhealthy'
    """It had free slots."""

    FULL = 'full'
    """All its slots were in use."""

    UNKNOWN = 'unknown'
    """It did not report its load."""


_GAINS: Final = {
    ShedCause.UNHEALTHY: 0.6,
    ShedCause.FULL: 0.2,
    ShedCause.UNKNOWN: 0.4,
}
"""How far a shed raises the probability towards 1. A target that was full has
a free slot after a part of a processing time, one that sheds with free slots
goes on for seconds."""

_ACCEPTED_FACTOR: Final = 0.5
"""Factor on the probability after a request that the target accepted."""


def shed_cause(running: int, slots: int) -> ShedCause:
    """Return the cause of a shed by a target that reported its load."""
    return ShedCause.FULL if running >= slots else ShedCause.UNHEALTHY


class RefusalEstimate:
    """The probability that one target sheds a request that is sent now.

    For example::

        estimate = RefusalEstimate()
        estimate.shed(1.0, ShedCause.UNHEALTHY)
        estimate.probability(1.0)   # 0.6
        estimate.probability(1.35)  # 0.3
        estimate.accepted(1.4, sent_s=1.36)
        estimate.probability(1.4)   # about 0.14
    """

    __slots__ = ('_probability', '_raised_s', '_updated_s')

    def __init__(self) -> None:
        """Start with a target that sheds nothing."""
        self._probability = 0.0
        self._updated_s = -math.inf
        self._raised_s = -math.inf

    @property
    def raised_s(self) -> float:
        """When a shed was last recorded, or reported by another daemon."""
        return self._raised_s

    def probability(self, now_s: float) -> float:
        """Return the probability, 0 to 1."""
        if not self._probability:
            return 0.0
        return self._probability * _retained(now_s - self._updated_s)

    def shed(self, now_s: float, cause: ShedCause) -> None:
        """Record that the target shed a request."""
        probability = self.probability(now_s)
        self._probability = probability + _GAINS[cause] * (1 - probability)
        self._updated_s = now_s
        self._raised_s = now_s

    def accepted(self, now_s: float, sent_s: float) -> None:
        """Record that the target accepted a request that was sent at ``sent_s``.

        The answer to a request that was sent before the last shed says nothing
        of what the target does since.
        """
        if sent_s >= self._raised_s and self._probability:
            self._probability = _ACCEPTED_FACTOR * self.probability(now_s)
            self._updated_s = now_s

    def adopt(self, probability: float, now_s: float) -> bool:
        """Apply the estimate of another daemon; return whether it is higher.

        A lower one is not adopted: the own one decays soon enough, and another
        daemon may have sent nothing to the target.
        """
        if probability <= self.probability(now_s):
            return False
        self._probability = min(1.0, probability)
        self._updated_s = now_s
        self._raised_s = now_s
        return True


@dataclasses.dataclass(slots=True)
class AcceptedShare:
    """The share of the requests sent to a service that its targets accept.

    Without evidence it is 1. One accepted request is assumed in addition to
    those that were observed, so that a single shed of a service with few
    requests doesn't count as a service that sheds.
    """

    _accepted: float = 0.0
    _shed: float = 0.0
    _updated_s: float = 0.0

    def record(self, now_s: float, *, is_accepted: bool) -> None:
        """Record what a target did with a request."""
        self._decay(now_s)
        if is_accepted:
            self._accepted += 1
        else:
            self._shed += 1

    def share(self, now_s: float) -> float:
        """Return the share, 0 to 1."""
        retained = _retained(now_s - self._updated_s)
        accepted = self._accepted * retained + 1
        return accepted / (accepted + self._shed * retained)

    def _decay(self, now_s: float) -> None:
        retained = _retained(now_s - self._updated_s)
        self._accepted *= retained
        self._shed *= retained
        self._updated_s = now_s


def _retained(age_s: float) -> float:
    return math.exp2(-max(0.0, age_s) / _HALF_LIFE_S)
