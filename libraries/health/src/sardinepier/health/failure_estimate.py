"""Estimates how likely a target is failing now, from its own outcomes.

Targets change between a healthy and a failing state by themselves. A failure
of a target that answered a moment ago may be chance; a failure of a target
that got no request for seconds more likely shows that it is failing. The
estimate is the filter of a hidden Markov model with two states: each outcome
updates it, and without outcomes it returns to the long-run share of failing
time.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class EstimateOptions:
    """Parameters of the hidden Markov model.

    ``failing_share`` is the long-run share of time in which a target fails.
    ``time_constant_s`` is the time in which an observation loses two thirds
    of its weight.

    All other parameters are shares of a target's requests. A failing target
    fails ``failing_failure_share`` of them, a healthy one
    ``healthy_failure_share``. Failing targets mostly fail early:
    ``failing_late_share`` fail only after the typical processing time. At
    healthy targets ``healthy_early_share`` fail early. Requests may also
    hang: ``failing_hung_share`` at a failing target and
    ``healthy_hung_share`` at a healthy one have no answer when it is far
    overdue.

    The defaults fit fleets where a third of the targets fails at any time,
    for about ten seconds each.
    """

    failing_share: float = 0.3
    time_constant_s: float = 10.0
    failing_failure_share: float = 0.8
    healthy_failure_share: float = 0.015
    failing_late_share: float = 0.04
    healthy_early_share: float = 0.001
    failing_hung_share: float = 0.6
    healthy_hung_share: float = 0.015


class FailureEstimate:
    """The estimate for one target.

    For example::

        estimate = FailureEstimate(EstimateOptions(), now_s=0.0)
        estimate.failed(1.0)
        estimate.failure_probability(1.0)   # about 0.80
        estimate.failure_probability(60.0)  # about 0.25, the long-run value
    """

    __slots__ = ('_failing_probability', '_options', '_updated_s')

    def __init__(self, options: EstimateOptions, now_s: float) -> None:
        """Start with the long-run share of failing time."""
        self._options = options
        self._failing_probability = options.failing_share
        self._updated_s = now_s

    def failing_probability(self, now_s: float) -> float:
        """Return the probability, 0 to 1, that the target is failing now."""
        options = self._options
        retained = math.exp(
            -max(0.0, now_s - self._updated_s) / options.time_constant_s
        )
        prior = options.failing_share * (1 - retained)
        return prior + self._failing_probability * retained

    def failure_probability(self, now_s: float) -> float:
        """Return the probability, 0 to 1, that a request sent now fails."""
        return self._failure_probability(self.failing_probability(now_s))

    def failure_probability_after_answer(self, now_s: float) -> float:
        """Return the failure probability after a hypothetical good answer.

        The estimate itself does not change.
        """
        options = self._options
        failing_probability = self._posterior(
            now_s,
            1 - options.failing_failure_share,
            1 - options.healthy_failure_share,
        )
        return self._failure_probability(failing_probability)

    def answered(self, now_s: float) -> None:
        """Record a good answer."""
        options = self._options
        self._update(
            now_s,
            1 - options.failing_failure_share,
            1 - options.healthy_failure_share,
        )

    def failed(self, now_s: float, *, is_early: bool = True) -> None:
        """Record a failed request.

        ``is_early`` means that it failed long before it could have been
        processed, as at targets that fail all or most requests.
        """
        options = self._options
        if is_early:
            self._update(
                now_s,
                options.failing_failure_share,
                options.healthy_early_share,
            )
        else:
            self._update(
                now_s,
                options.failing_late_share,
                options.healthy_failure_share,
            )

    def hung(self, now_s: float) -> None:
        """Record a request that was abandoned when its answer was overdue."""
        options = self._options
        self._update(
            now_s,
            options.failing_hung_share,
            options.healthy_hung_share,
        )

    def adopt(self, failing_probability: float, now_s: float) -> None:
        """Replace the estimate by one received from another daemon."""
        self._failing_probability = failing_probability
        self._updated_s = now_s

    @property
    def updated_s(self) -> float:
        """When the estimate was last updated."""
        return self._updated_s

    def _update(
        self,
        now_s: float,
        if_failing: float,
        if_healthy: float,
    ) -> None:
        self._failing_probability = self._posterior(
            now_s, if_failing, if_healthy
        )
        self._updated_s = now_s

    def _posterior(
        self,
        now_s: float,
        if_failing: float,
        if_healthy: float,
    ) -> float:
        """Return the probability of failing after an outcome (Bayes' rule)."""
        failing_probability = self.failing_probability(now_s)
        joint = failing_probability * if_failing
        return joint / (joint + (1 - failing_probability) * if_healthy)

    def _failure_probability(self, failing_probability: float) -> float:
        options = self._options
        return (
            failing_probability * options.failing_failure_share
            + (1 - failing_probability) * options.healthy_failure_share
        )
