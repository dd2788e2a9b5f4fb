"""Takes in what the gateway and the prober saw, at constant cost."""

import enum
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline, evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import scoring, tracked_target

_MOST_IN_WINDOW: Final = 4096
_VERY_SLOW_RESIDUAL: Final = 8
_PROBE_ROUTE: Final = ids.RouteName('\x00probe')
_TRAFFIC_SPEAKS_S: Final = 5.0


class TrialOutcome(enum.Enum):
    """What the trials of a returning target say so far."""

    GOING_ON = 'going-on'
    PASSED = 'passed'
    FAILED = 'failed'


class AttemptRecorder:
    """Turns ends of attempts into windows; learns the route medians."""

    def __init__(self, options: health_options.HealthOptions) -> None:
        """Know no route yet."""
        self.options = options
        self._medians = baseline.RouteMedians(options.routes_limit)

    def started(
        self,
        one: tracked_target.TrackedTarget,
        route: ids.RouteName,
        attempt: int,
        now_s: float,
    ) -> None:
        """Remember an attempt in flight."""
        median = self._medians.get(route)
        one.flights[attempt] = tracked_target.Flight(now_s, median)

    def finished(
        self,
        one: tracked_target.TrackedTarget,
        route: ids.RouteName,
        end: evidence.AttemptOutcome,
        latency_ms: float | None,
        now_s: float,
    ) -> evidence.HealthSignal | None:
        """Count an end; return its sign, None when it is no evidence."""
        position = self._position(one, route, end, latency_ms)
        slow = position is not None and position >= baseline.SLOW_RESIDUAL
        sign = evidence.signal_of(end, slow)
        if sign is None or one.state in _UNJUDGED:
            if sign is evidence.HealthSignal.GOOD:
                one.warmed = True
            return sign
        one.last_traffic_s = now_s
        if one.window.attempts() < _MOST_IN_WINDOW:
            _count(one.window, sign, position)
        if sign is evidence.HealthSignal.GOOD:
            one.last_good_s = now_s
        return sign

    def probed(
        self,
        one: tracked_target.TrackedTarget,
        good: bool,
        latency_ms: float | None,
        now_s: float,
    ) -> None:
        """Count a probe. A good one speaks only for an unsuspected target."""
        probing = one.probing
        suspected = one.suspicion.score() >= scoring.ABOVE_SUSPICION
        if good:
            probing.bad_in_row = 0
            if not suspected:
                one.last_good_s = now_s
        else:
            probing.bad_in_row += 1
        if not suspected or _traffic_speaks(one, now_s):
            return
        if one.state in _UNJUDGED:
            return
        position = self._probe_position(latency_ms) if good else None
        if not good:
            one.window.failures += 1
        elif position is not None and position >= _VERY_SLOW_RESIDUAL:
            one.window.residuals.append(position)
            one.window.successes += 1

    def _position(
        self,
        one: tracked_target.TrackedTarget,
        route: ids.RouteName,
        end: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> int | None:
        if latency_ms is None or end not in _TIMED:
            return None
        log_value = baseline.log_latency(latency_ms)
        median = self._medians.get(route)
        answered = end is evidence.AttemptOutcome.ANSWERED
        if answered and _may_teach(one):
            self._medians.observe(route, log_value)
        if median is None:
            return None
        return baseline.residual(log_value, median)

    def _probe_position(self, latency_ms: float | None) -> int | None:
        if latency_ms is None:
            return None
        log_value = baseline.log_latency(latency_ms)
        median = self._medians.get(_PROBE_ROUTE)
        self._medians.observe(_PROBE_ROUTE, log_value)
        if median is None:
            return None
        return baseline.residual(log_value, median)


def trial_result(
    one: tracked_target.TrackedTarget,
    sign: evidence.HealthSignal | None,
    options: health_options.HealthOptions,
) -> TrialOutcome:
    """Count a trial; enough good ones in a row pass, a bad one fails."""
    if sign is None:
        return TrialOutcome.GOING_ON
    if sign is not evidence.HealthSignal.GOOD:
        return TrialOutcome.FAILED
    readmission_state = one.readmission_state
    readmission_state.good_trials += 1
    if readmission_state.good_trials >= options.trial_successes:
        return TrialOutcome.PASSED
    return TrialOutcome.GOING_ON


_UNJUDGED: Final = frozenset(
    (targets.TargetState.COLD, targets.TargetState.LEAVING),
)
_TIMED: Final = frozenset(
    (evidence.AttemptOutcome.ANSWERED, evidence.AttemptOutcome.TIMED_OUT),
)


def _may_teach(one: tracked_target.TrackedTarget) -> bool:
    return (
        one.state is targets.TargetState.IN_SERVICE
        and one.suspicion.score() < scoring.ABOVE_SUSPICION
    )


def _traffic_speaks(one: tracked_target.TrackedTarget, now_s: float) -> bool:
    if one.last_traffic_s is None:
        return False
    return now_s - one.last_traffic_s < _TRAFFIC_SPEAKS_S


def _count(
    window: tracked_target.Window,
    sign: evidence.HealthSignal,
    position: int | None,
) -> None:
    if position is not None:
        window.residuals.append(position)
    if sign in _SUCCESSES:
        window.successes += 1
        window.good += sign is evidence.HealthSignal.GOOD
    elif sign is evidence.HealthSignal.WRONG:
        window.wrong += 1
    else:
        window.failures += 1


_SUCCESSES: Final = frozenset(
    (evidence.HealthSignal.GOOD, evidence.HealthSignal.SLOW)
)
