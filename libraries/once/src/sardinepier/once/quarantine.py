"""Quarantine of requests that crash the targets that run them.

A connection that is lost without an answer may mean that the request crashed
the target, or that the target failed for another reason while it ran the
request. A single loss does not distinguish these. A request is quarantined
after it was lost on two different targets, provided that both were otherwise
healthy, that the same request got no good answer recently, and that few other
targets were lost since the service last answered, since many losses without an
answer between them mean an outage.

After its first loss a request is admitted only once at a time, so that
parallel resends can't each crash a target.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors, losses, marks
from sardinepier.once.internal import entries, lost_targets, recent_answers

_MAX_TARGETS_PER_MARK: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """When a request is quarantined, and for how long.

    A mark expires after ``mark_lifetime_s``. A request is quarantined for
    ``quarantine_s`` once ``min_crashed_targets`` have a mark of it. That time
    doubles with each further crash, up to 16 times. It is not quarantined
    while more than ``max_other_losses`` other targets of the service were lost
    since its last good answer, which is taken for an outage. A request with a
    mark may be tried again after ``trial_timeout_s`` without an outcome.
    """

    mark_lifetime_s: float = 60.0
    quarantine_s: float = 15.0
    trial_timeout_s: float = 10.0
    min_crashed_targets: int = 2
    max_other_losses: int = 2
    capacity: int = 1024
    answered_capacity: int = 4096
    max_reported_marks: int = 64


class Quarantine:
    """Decides by fingerprint whether a request may be sent to a target.

    A fingerprint is a hash of the service, the method, the path and the body.
    ``on_marked`` is called for each new mark, before the caller gets the error
    for its request: it may resend it to another daemon within milliseconds.
    ``trial_delay_s`` is how long after a quarantine a request is tried again
    here, so that daemons do not all try it at once.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        options: QuarantineOptions | None = None,
    ) -> None:
        """Start without marks."""
        self.on_marked: Callable[[], None] = _ignore_mark
        self.trial_delay_s = 0.0
        self._clock = clock
        self._options = options or QuarantineOptions()
        self._entries = entries.Entries(self._options.capacity)
        self._lost_targets = lost_targets.LostTargets(self._options.capacity)
        self._answered = recent_answers.RecentAnswers(
            clock,
            self._options.mark_lifetime_s,
            self._options.answered_capacity,
        )

    def has_marks(self) -> bool:
        """Return whether any request is suspected."""
        return self._entries.has_unexpired(self._clock.monotonic_s())

    def admit(self, fingerprint: int) -> None:
        """Admit a request, or raise ``QuarantinedError``.

        For an admitted request the caller must call ``answered``, ``crashed``
        or ``released``. A request without marks costs a single look-up.
        """
        now_s = self._clock.monotonic_s()
        entry = self._entries.find(fingerprint, now_s)
        if entry is None:
            return
        trial_s = entry.quarantined_until_s + self.trial_delay_s
        wait_s = max(trial_s, entry.trial_until_s) - now_s
        if wait_s > 0:
            raise _quarantined_error(wait_s)
        entry.trial_until_s = now_s + self._options.trial_timeout_s

    def raise_if_quarantined(self, fingerprint: int) -> None:
        """Raise ``QuarantinedError`` if the request is quarantined by now.

        Marks may arrive while an admitted request waits for a slot or a
        connection. Call this right before its first byte is sent.
        """
        now_s = self._clock.monotonic_s()
        entry = self._entries.find(fingerprint, now_s)
        if entry is None:
            return
        wait_s = entry.quarantined_until_s - now_s
        if wait_s > 0:
            raise _quarantined_error(wait_s)

    def answered(
        self,
        fingerprint: int,
        service: ids.ServiceName,
    ) -> None:
        """Record a good answer to the request and drop its marks.

        The losses of other targets of the service were no outage then.
        """
        self._lost_targets.answered(service)
        self._entries.remove(fingerprint)
        self._answered.record(fingerprint)

    def crashed_targets(self, fingerprint: int) -> frozenset[ids.TargetId]:
        """Return the targets on which the request was recently lost."""
        now_s = self._clock.monotonic_s()
        entry = self._entries.find(fingerprint, now_s)
        return frozenset(entry.targets(now_s) if entry else ())

    def has_suspect_request_on(
        self, target_id: ids.TargetId, *, must_be_proved: bool = False
    ) -> bool:
        """Return whether a suspected request was lost on the target.

        That request may have crashed the target. A further loss then does not
        show that the target fails repeatedly by itself. A good answer to the
        request ends the suspicion. If it ``must_be_proved``, only requests
        with as many marks as a quarantine needs count.
        """
        now_s = self._clock.monotonic_s()
        min_targets = self._options.min_crashed_targets if must_be_proved else 1
        suspects = (entry.targets(now_s) for _, entry in self._entries)
        return any(
            target_id in targets and len(targets) >= min_targets
            for targets in suspects
        )

    def released(self, fingerprint: int) -> None:
        """Record that an admitted request ended without having run."""
        entry = self._entries.find(fingerprint, self._clock.monotonic_s())
        if entry is not None:
            entry.trial_until_s = 0.0

    def crashed(
        self,
        fingerprint: int,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        target_healthy_otherwise: bool,
    ) -> losses.Loss:
        """Record a connection lost without an answer to the request.

        ``target_healthy_otherwise`` means that the target gave good answers
        to other requests until now.
        """
        now_s = self._clock.monotonic_s()
        until_s = now_s + self._options.mark_lifetime_s
        self._lost_targets.record(service, target_id, until_s)
        if not target_healthy_otherwise:
            self.released(fingerprint)
            return losses.Loss(losses.LossVerdict.TARGET_SUSPECTED)
        if self._answered.has(fingerprint):
            self.released(fingerprint)
            return losses.Loss(losses.LossVerdict.ANSWERED_BEFORE)
        entry = self._entries.find_or_add(fingerprint, now_s)
        entry.service = service
        entry.own[target_id] = until_s
        entry.marked_s = now_s
        entry.trial_until_s = 0.0
        entry.expires_at_s = max(entry.expires_at_s, until_s)
        loss = self._quarantine(entry, now_s)
        self.on_marked()
        return loss

    def report(self, max_age_s: float = math.inf) -> marks.QuarantineReport:
        """Return this daemon's own newest marks, for its group.

        Left out are requests without a mark in the last ``max_age_s``. Marks
        from other daemons are not forwarded: daemons would send them back and
        forth, and they would never expire.
        """
        now_s = self._clock.monotonic_s()
        newest = [
            _mark_of(fingerprint, entry, own, now_s)
            for fingerprint, entry in self._entries
            if (own := entries.unexpired(entry.own, now_s))
            and entry.marked_s >= now_s - max_age_s
        ]
        return _newest(newest, self._options.max_reported_marks)

    def quarantine_report(self) -> marks.QuarantineReport:
        """Return the quarantined requests with the marks of all daemons."""
        now_s = self._clock.monotonic_s()
        quarantined = [
            _mark_of(fingerprint, entry, known, now_s)
            for fingerprint, entry in self._entries
            if entry.quarantined_until_s > now_s
            and (known := entry.deadlines(now_s))
        ]
        return _newest(quarantined, self._options.max_reported_marks)

    def receive_report(
        self,
        observer: ids.InstanceId,
        report: marks.QuarantineReport,
    ) -> None:
        """Apply the marks of another daemon, which may arrive repeatedly."""
        now_s = self._clock.monotonic_s()
        for mark in report.marks[: self._options.max_reported_marks]:
            if mark.remaining_s > 0:
                self._apply(mark, now_s)

    def quarantined(self) -> tuple[marks.CrashMark, ...]:
        """Return the quarantined requests with the targets they were lost on.

        Their ``remaining_s`` is the remaining time of the quarantine.
        """
        now_s = self._clock.monotonic_s()
        return tuple(
            marks.CrashMark(
                fingerprint,
                tuple(sorted(entry.targets(now_s))),
                entry.quarantined_until_s - now_s,
            )
            for fingerprint, entry in self._entries
            if entry.quarantined_until_s > now_s
        )

    def _apply(self, mark: marks.CrashMark, now_s: float) -> None:
        if self._answered.has(mark.fingerprint):
            return
        entry = self._entries.find_or_add(mark.fingerprint, now_s)
        entry.service = entry.service or mark.service
        until_s = now_s + min(mark.remaining_s, self._options.mark_lifetime_s)
        known_targets = entry.targets(now_s)
        entry.reported = entries.unexpired(entry.reported, now_s)
        for target in mark.targets[:_MAX_TARGETS_PER_MARK]:
            entry.reported[target] = max(until_s, entry.reported.get(target, 0))
        entry.expires_at_s = max(entry.expires_at_s, until_s)
        if entry.targets(now_s) - known_targets:
            self._quarantine(entry, now_s)
        # This daemon may see an outage where the other daemon does not.
        max_s = self._options.quarantine_s * entries.MAX_FACTOR
        if mark.held_s > 0:
            entry.extend_quarantine(
                now_s,
                now_s + min(mark.held_s, max_s),
                self._options.mark_lifetime_s,
            )

    def _quarantine(self, entry: entries.Entry, now_s: float) -> losses.Loss:
        """Quarantine the request if its marks suffice."""
        targets = entry.targets(now_s)
        other_losses = self._lost_targets.count_except(
            entry.service,
            targets | self._entries.crashed_targets(now_s),
            now_s,
        )
        verdict = losses.LossVerdict.QUARANTINED
        if len(targets) < self._options.min_crashed_targets:
            verdict = losses.LossVerdict.MARKED
        elif other_losses > self._options.max_other_losses:
            verdict = losses.LossVerdict.OUTAGE
        else:
            self._lost_targets.record_quarantine(entry.service)
            entry.begin_quarantine(
                now_s,
                self._options.quarantine_s,
                self._options.mark_lifetime_s,
            )
        return losses.Loss(verdict, len(targets), other_losses)


def _mark_of(
    fingerprint: int,
    entry: entries.Entry,
    deadlines: Mapping[ids.TargetId, float],
    now_s: float,
) -> marks.CrashMark:
    return marks.CrashMark(
        fingerprint,
        tuple(deadlines)[-_MAX_TARGETS_PER_MARK:],
        max(deadlines.values()) - now_s,
        max(0.0, entry.quarantined_until_s - now_s),
        entry.service,
    )


def _newest(known: list[marks.CrashMark], count: int) -> marks.QuarantineReport:
    known.sort(key=lambda mark: -mark.remaining_s)
    return marks.QuarantineReport(tuple(known[:count]))


def _quarantined_error(wait_s: float) -> errors.QuarantinedError:
    return errors.QuarantinedError(
        'This request was lost on targets that were otherwise healthy, so it '
        'is quarantined',
        'Send it again after the stated time, or change it if it is at fault',
        wait_s,
    )


def _ignore_mark() -> None:
    """Do nothing: the default of ``on_marked``."""
