"""Selects estimates of shedding targets to send, and applies received ones."""

import math
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record

_KEPT_S: Final = 5.0
"""How long a sent estimate is remembered: far longer than it has any effect."""


class RefusalUpdates:
    """Finds the estimates that are new to one group of receivers.

    Only sheds observed by ``sources`` are sent, each once. An estimate decays
    at the receivers as it does here, so that lower ones need not be sent.
    """

    def __init__(
        self,
        sources: frozenset[target_record.ObservationSource],
        began_s: float,
        min_probability: float,
    ) -> None:
        """Send probabilities from ``min_probability`` raised since ``began_s``."""
        self._sources = sources
        self._began_s = began_s
        self._min_probability = min_probability
        self._sent_s: dict[ids.TargetId, float] = {}

    def take(self, record: target_record.TargetRecord, now_s: float) -> float:
        """Return the probability of a target to be sent now, 0 for none."""
        raised_s = record.refusal.raised_s
        if raised_s <= self._began_s:
            return 0.0
        target_id = record.listed.target_id
        is_known = raised_s <= self._sent_s.get(target_id, -math.inf)
        if is_known or record.refusal_source not in self._sources:
            return 0.0
        probability = record.refusal.probability(now_s)
        if probability < self._min_probability:
            return 0.0
        self._sent_s[target_id] = raised_s
        return round(probability, 2)

    def forget_old(self, now_s: float) -> None:
        """Forget sheds that have no effect any more."""
        self._began_s = max(self._began_s, now_s - _KEPT_S)
        self._sent_s = {
            target_id: raised_s
            for target_id, raised_s in self._sent_s.items()
            if raised_s > self._began_s
        }


def apply(
    record: target_record.TargetRecord,
    refusing: float,
    source: target_record.ObservationSource,
    now_s: float,
) -> None:
    """Adopt the probability that another daemon reports, if it is higher."""
    if record.refusal.adopt(refusing, now_s):
        record.refusal_source = source
