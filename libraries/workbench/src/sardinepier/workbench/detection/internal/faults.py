"""Applies the fault of a scenario to requests, probes and load counts."""

import random
from typing import Final

from sardinepier.health import evidence
from sardinepier.workbench.detection import scenario
from sardinepier.workbench.detection.internal import target_model

_Effect = scenario.Effect
_GRAY_SLOW_FACTOR: Final = 4.0
_GRAY_FAILURE_SHARE: Final = 0.3
_CRASH_SHARE: Final = 0.02


class FaultModel:
    """Computes the effects of one fault at a given time."""

    def __init__(
        self,
        service: scenario.Service,
        fault: scenario.Fault,
        fault_at_s: float,
        random_source: random.Random,
    ) -> None:
        """Affect the first target or daemon from ``fault_at_s`` on."""
        self._service = service
        self._fault = fault
        self._fault_at_s = fault_at_s
        self._random = random_source

    def is_on(self, now_s: float) -> bool:
        """Return whether the fault is active at the moment."""
        if now_s < self._fault_at_s:
            return False
        period_s = self._fault.period_s
        if not period_s:
            return True
        return (now_s - self._fault_at_s) % period_s < period_s / 2

    def load_factor(self, now_s: float) -> float:
        """Return the factor of the load."""
        if self._fault.effect is _Effect.OVERLOAD and self.is_on(now_s):
            return self._fault.amount
        return 1.0

    def load_lag_s(self) -> float:
        """Return the delay of in-flight counts on the way to peers."""
        return self._fault.load_lag_s

    def replaced_at_s(self) -> float | None:
        """Return when the first target is replaced, None for never."""
        if self._fault.effect is _Effect.REPLACED:
            return self._fault_at_s
        return None

    def is_lost(
        self, request: target_model.SimulatedRequest, now_s: float
    ) -> bool:
        """Return whether the request never reaches its target."""
        if self._fault.effect is not _Effect.CUT or request.target:
            return False
        return request.daemon < self._fault.cut_daemons and self.is_on(now_s)

    def crashes_target(
        self, request: target_model.SimulatedRequest, now_s: float
    ) -> bool:
        """Return whether the request crashes its target."""
        if self._fault.effect is not _Effect.CRASHING_REQUEST:
            return False
        return self.is_on(now_s) and self._random.random() < _CRASH_SHARE

    def slow_factor(
        self, request: target_model.SimulatedRequest, now_s: float
    ) -> float:
        """Return the factor of the request's service time."""
        effect = self._fault.effect
        if not self.is_on(now_s):
            return 1.0
        if effect is _Effect.ALL_SLOW:
            return self._fault.amount
        if effect is _Effect.SLOW and not request.target:
            return self._fault.amount
        return 1.0

    def outcome(
        self,
        request: target_model.SimulatedRequest,
        now_s: float,
    ) -> evidence.AttemptOutcome:
        """Return the outcome of the request at its target."""
        effect = self._fault.effect
        if not request.target and self.is_on(now_s):
            if effect is _Effect.HANG:
                return evidence.AttemptOutcome.TIMED_OUT
            if self._random.random() < self._fault.amount:
                if effect is _Effect.FAIL:
                    return evidence.AttemptOutcome.FAILED
                if effect is _Effect.WRONG:
                    return evidence.AttemptOutcome.WRONG
        if self._random.random() < self._service.failure_share:
            return evidence.AttemptOutcome.FAILED
        return evidence.AttemptOutcome.ANSWERED

    def as_seen(
        self,
        request: target_model.SimulatedRequest,
        outcome: evidence.AttemptOutcome,
        latency_ms: float,
        now_s: float,
    ) -> tuple[evidence.AttemptOutcome, float]:
        """Return outcome and latency as the daemon observes them.

        A gray daemon observes slower attempts and some failures.
        """
        gray = self._fault.effect is _Effect.GRAY_DAEMON and not request.daemon
        if not gray or not self.is_on(now_s):
            return outcome, latency_ms
        if self._random.random() < _GRAY_FAILURE_SHARE:
            return evidence.AttemptOutcome.FAILED, latency_ms
        return outcome, latency_ms * _GRAY_SLOW_FACTOR

    def probe_is_good(self, daemon: int, target: int, now_s: float) -> bool:
        """Return whether the target's health endpoint answers well."""
        if target or not self.is_on(now_s):
            return True
        if self._fault.effect is _Effect.CUT:
            return daemon >= self._fault.cut_daemons
        if self._fault.probes is scenario.Probes.HONEST:
            return False
        return self._fault.probes is not scenario.Probes.ALWAYS_BAD
