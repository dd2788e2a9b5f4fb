"""Connects the parts behind ``ServiceHealth``."""

import random
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import change_detection, evidence, peer_evidence
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    attempt_recording,
    group_scores,
    reporting,
    scoring,
    selection,
    target_list,
    tracked_target,
    verdict,
)

_MS_PER_S: Final = 1000


class Engine:
    """The state of one service's health; keeps its parts consistent."""

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
        self.listed = target_list.TargetList(options)
        self.recorder = attempt_recording.AttemptRecorder(options)
        self.peers = peer_evidence.PeerEvidence(observer, options, clock)
        self.reports = reporting.Reports(self.listed, options)
        self.verdicts = verdict.Verdicts(
            self.listed,
            observer,
            options,
            random_source,
            on_change,
        )
        self.is_degraded = False
        self.selection = selection.Selection()
        self._observer = observer
        self._clock = clock
        self.scorer = scoring.Scorer(observer, options)

    def configure(self, options: health_options.HealthOptions) -> None:
        """Pass changed options to every part."""
        self.options = options
        self.listed.options = options
        self.recorder.options = options
        self.peers.options = options
        self.reports.options = options
        self.verdicts.options = options
        self.scorer.options = options

    def judge(self) -> None:
        """Judge all targets by the evidence since the last call."""
        now_s = self._clock.monotonic_s()
        listed = self.listed.all()
        group = self._group()
        limits = self._limits(group)
        for target in listed:
            window = target.window
            reporting.count_vote(
                target,
                self._observer,
                window.attempts(),
                window.good,
                now_s,
            )
        self.scorer.score(listed, now_s, self.is_degraded)
        group_scores.update(listed, group, now_s, limits)
        self.is_degraded = group_scores.is_degraded(listed)
        self.verdicts.judge(group, now_s, self.is_degraded, limits.threshold)
        self.selection.refresh(
            self.listed,
            self.peers.in_flight,
            self.options,
            now_s,
        )

    def enforce(self) -> None:
        """Apply the floor after a change between two ticks."""
        now_s = self._clock.monotonic_s()
        group = self._group()
        self.verdicts.enforce(group, now_s)
        self.selection.refresh(
            self.listed,
            self.peers.in_flight,
            self.options,
            now_s,
        )

    def receive_report(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> None:
        """Merge a peer's report and apply its ejections immediately."""
        increments = self.peers.merge(observer, report)
        if increments is None:
            return
        now_s = self._clock.monotonic_s()
        for target in self.listed:
            increment = increments.get(target.target_id)
            if increment is None:
                reporting.count_vote(target, observer, 0, 0, now_s)
            elif increment.incarnation == target.identity.incarnation:
                reporting.add_increment(target, increment, now_s)
                self.scorer.rate.add(increment.attempts)
                if increment.good:
                    target.last_traffic_s = now_s
        if report.ejections:
            self.enforce()

    def trial_ended(
        self,
        target: tracked_target.TrackedTarget,
        outcome: attempt_recording.TrialOutcome,
    ) -> None:
        """Apply the outcome of a trial request."""
        if outcome is attempt_recording.TrialOutcome.PASSED:
            limits = self._limits(self._group())
            now_s = self._clock.monotonic_s()
            self.verdicts.trial_passed(target, now_s, limits.threshold)
        elif outcome is attempt_recording.TrialOutcome.FAILED:
            self.verdicts.trial_failed(target)
        self.enforce()

    def _group(self) -> group_scores.Group:
        return group_scores.group_of(
            self._observer,
            self.peers.live(),
            self._clock.monotonic_s(),
        )

    def _limits(self, group: group_scores.Group) -> change_detection.Limits:
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
