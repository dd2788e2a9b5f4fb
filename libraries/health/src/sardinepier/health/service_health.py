"""The health of one service's targets, judged by a daemon and its group."""

import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import events, evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    attempt_recording,
    engine,
    probing,
    reporting,
    state_events,
    weights,
)

_MS_PER_S: Final = 1000
_NOT_LISTED: Final = targets.Standing(targets.TargetState.LEAVING, 0.0)


class ServiceHealth:
    """Judges the targets of one service; synchronous and without I/O.

    Record every attempt and probe, call :meth:`tick` every
    ``tick_interval_s``, send :meth:`report` to the group whenever
    :meth:`report_due` is true, and pass received reports to
    :meth:`receive_report`.

    For example, a target that keeps failing soon stops being selectable::

        health.set_targets([TargetIdentity('t1', 'a', 3), ...])
        health.started('t1', 'search', 7)
        health.finished('t1', 'search', 7, AttemptOutcome.FAILED, None)
        health.tick()
        health.selectable()
    """

    def __init__(
        self,
        service: ids.ServiceName,
        observer: ids.InstanceId,
        options: health_options.HealthOptions,
        clock: core_clock.Clock,
        random_source: random.Random,
        on_event: Callable[[events.TargetChanged], None],
    ) -> None:
        """Judge ``service`` as ``observer``; start without targets."""
        self._clock = clock
        self._engine = engine.Engine(
            observer,
            options,
            clock,
            random_source,
            state_events.StateEvents(service, on_event).notify,
        )

        self._probes = probing.ProbeSchedule(
            self._engine.listed,
            options,
            random_source,
        )

    def configure(self, options: health_options.HealthOptions) -> None:
        """Apply changed options; keep all evidence."""
        self._engine.configure(options)
        self._probes.options = options
        self._engine.enforce()

    def set_targets(self, listed: Iterable[targets.TargetIdentity]) -> None:
        """Apply the complete list of the service's targets.

        A target with an unchanged incarnation keeps its state, including its
        leaving mark. A new incarnation starts cold.
        """
        parts = self._engine
        parts.listed.replace(listed, self._clock.monotonic_s())
        for target in parts.listed:
            if parts.listed.is_leaving(target):
                parts.verdicts.leave(target)
        parts.enforce()

    def started(
        self,
        target_id: ids.TargetId,
        route: ids.RouteName,
        attempt: int,
    ) -> None:
        """Record that an attempt was sent; ``attempt`` identifies it.

        Unlisted targets are ignored, here and in all other methods.
        """
        target = self._engine.listed.get(target_id)
        if target is None:
            return
        now_s = self._clock.monotonic_s()
        self._engine.recorder.started(target, route, attempt, now_s)
        if target.state is targets.TargetState.TRIAL:
            self._engine.selection.drop(target_id)

    def finished(
        self,
        target_id: ids.TargetId,
        route: ids.RouteName,
        attempt: int,
        outcome: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> None:
        """Record how an attempt ended and how long it took.

        Without ``latency_ms``, a timeout counts with the time since
        ``started``, and an answer is no evidence about speed.
        """
        target = self._engine.listed.get(target_id)
        if target is None:
            return
        now_s = self._clock.monotonic_s()
        in_flight = target.in_flight_attempts.pop(attempt, None)
        timed_out = outcome is evidence.AttemptOutcome.TIMED_OUT
        if latency_ms is None and timed_out and in_flight is not None:
            latency_ms = (now_s - in_flight.started_s) * _MS_PER_S
        signal = self._engine.recorder.finished(
            target,
            route,
            outcome,
            latency_ms,
            now_s,
        )
        if target.state is targets.TargetState.TRIAL:
            trial_outcome = attempt_recording.trial_outcome(
                target, signal, self._engine.options
            )
            self._engine.trial_ended(target, trial_outcome)

    def probed(
        self,
        target_id: ids.TargetId,
        good: bool,
        latency_ms: float | None,
    ) -> None:
        """Record the result of a probe; a good one never clears a target."""
        target = self._engine.listed.get(target_id)
        if target is not None:
            now_s = self._clock.monotonic_s()
            self._engine.recorder.probed(target, good, latency_ms, now_s)

    def mark_leaving(
        self,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Mark an incarnation as leaving; return whether the mark is new.

        The mark is permanent: this incarnation is never selected again.
        """
        parts = self._engine
        notice = evidence.LeavingNotice(target_id, incarnation)
        if not parts.listed.mark_leaving(notice):
            return False
        target = parts.listed.get(target_id)
        if target is not None and target.identity.incarnation == incarnation:
            parts.verdicts.leave(target)
            parts.enforce()
        return True

    def tick(self) -> None:
        """Judge all targets by the evidence since the last tick."""
        self._engine.judge()

    def standing(self, target_id: ids.TargetId) -> targets.Standing:
        """Return the state of a target; an unlisted one is leaving."""
        return self._engine.selection.standings.get(target_id, _NOT_LISTED)

    def selectable(self) -> tuple[ids.TargetId, ...]:
        """Return the targets with a weight above 0, in list order."""
        return self._engine.selection.selectable

    def due_probes(self) -> tuple[ids.TargetId, ...]:
        """Return the targets to probe now and schedule their next probes."""
        return self._probes.due(self._clock.monotonic_s())

    def report_due(self) -> bool:
        """Return whether a report is due; sooner if targets are suspected."""
        return self._engine.reports.is_due(self._clock.monotonic_s())

    def report(self) -> evidence.EvidenceReport:
        """Return a new report with all evidence for the group."""
        now_s = self._clock.monotonic_s()
        return self._engine.reports.make(now_s, self._engine.is_degraded)

    def receive_report(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> None:
        """Merge a peer's report; an old or repeated one has no effect."""
        for notice in report.leaving:
            self.mark_leaving(notice.target_id, notice.incarnation)
        self._engine.receive_report(observer, report)

    def forget(self, observer: ids.InstanceId) -> None:
        """Drop the report of an observer that died or left the group."""
        self._engine.peers.forget(observer)

    def status(self) -> tuple[targets.TargetStatus, ...]:
        """Return the status of each target for operators."""
        now_s = self._clock.monotonic_s()
        options = self._engine.options
        return tuple(
            reporting.status(
                target,
                weights.weight(target, options, now_s),
                now_s,
            )
            for target in self._engine.listed
        )
