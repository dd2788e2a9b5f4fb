"""Selects failure estimates to send, and applies those of other daemons."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.health import failure_estimate
from sardinepier.zones import messages, refusal_updates

_Source = target_record.ObservationSource
_MS_PER_S: Final = 1000
_MIN_CHANGE: Final = 0.1
"""Minimum change of a failure probability that is sent to other zones: a
smaller one would not change their choice, and traffic between zones is
expensive."""

_MAX_AGE_S: Final = 5.0
_NO_OUTCOME_AGE_MS: Final = 3_600_000
"""Age in an estimate that reports sheds only: receivers ignore outcomes that
are so old."""

_MIN_REFUSING: Final = 0.1
_MIN_REFUSING_ELSEWHERE: Final = 0.3
"""Minimum probability of a shed that is sent to other zones. A lower one has
decayed before it could change a choice there."""


class EstimateUpdates:
    """Collects the estimates that are new to one group of receivers.

    Only observations from ``sources`` are sent. Forwarding all of them would
    make them circulate between daemons, as transit time is not part of an age
    and each hop makes an observation seem younger.
    """

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        sources: frozenset[target_record.ObservationSource],
        min_change: float = 0.0,
        min_refusing: float = _MIN_REFUSING,
    ) -> None:
        """Collect changes of the probability by ``min_change`` or more.

        Of targets that shed, collect probabilities from ``min_refusing``.
        """
        self._services = services
        self._clock = clock
        self._sources = sources
        self._min_change = min_change
        self._began_s = clock.monotonic_s()
        self._refusals = refusal_updates.RefusalUpdates(
            sources, self._began_s, min_refusing
        )
        self._sent_observation_s: dict[ids.TargetId, float] = {}
        self._sent: dict[ids.TargetId, failure_estimate.FailureEstimate] = {}

    def collect(self) -> tuple[messages.TargetEstimate, ...]:
        """Return the new estimates, each of them once."""
        now_s = self._clock.monotonic_s()
        sent_before_s = self._sent_observation_s
        self._sent_observation_s = {}
        estimates = []
        for pool in self._services.pools():
            for record in pool.targets.records():
                target_id = record.listed.target_id
                observed_s = record.estimate.updated_s
                before_s = sent_before_s.get(target_id, self._began_s)
                self._sent_observation_s[target_id] = max(before_s, observed_s)
                refusing = self._refusals.take(record, now_s)
                if (
                    observed_s > before_s
                    and record.estimate_source in self._sources
                ):
                    estimates.append(_estimate_of(record, now_s, refusing))
                elif refusing:
                    estimates.append(_sheds_only(target_id, refusing))
        self._refusals.forget_old(now_s)
        return tuple(
            estimate for estimate in estimates if self._is_new(estimate)
        )

    def _is_new(self, estimate: messages.TargetEstimate) -> bool:
        """Return whether the receivers' estimate differs by now.

        The estimate that they were sent decays with time, so that repeated
        failures of a target are sent repeatedly.
        """
        if estimate.age_ms >= _NO_OUTCOME_AGE_MS:
            return True
        now_s = self._clock.monotonic_s()
        sent = self._sent.get(estimate.target_id)
        if sent is None:
            sent = failure_estimate.FailureEstimate(
                self._services.estimate_options, now_s
            )
            self._sent[estimate.target_id] = sent
        elif (
            abs(sent.failing_probability(now_s) - estimate.failing)
            < self._min_change
        ):
            return estimate.refusing > 0
        sent.adopt(estimate.failing, now_s)
        return True


def for_own_zone(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> EstimateUpdates:
    """Return updates for the own zone, including reports of other zones."""
    return EstimateUpdates(
        services,
        clock,
        frozenset((_Source.OWN, _Source.OTHER_ZONE)),
    )


def for_other_zones(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> EstimateUpdates:
    """Return updates for other zones, with larger changes only."""
    return EstimateUpdates(
        services,
        clock,
        frozenset((_Source.OWN, _Source.ZONE)),
        _MIN_CHANGE,
        _MIN_REFUSING_ELSEWHERE,
    )


def apply_updates(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
    received: tuple[messages.TargetEstimate, ...],
    source: target_record.ObservationSource,
) -> None:
    """Adopt estimates that are based on newer outcomes than the own ones."""
    now_s = clock.monotonic_s()
    by_target = {
        record.listed.target_id: record
        for pool in services.pools()
        for record in pool.targets.records()
    }
    for estimate in received:
        record = by_target.get(estimate.target_id)
        if record is None:
            continue
        refusal_updates.apply(record, estimate.refusing, source, now_s)
        observed_s = now_s - estimate.age_ms / _MS_PER_S
        if now_s - observed_s > _MAX_AGE_S:
            continue
        if observed_s > record.estimate.updated_s:
            record.estimate.adopt(estimate.failing, observed_s)
            record.estimate_source = source


def _estimate_of(
    record: target_record.TargetRecord,
    now_s: float,
    refusing: float,
) -> messages.TargetEstimate:
    return messages.TargetEstimate(
        record.listed.target_id,
        round(record.estimate.failing_probability(now_s), 3),
        round((now_s - record.estimate.updated_s) * _MS_PER_S),
        # An integer takes one byte and a float nine.
        refusing or 0,
    )


def _sheds_only(
    target_id: ids.TargetId, refusing: float
) -> messages.TargetEstimate:
    return messages.TargetEstimate(target_id, 0.0, _NO_OUTCOME_AGE_MS, refusing)
