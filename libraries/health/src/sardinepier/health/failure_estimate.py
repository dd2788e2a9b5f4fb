"""How likely a target is failing right now, from its own outcomes.

Targets change between a sound and a failing state by themselves. One failure
of a target that answered a moment ago may be chance; one of a target that was
not asked for seconds more likely shows that it is failing. The belief is the
filter of a hidden Markov model with two states: it is updated by each outcome
and drifts back to the long-run share of failing time while nothing is heard.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class EstimateOptions:
    """What is assumed of the targets of a fleet.

    ``failing_share`` is the long-run share of time in which a target fails,
    ``memory_s`` the time in which what was seen loses two thirds of its
    weight. A failing target fails ``failing_failure_share`` of its requests,
    a sound one ``sound_failure_share``. A failing target mostly fails at
    once: of all its requests ``failing_late_share`` fail only after the usual
    time, and of those of a sound one ``sound_early_share`` at once. A target may
    also hang: ``failing_hung_share`` of the requests of a failing one, and
    ``sound_hung_share`` of those of a sound one, are still without an answer
    when that is far overdue. The defaults are those measured on fleets where a
    third of the targets fails at any time, for some ten seconds each.
    """

    failing_share: float = 0.3
    memory_s: float = 10.0
    failing_failure_share: float = 0.8
    sound_failure_share: float = 0.015
    failing_late_share: float = 0.04
    sound_early_share: float = 0.001
    failing_hung_share: float = 0.6
    sound_hung_share: float = 0.015


class FailureEstimate:
    """The belief about one target.

    For example::

        belief = TargetBelief(BeliefOptions(), now_s=0.0)
        belief.failed(1.0)
        belief.failure_chance(1.0)   # about 0.80
        belief.failure_chance(60.0)  # about 0.25, the long-run figure
    """

    __slots__ = ('_failing', '_options', '_updated_s')

    def __init__(self, options: EstimateOptions, now_s: float) -> None:
        """Start with the long-run share."""
        self._options = options
        self._failing = options.failing_share
        self._updated_s = now_s

    def failing_probability(self, now_s: float) -> float:
        """Return the chance, 0 to 1, that the target is failing now."""
        options = self._options
        kept = math.exp(-max(0.0, now_s - self._updated_s) / options.memory_s)
        drift = options.failing_share * (1 - kept)
        return drift + self._failing * kept

    def failure_probability(self, now_s: float) -> float:
        """Return the chance, 0 to 1, that a request sent now fails."""
        return self._chance(self.failing_probability(now_s))

    def failure_probability_after_answer(self, now_s: float) -> float:
        """Return the chance of failure, had it just given a good answer."""
        options = self._options
        failing = self._weighed(
            now_s,
            1 - options.failing_failure_share,
            1 - options.sound_failure_share,
        )
        return self._chance(failing)

    def answered(self, now_s: float) -> None:
        """Take in a good answer."""
        options = self._options
        self._update(
            now_s,
            1 - options.failing_failure_share,
            1 - options.sound_failure_share,
        )

    def failed(self, now_s: float, *, is_early: bool = True) -> None:
        """Take in a failed request.

        ``is_early`` says that it failed long before its work could be done,
        as requests do at targets that fail all or most of them.
        """
        options = self._options
        if is_early:
            self._update(
                now_s,
                options.failing_failure_share,
                options.sound_early_share,
            )
        else:
            self._update(
                now_s,
                options.failing_late_share,
                options.sound_failure_share,
            )

    def hung(self, now_s: float) -> None:
        """Take in a request that was given up when its answer was overdue."""
        options = self._options
        self._update(
            now_s,
            options.failing_hung_share,
            options.sound_hung_share,
        )

    def adopt(self, failing: float, now_s: float) -> None:
        """Replace the belief by one that another daemon holds."""
        self._failing = failing
        self._updated_s = now_s

    @property
    def updated_s(self) -> float:
        """When the newest outcome was taken in."""
        return self._updated_s

    def _update(
        self,
        now_s: float,
        if_failing: float,
        if_sound: float,
    ) -> None:
        self._failing = self._weighed(now_s, if_failing, if_sound)
        self._updated_s = now_s

    def _weighed(
        self,
        now_s: float,
        if_failing: float,
        if_sound: float,
    ) -> float:
        """Return the chance of failing after an outcome, by Bayes' rule."""
        failing = self.failing_probability(now_s)
        weighed = failing * if_failing
        return weighed / (weighed + (1 - failing) * if_sound)

    def _chance(self, failing: float) -> float:
        options = self._options
        return (
            failing * options.failing_failure_share
            + (1 - failing) * options.sound_failure_share
        )
