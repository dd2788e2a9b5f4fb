"""Turns the outcomes of a tick into log-likelihood ratios per target."""

import math
from collections.abc import Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline, change_detection
from sardinepier.health import options as health_options
from sardinepier.health.internal import others_baseline, rates, tracked_target

_RESIDUAL_TIME_CONSTANT_S: Final = 2.0
_NEWEST_TIME_CONSTANT_S: Final = 0.5
_FAILURE_TIME_CONSTANT_S: Final = 5.0
_TICKS_PER_TABLE: Final = 20
_MAX_SCORED_IN_FLIGHT: Final = 8
_MS_PER_S: Final = 1000
_WRONG_FACTOR: Final = 2
UNTRUSTED_SCORE: Final = 0.25
"""From this score on, a target's latencies do not train the baselines."""


class Scorer:
    """Scores each target's window relative to those of the other targets."""

    def __init__(
        self,
        own: ids.InstanceId,
        options: health_options.HealthOptions,
    ) -> None:
        """Start with the prior spread of latencies."""
        self.options = options
        self._own = own
        self._spread = baseline.ResidualSpread()
        self._ratios = change_detection.LatencyRatios(self._spread)
        self.rate = rates.EventRate()
        self._ticks = 0
        self._last_s: float | None = None

    def score(
        self,
        tracked_targets: Sequence[tracked_target.TrackedTarget],
        now_s: float,
        is_degraded: bool,
    ) -> None:
        """Score and clear all windows."""
        self._refresh_tables()
        self._decay(tracked_targets, now_s)
        shifts = others_baseline.CommonSlowness(
            [target.recent for target in tracked_targets],
        )
        failure_shares = others_baseline.OthersFailureShare(
            [
                (target.recent.failures, target.recent.attempts)
                for target in tracked_targets
            ],
            self.options.baseline_failure_percent / 100,
        )
        self.rate.advance(len(tracked_targets), now_s)
        for target in tracked_targets:
            shift = shifts.without(target.recent)
            if target.window.attempts():
                self.rate.add(target.window.attempts())
                typical_share = failure_shares.without(
                    target.recent.failures,
                    target.recent.attempts,
                )
                self._score_window(target, shift, typical_share, is_degraded)
            if target.in_flight_attempts or target.suspicion.overdue:
                self._score_in_flight(target, shift, now_s)
            target.window.clear()

    def _refresh_tables(self) -> None:
        self._ticks += 1
        if self._ticks % _TICKS_PER_TABLE == 0:
            self._ratios = change_detection.LatencyRatios(self._spread)

    def _decay(
        self,
        tracked_targets: Sequence[tracked_target.TrackedTarget],
        now_s: float,
    ) -> None:
        last_s = now_s if self._last_s is None else self._last_s
        elapsed_s = now_s - last_s
        self._last_s = now_s
        residual_decay = math.exp(-elapsed_s / _RESIDUAL_TIME_CONSTANT_S)
        newest_decay = math.exp(-elapsed_s / _NEWEST_TIME_CONSTANT_S)
        failure_decay = math.exp(-elapsed_s / _FAILURE_TIME_CONSTANT_S)
        for target in tracked_targets:
            recent = target.recent
            recent.attempts *= failure_decay
            recent.failures *= failure_decay
            recent.residual_sum *= residual_decay
            recent.residual_count *= residual_decay
            recent.newest_sum *= newest_decay
            recent.newest_count *= newest_decay
            window = target.window
            recent.attempts += window.attempts()
            recent.failures += window.failures + window.wrong
            if window.residuals:
                recent.add_residuals(window.residuals)

    def _score_window(
        self,
        target: tracked_target.TrackedTarget,
        shift: int,
        typical_share: float,
        is_degraded: bool,
    ) -> None:
        window = target.window
        ratios = self._latency_ratios(window.residuals, shift)
        for failure, success in change_detection.failure_ratios(typical_share):
            failures = window.failures + _WRONG_FACTOR * window.wrong
            ratios.append(failures * failure + window.successes * success)
        if is_degraded:
            ratios = [min(0.0, ratio) for ratio in ratios]
        tally = target.tally
        tally.scores = [
            score + ratio
            for score, ratio in zip(tally.scores, ratios, strict=True)
        ]
        tally.good += window.good
        tally.attempts += window.attempts()
        target.suspicion.pending[self._own] = ratios
        if target.suspicion.score() < UNTRUSTED_SCORE:
            self._learn(window.residuals, shift)

    def _latency_ratios(self, residuals: list[int], shift: int) -> list[float]:
        offset = shift + baseline.MIN_RESIDUAL
        indexes = [max(0, residual - offset) for residual in residuals]
        return [
            sum(table[index] for index in indexes)
            for table in self._ratios.tables
        ]

    def _learn(self, residuals: list[int], shift: int) -> None:
        for residual in residuals:
            self._spread.observe(max(baseline.MIN_RESIDUAL, residual - shift))

    def _score_in_flight(
        self,
        target: tracked_target.TrackedTarget,
        shift: int,
        now_s: float,
    ) -> None:
        suspicion = target.suspicion
        suspicion.overdue = 0.0
        suspicion.overdue_ms = 0.0
        suspicion.overdue_count = 0
        for number, attempt in enumerate(target.in_flight_attempts.values()):
            if number >= _MAX_SCORED_IN_FLIGHT:
                break
            if attempt.median is None:
                continue
            age_ms = (now_s - attempt.started_s) * _MS_PER_S
            log_age = baseline.log_latency(age_ms)
            residual = baseline.residual(log_age, attempt.median) - shift
            if residual < baseline.SLOW_RESIDUAL:
                continue
            suspicion.overdue_count += 1
            suspicion.overdue += self._ratios.overdue(residual)
            late_ms = age_ms - baseline.slow_ms(attempt.median)
            suspicion.overdue_ms = max(suspicion.overdue_ms, late_ms)
