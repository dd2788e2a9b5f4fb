"""Which beliefs about targets are worth telling, and taking in others'."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.health import failure_estimate
from sardinepier.zones import messages

_Source = target_record.ObservationSource
_MS_PER_S: Final = 1000
_WORTH_TELLING: Final = 0.1
"""Change of the chance that a target fails which other zones are told of:
less would not change their choice, and bytes between zones are dear."""

_OLDEST_NEWS_S: Final = 5.0


class EstimateUpdates:
    """Tells what became known since it last told, to one audience.

    What comes from some of the ``sources`` only is told, so that nothing goes
    round in circles: on its way news seems ever younger.
    """

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        sources: frozenset[target_record.ObservationSource],
        least_change: float = 0.0,
    ) -> None:
        """Tell of changes by ``least_change`` and more."""
        self._held = held
        self._clock = clock
        self._sources = sources
        self._least_change = least_change
        self._began_s = clock.monotonic_s()
        self._told_s: dict[ids.TargetId, float] = {}
        self._told: dict[ids.TargetId, failure_estimate.FailureEstimate] = {}

    def take(self) -> tuple[messages.TargetEstimate, ...]:
        """Return the news; each is returned once."""
        now_s = self._clock.monotonic_s()
        told_before_s = self._told_s
        self._told_s = {}
        news = []
        for pool in self._held.pools():
            for record in pool.targets.records():
                target_id = record.listed.target_id
                seen_s = record.estimate.updated_s
                before_s = told_before_s.get(target_id, self._began_s)
                self._told_s[target_id] = max(before_s, seen_s)
                if seen_s > before_s and record.belief_source in self._sources:
                    news.append(_news_of(record, now_s))
        return tuple(one for one in news if self._is_new(one))

    def _is_new(self, news: messages.TargetEstimate) -> bool:
        """Tell whether others believe otherwise by now.

        What they were told fades with time, so that a target which fails
        again and again is told of again and again.
        """
        now_s = self._clock.monotonic_s()
        told = self._told.get(news.target_id)
        if told is None:
            told = failure_estimate.FailureEstimate(
                self._held.belief_options, now_s
            )
            self._told[news.target_id] = told
        elif (
            abs(told.failing_probability(now_s) - news.failing)
            < self._least_change
        ):
            return False
        told.adopt(news.failing, now_s)
        return True


def for_own_zone(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> EstimateUpdates:
    """Return news for the own zone, also what other zones reported here."""
    return EstimateUpdates(
        held,
        clock,
        frozenset((_Source.OWN, _Source.OTHER_ZONE)),
    )


def for_other_zones(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> EstimateUpdates:
    """Return news that only has what matters to other zones."""
    return EstimateUpdates(
        held,
        clock,
        frozenset((_Source.OWN, _Source.ZONE)),
        _WORTH_TELLING,
    )


def take_in(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
    news: tuple[messages.TargetEstimate, ...],
    source: target_record.ObservationSource,
) -> None:
    """Believe what others saw later than this daemon."""
    now_s = clock.monotonic_s()
    by_target = {
        record.listed.target_id: record
        for pool in held.pools()
        for record in pool.targets.records()
    }
    for one in news:
        record = by_target.get(one.target_id)
        seen_s = now_s - one.age_ms / _MS_PER_S
        if record is None or now_s - seen_s > _OLDEST_NEWS_S:
            continue
        if seen_s > record.estimate.updated_s:
            record.estimate.adopt(one.failing, seen_s)
            record.belief_source = source


def _news_of(
    record: target_record.TargetRecord,
    now_s: float,
) -> messages.TargetEstimate:
    return messages.TargetEstimate(
        record.listed.target_id,
        round(record.estimate.failing_probability(now_s), 3),
        round((now_s - record.estimate.updated_s) * _MS_PER_S),
    )
