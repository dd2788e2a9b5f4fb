"""The health of one service's targets, as one daemon and its group see it."""

import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import events, evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    state_events,
    engine,
    attempt_recording,
    probing,
    reporting,
    weights,
)

_MS_PER_S: Final = 1000
_NOT_LISTED: Final = targets.Standing(targets.TargetState.LEAVING, 0.0)


class ServiceHealth:
    """Judges the targets of one service; synchronous and without I/O.

    Tell it of every attempt and probe, call :meth:`tick` every
    ``tick_interval_s``, send :meth:`report` to the group whenever
    :meth:`report_due` says so, and pass what arrives to :meth:`heard`.

    For example a target that keeps failing is not selectable a moment
    later::

        health.set_targets([TargetIdentity('t1', 'a', 3), ...])
        health.started('t1', 'search', 7)
        health.finished('t1', 'search', 7, AttemptEnd.FAILED, None)
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
        """Judge ``service`` as ``observer``, without targets at first."""
        self._clock = clock
        self._engine = engine.Engine(
            observer,
            options,
            clock,
            random_source,
            state_events.StateEvents(service, on_event).changed,
        )

        self._probes = probing.ProbeSchedule(
            self._engine.listed,
            options,
            random_source,
        )

    def configure(self, options: health_options.HealthOptions) -> None:
        """Put changed settings in force, keeping what was learned."""
        self._engine.configure(options)
        self._probes.options = options
        self._engine.enforce()

    def set_targets(self, listed: Iterable[targets.TargetIdentity]) -> None:
        """Take the service's whole list of targets.

        A target whose incarnation is unchanged keeps all its state, its
        leaving mark among it. A new incarnation starts cold.
        """
        parts = self._engine
        parts.listed.replace(listed, self._clock.monotonic_s())
        for one in parts.listed:
            if parts.listed.is_leaving(one):
                parts.verdicts.leave(one)
        parts.enforce()

    def started(
        self,
        target_id: ids.TargetId,
        route: ids.RouteName,
        attempt: int,
    ) -> None:
        """Note that an attempt goes out; ``attempt`` names it until it ends.

        A target that is not listed is passed over, as in all methods here.
        """
        one = self._engine.listed.get(target_id)
        if one is None:
            return
        now_s = self._clock.monotonic_s()
        self._engine.intake.started(one, route, attempt, now_s)
        if one.state is targets.TargetState.TRIAL:
            self._engine.choices.drop(target_id)

    def finished(
        self,
        target_id: ids.TargetId,
        route: ids.RouteName,
        attempt: int,
        outcome: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> None:
        """Note how an attempt ended, and after how many milliseconds.

        Without ``latency_ms`` a timeout took the time since ``started``; an
        answer without it says nothing about speed.
        """
        one = self._engine.listed.get(target_id)
        if one is None:
            return
        now_s = self._clock.monotonic_s()
        flight = one.flights.pop(attempt, None)
        timed_out = outcome is evidence.AttemptOutcome.TIMED_OUT
        if latency_ms is None and timed_out and flight is not None:
            latency_ms = (now_s - flight.started_s) * _MS_PER_S
        sign = self._engine.intake.finished(
            one,
            route,
            outcome,
            latency_ms,
            now_s,
        )
        if one.state is targets.TargetState.TRIAL:
            trial_outcome = attempt_recording.trial_result(
                one, sign, self._engine.options
            )
            self._engine.trial_ended(one, trial_outcome)

    def probed(
        self,
        target_id: ids.TargetId,
        good: bool,
        latency_ms: float | None,
    ) -> None:
        """Note a probe's result; a good one never clears a bad target."""
        one = self._engine.listed.get(target_id)
        if one is not None:
            now_s = self._clock.monotonic_s()
            self._engine.intake.probed(one, good, latency_ms, now_s)

    def mark_leaving(
        self,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Note that an incarnation is leaving; return True when it is news.

        The mark stays for good: nothing selects this incarnation again.
        """
        parts = self._engine
        notice = evidence.LeavingNotice(target_id, incarnation)
        if not parts.listed.mark_leaving(notice):
            return False
        one = parts.listed.get(target_id)
        if one is not None and one.identity.incarnation == incarnation:
            parts.verdicts.leave(one)
            parts.enforce()
        return True

    def tick(self) -> None:
        """Judge all targets by what came in since the last tick."""
        self._engine.judge()

    def standing(self, target_id: ids.TargetId) -> targets.Standing:
        """Return how a target stands; one that is not listed has left."""
        return self._engine.choices.standings.get(target_id, _NOT_LISTED)

    def selectable(self) -> tuple[ids.TargetId, ...]:
        """Return the targets with a weight above 0, in the list's order."""
        return self._engine.choices.selectable

    def due_probes(self) -> tuple[ids.TargetId, ...]:
        """Return the targets to probe now; each is handed out once."""
        return self._probes.due(self._clock.monotonic_s())

    def report_due(self) -> bool:
        """Return whether a report should go out: soon under suspicion."""
        return self._engine.reports.is_due(self._clock.monotonic_s())

    def report(self) -> evidence.EvidenceReport:
        """Return all that the group should know, as the newest report."""
        now_s = self._clock.monotonic_s()
        return self._engine.reports.make(now_s, self._engine.doubts)

    def receive_report(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> None:
        """Merge a peer's report; an old or repeated one changes nothing."""
        for notice in report.leaving:
            self.mark_leaving(notice.target_id, notice.incarnation)
        self._engine.receive_report(observer, report)

    def forget(self, observer: ids.InstanceId) -> None:
        """Drop what an observer said; it died or left the group."""
        self._engine.peers.forget(observer)

    def status(self) -> tuple[targets.TargetStatus, ...]:
        """Return one line a target for operators."""
        now_s = self._clock.monotonic_s()
        options = self._engine.options
        return tuple(
            reporting.status(
                one,
                weights.weight(one, options, now_s),
                now_s,
            )
            for one in self._engine.listed
        )
