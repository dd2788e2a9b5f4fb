"""Records outcomes of attempts and probes, at constant cost each."""

import enum
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline, evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import scoring, tracked_target

_MAX_WINDOW_ATTEMPTS: Final = 4096
_VERY_SLOW_RESIDUAL: Final = 8
_PROBE_ROUTE: Final = ids.RouteName('\x00probe')
_RECENT_TRAFFIC_S: Final = 5.0


class TrialOutcome(enum.Enum):
    """Outcome of a target's trials so far."""

    GOING_ON = 'going-on'
    PASSED = 'passed'
    FAILED = 'failed'


class AttemptRecorder:
    """Counts outcomes in each target's window and learns route medians."""

    def __init__(self, options: health_options.HealthOptions) -> None:
        """Start without route medians."""
        self.options = options
        self._medians = baseline.RouteMedians(options.routes_limit)

    def started(
        self,
        target: tracked_target.TrackedTarget,
        route: ids.RouteName,
        attempt: int,
        now_s: float,
    ) -> None:
        """Record an attempt in flight."""
        median = self._medians.get(route)
        target.in_flight_attempts[attempt] = tracked_target.InFlightAttempt(
            now_s, median
        )

    def finished(
        self,
        target: tracked_target.TrackedTarget,
        route: ids.RouteName,
        outcome: evidence.AttemptOutcome,
        latency_ms: float | None,
        now_s: float,
    ) -> evidence.HealthSignal | None:
        """Count an outcome; return its signal, or None if it is no evidence."""
        residual = self._residual(target, route, outcome, latency_ms)
        slow = residual is not None and residual >= baseline.SLOW_RESIDUAL
        signal = evidence.signal_of(outcome, slow)
        if signal is None or target.state in _UNJUDGED_STATES:
            if signal is evidence.HealthSignal.GOOD:
                target.has_good_answer = True
            return signal
        target.last_traffic_s = now_s
        if target.window.attempts() < _MAX_WINDOW_ATTEMPTS:
            _count(target.window, signal, residual)
        if signal is evidence.HealthSignal.GOOD:
            target.last_good_s = now_s
        return signal

    def probed(
        self,
        target: tracked_target.TrackedTarget,
        good: bool,
        latency_ms: float | None,
        now_s: float,
    ) -> None:
        """Record a probe.

        A good probe is good evidence only for an unsuspected target. A
        failed or very slow probe is evidence against a suspected target
        without recent traffic.
        """
        probing = target.probing
        suspected = target.suspicion.score() >= scoring.UNTRUSTED_SCORE
        if good:
            probing.failed_in_row = 0
            if not suspected:
                target.last_good_s = now_s
        else:
            probing.failed_in_row += 1
        if not suspected or _has_recent_traffic(target, now_s):
            return
        if target.state in _UNJUDGED_STATES:
            return
        residual = self._probe_residual(latency_ms) if good else None
        if not good:
            target.window.failures += 1
        elif residual is not None and residual >= _VERY_SLOW_RESIDUAL:
            target.window.residuals.append(residual)
            target.window.successes += 1

    def _residual(
        self,
        target: tracked_target.TrackedTarget,
        route: ids.RouteName,
        outcome: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> int | None:
        if latency_ms is None or outcome not in _TIMED:
            return None
        log_value = baseline.log_latency(latency_ms)
        median = self._medians.get(route)
        answered = outcome is evidence.AttemptOutcome.ANSWERED
        if answered and _is_trusted(target):
            self._medians.observe(route, log_value)
        if median is None:
            return None
        return baseline.residual(log_value, median)

    def _probe_residual(self, latency_ms: float | None) -> int | None:
        if latency_ms is None:
            return None
        log_value = baseline.log_latency(latency_ms)
        median = self._medians.get(_PROBE_ROUTE)
        self._medians.observe(_PROBE_ROUTE, log_value)
        if median is None:
            return None
        return baseline.residual(log_value, median)


def trial_outcome(
    target: tracked_target.TrackedTarget,
    signal: evidence.HealthSignal | None,
    options: health_options.HealthOptions,
) -> TrialOutcome:
    """Count a trial; several good ones in a row pass, a bad one fails."""
    if signal is None:
        return TrialOutcome.GOING_ON
    if signal is not evidence.HealthSignal.GOOD:
        return TrialOutcome.FAILED
    readmission_state = target.readmission_state
    readmission_state.good_trials += 1
    if readmission_state.good_trials >= options.trial_successes:
        return TrialOutcome.PASSED
    return TrialOutcome.GOING_ON


_UNJUDGED_STATES: Final = frozenset(
    (targets.TargetState.COLD, targets.TargetState.LEAVING),
)
_TIMED: Final = frozenset(
    (evidence.AttemptOutcome.ANSWERED, evidence.AttemptOutcome.TIMED_OUT),
)


def _is_trusted(target: tracked_target.TrackedTarget) -> bool:
    return (
        target.state is targets.TargetState.IN_SERVICE
        and target.suspicion.score() < scoring.UNTRUSTED_SCORE
    )


def _has_recent_traffic(
    target: tracked_target.TrackedTarget, now_s: float
) -> bool:
    if target.last_traffic_s is None:
        return False
    return now_s - target.last_traffic_s < _RECENT_TRAFFIC_S


def _count(
    window: tracked_target.Window,
    signal: evidence.HealthSignal,
    residual: int | None,
) -> None:
    if residual is not None:
        window.residuals.append(residual)
    if signal in _SUCCESSES:
        window.successes += 1
        window.good += signal is evidence.HealthSignal.GOOD
    elif signal is evidence.HealthSignal.WRONG:
        window.wrong += 1
    else:
        window.failures += 1


_SUCCESSES: Final = frozenset(
    (evidence.HealthSignal.GOOD, evidence.HealthSignal.SLOW)
)
