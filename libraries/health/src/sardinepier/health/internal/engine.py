"""The parts behind the facade, wired together."""

import random
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import (
    change_detection,
    pooling,
    targets,
)
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    intake,
    judgement,
    probing,
    reporting,
    roster,
    scoring,
    tracked,
    verdict,
    weights,
)

_MS_PER_S: Final = 1000


class Engine:
    """All state of one service's health, and what keeps it consistent."""

    def __init__(
        self,
        observer: ids.InstanceId,
        options: health_options.HealthOptions,
        clock: core_clock.Clock,
        random_source: random.Random,
        on_change: verdict.ChangeHandler,
    ) -> None:
        """Start without targets and without peers."""
        self.options = options
        self.listed = roster.Roster(options)
        self.intake = intake.Intake(options)
        self.peers = pooling.PeerEvidence(observer, options, clock)
        self.reports = reporting.Reports(self.listed, options)
        self.verdicts = verdict.Verdicts(
            self.listed,
            observer,
            options,
            random_source,
            on_change,
        )
        self.probes = probing.ProbeSchedule(self.listed, options, random_source)
        self.doubts = False
        self.standings: dict[ids.TargetId, targets.Standing] = {}
        self.selectable: tuple[ids.TargetId, ...] = ()
        self._observer = observer
        self._clock = clock
        self.scorer = scoring.Scorer(observer, options)

    def configure(self, options: health_options.HealthOptions) -> None:
        """Hand changed settings to every part."""
        self.options = options
        self.listed.options = options
        self.intake.options = options
        self.peers.options = options
        self.reports.options = options
        self.probes.options = options
        self.verdicts.options = options
        self.scorer.options = options

    def judge(self) -> None:
        """Judge all targets by what came in since the last time."""
        now_s = self._clock.monotonic_s()
        listed = self.listed.all()
        group = self._group()
        limits = self._limits(group)
        for one in listed:
            window = one.window
            reporting.vote(
                one,
                self._observer,
                window.attempts(),
                window.good,
            )
        half = limits.threshold / 2
        self.scorer.score(listed, now_s, self.doubts, half)
        judgement.update(listed, group, now_s, limits)
        self.doubts = judgement.doubts_itself(listed)
        self.verdicts.judge(group, now_s, self.doubts, limits.threshold)
        self._refresh(group, now_s)

    def enforce(self) -> None:
        """Keep to the floor after a change between two ticks."""
        now_s = self._clock.monotonic_s()
        group = self._group()
        self.verdicts.enforce(group, now_s)
        self._refresh(group, now_s)

    def trial_started(self, one: tracked.Tracked) -> None:
        """Take a target on trial out of the choice while it has work."""
        self.standings[one.target_id] = targets.Standing(one.state, 0.0)
        self.selectable = tuple(
            target_id
            for target_id in self.selectable
            if target_id != one.target_id
        )

    def trial_ended(
        self,
        one: tracked.Tracked,
        outcome: intake.TrialOutcome,
    ) -> None:
        """Act on the last good trial or on a bad one."""
        if outcome is intake.TrialOutcome.PASSED:
            limits = self._limits(self._group())
            now_s = self._clock.monotonic_s()
            self.verdicts.trial_passed(one, now_s, limits.threshold)
        elif outcome is intake.TrialOutcome.FAILED:
            self.verdicts.trial_failed(one)
        self.enforce()

    def _group(self) -> judgement.Group:
        return judgement.Group(self._observer, self.peers.live())

    def _limits(self, group: judgement.Group) -> change_detection.Limits:
        threshold = change_detection.threshold(
            self.scorer.rate.per_target_s(),
            self.options.false_ejections_per_target_day,
        )
        share = self.options.observer_share if group.peers else 1
        return change_detection.Limits(
            threshold=threshold,
            pause_s=self.options.tolerated_pause_ms / _MS_PER_S,
            observer_limit=threshold * share,
        )

    def _refresh(self, group: judgement.Group, now_s: float) -> None:
        self.standings = {
            one.target_id: targets.Standing(
                one.state,
                weights.weight(one, self.options, now_s),
                reporting.peers_in_flight(one, group),
            )
            for one in self.listed
        }
        self.selectable = tuple(
            target_id
            for target_id, standing in self.standings.items()
            if standing.weight > 0
        )
