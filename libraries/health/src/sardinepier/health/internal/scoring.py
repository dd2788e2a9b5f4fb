"""From what ended in a tick to log-likelihood ratios for each target."""

import math
from collections.abc import Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.health import baseline, change_detection
from sardinepier.health import options as health_options
from sardinepier.health.internal import rates, others_baseline, tracked_target

_RESIDUAL_MEMORY_S: Final = 2.0
_NEWEST_MEMORY_S: Final = 0.5
_FAILURE_MEMORY_S: Final = 5.0
_TICKS_PER_TABLE: Final = 20
_FLIGHTS_LOOKED_AT: Final = 8
_MS_PER_S: Final = 1000
_WRONG_FACTOR: Final = 2
ABOVE_SUSPICION: Final = 0.25


class Scorer:
    """Scores every target's window against the other targets' windows."""

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
        doubts_itself: bool,
    ) -> None:
        """Score all windows and empty them."""
        self._refresh_tables()
        self._fade(tracked_targets, now_s)
        shifts = others_baseline.CommonSlowness(
            [one.recent for one in tracked_targets],
        )
        shares = others_baseline.OthersFailureShare(
            [
                (one.recent.failures, one.recent.attempts)
                for one in tracked_targets
            ],
            self.options.baseline_failure_percent / 100,
        )
        self.rate.advance(len(tracked_targets), now_s)
        for one in tracked_targets:
            shift = shifts.without(one.recent)
            if one.window.attempts():
                self.rate.add(one.window.attempts())
                usual_share = shares.without(
                    one.recent.failures,
                    one.recent.attempts,
                )
                self._score_window(one, shift, usual_share, doubts_itself)
            if one.flights or one.suspicion.overdue:
                self._score_flights(one, shift, now_s)
            one.window.clear()

    def _refresh_tables(self) -> None:
        self._ticks += 1
        if self._ticks % _TICKS_PER_TABLE == 0:
            self._ratios = change_detection.LatencyRatios(self._spread)

    def _fade(
        self,
        tracked_targets: Sequence[tracked_target.TrackedTarget],
        now_s: float,
    ) -> None:
        last_s = now_s if self._last_s is None else self._last_s
        elapsed_s = now_s - last_s
        self._last_s = now_s
        residual_fade = math.exp(-elapsed_s / _RESIDUAL_MEMORY_S)
        newest_fade = math.exp(-elapsed_s / _NEWEST_MEMORY_S)
        failure_fade = math.exp(-elapsed_s / _FAILURE_MEMORY_S)
        for one in tracked_targets:
            recent = one.recent
            recent.attempts *= failure_fade
            recent.failures *= failure_fade
            recent.residual_sum *= residual_fade
            recent.residual_count *= residual_fade
            recent.newest_sum *= newest_fade
            recent.newest_count *= newest_fade
            window = one.window
            recent.attempts += window.attempts()
            recent.failures += window.failures + window.wrong
            if window.residuals:
                recent.add_residuals(window.residuals)

    def _score_window(
        self,
        one: tracked_target.TrackedTarget,
        shift: int,
        usual_share: float,
        doubts_itself: bool,
    ) -> None:
        window = one.window
        ratios = self._latency_ratios(window.residuals, shift)
        for failure, success in change_detection.failure_ratios(usual_share):
            failures = window.failures + _WRONG_FACTOR * window.wrong
            ratios.append(failures * failure + window.successes * success)
        if doubts_itself:
            ratios = [min(0.0, ratio) for ratio in ratios]
        tally = one.tally
        tally.scores = [
            score + ratio
            for score, ratio in zip(tally.scores, ratios, strict=True)
        ]
        tally.good += window.good
        tally.attempts += window.attempts()
        one.suspicion.pending[self._own] = ratios
        if one.suspicion.score() < ABOVE_SUSPICION:
            self._learn(window.residuals, shift)

    def _latency_ratios(self, residuals: list[int], shift: int) -> list[float]:
        offset = shift + baseline.LOWEST
        places = [max(0, position - offset) for position in residuals]
        return [
            sum(table[place] for place in places)
            for table in self._ratios.tables
        ]

    def _learn(self, residuals: list[int], shift: int) -> None:
        for position in residuals:
            self._spread.observe(max(baseline.LOWEST, position - shift))

    def _score_flights(
        self,
        one: tracked_target.TrackedTarget,
        shift: int,
        now_s: float,
    ) -> None:
        suspicion = one.suspicion
        suspicion.overdue = 0.0
        suspicion.overdue_ms = 0.0
        suspicion.overdue_count = 0
        for number, flight in enumerate(one.flights.values()):
            if number >= _FLIGHTS_LOOKED_AT:
                break
            if flight.median is None:
                continue
            age_ms = (now_s - flight.started_s) * _MS_PER_S
            log_age = baseline.log_latency(age_ms)
            position = baseline.residual(log_age, flight.median) - shift
            if position < baseline.SLOW_RESIDUAL:
                continue
            suspicion.overdue_count += 1
            suspicion.overdue += self._ratios.overdue(position)
            late_ms = age_ms - baseline.slow_ms(flight.median)
            suspicion.overdue_ms = max(suspicion.overdue_ms, late_ms)
