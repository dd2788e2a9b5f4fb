"""The further attempts of one service: their budget, and when it is spent."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import target_record
from sardinepier.health import refusal_estimate
from sardinepier.routing import fleet_budget, retry_queue

_FULL_PAUSE_S: Final = 0.1
"""How long a target that refused a request gets none: about half of a typical
processing time, after which it should have a free slot."""


class ServiceRetries:
    """Learns what the targets of a service shed, and hands out retry budget.

    ``queue`` spends the ``budget``.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
        retry_percent: float,
        service_time_s: Callable[[], float],
    ) -> None:
        """Allow ``retry_percent`` of the requests as further attempts."""
        self._clock = clock
        self._accepted = refusal_estimate.AcceptedShare()
        self.budget = fleet_budget.FleetBudget(
            clock,
            retry_percent,
            rounding=random_source.random(),
        )
        self.queue = retry_queue.RetryQueue(
            clock,
            random_source,
            self.budget,
            service_time_s,
        )

    def accepted_share(self) -> float:
        """Return the share of the requests, 0 to 1, that targets accept now."""
        return self._accepted.share(self._clock.monotonic_s())

    def accepted(
        self, record: target_record.TargetRecord, sent_s: float
    ) -> None:
        """Record that a target answered a request that it got at ``sent_s``."""
        now_s = self._clock.monotonic_s()
        record.refusal.accepted(now_s, sent_s)
        self._accepted.record(now_s, is_accepted=True)

    def shed(
        self,
        record: target_record.TargetRecord,
        cause: refusal_estimate.ShedCause,
    ) -> None:
        """Record that a target shed a request, and send it none for a moment."""
        now_s = self._clock.monotonic_s()
        record.full_until_s = now_s + _FULL_PAUSE_S
        record.refusal.shed(now_s, cause)
        record.refusal_source = target_record.ObservationSource.OWN
        self._accepted.record(now_s, is_accepted=False)
