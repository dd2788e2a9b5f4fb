"""Holding back the requests that crash each target that runs them.

A connection that is lost without an answer may mean that the request crashed
the target, or that the target went down for a reason of its own while the
request happened to be there. One loss tells nothing. A request is held back
after it was lost on two different targets, provided that these were fine
otherwise, that the same request had no good answer of late, and that not
many other targets were lost meanwhile, which would be an outage.

After a loss the same request is let through one at a time, so that resends
in parallel can't take down a target each.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors, marks
from sardinepier.once.internal import lost_targets, recent_answers

_LONGEST_FACTOR: Final = 16
_TARGETS_A_MARK: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """When a request is held back, and for how long.

    ``hold_s`` doubles with each crash after the second, up to 16 times.
    ``outage_targets`` is how many other targets may be lost within
    ``mark_s`` before losses are taken for an outage.
    """

    mark_s: float = 60.0
    hold_s: float = 15.0
    trial_s: float = 10.0
    targets_to_hold: int = 2
    outage_targets: int = 2
    capacity: int = 1024
    good_capacity: int = 4096
    reported_marks: int = 64


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """What is known of one fingerprint; every time here is a deadline."""

    own: dict[ids.TargetId, float] = dataclasses.field(default_factory=dict)
    heard: dict[ids.TargetId, float] = dataclasses.field(default_factory=dict)
    held_until_s: float = 0.0
    trial_until_s: float = 0.0
    factor: int = 1
    expires_at_s: float = 0.0

    def targets(self, now_s: float) -> set[ids.TargetId]:
        """Return the targets whose marks still count."""
        return {
            target
            for side in (self.own, self.heard)
            for target, until_s in side.items()
            if until_s > now_s
        }

    def hold_until(self, held_until_s: float) -> None:
        """Hold the request back until then at least."""
        self.held_until_s = max(self.held_until_s, held_until_s)
        self.expires_at_s = max(self.expires_at_s, held_until_s)


class Quarantine:
    """Decides by fingerprint whether a request may go to a target.

    A fingerprint is a hash of the service, the method, the path and the body.
    ``on_marked`` is called with each new mark, before the caller hears that
    its request was lost: it may send it again elsewhere within milliseconds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        options: QuarantineOptions | None = None,
    ) -> None:
        """Start without marks."""
        self.on_marked: Callable[[], None] = _tell_nobody
        self._clock = clock
        self._options = options or QuarantineOptions()
        self._entries: dict[int, _Entry] = {}
        self._lost_targets = lost_targets.LostTargets(self._options.capacity)
        self._good = recent_answers.RecentAnswers(
            clock,
            self._options.mark_s,
            self._options.good_capacity,
        )

    def admit(self, fingerprint: int) -> None:
        """Let a request go to a target, or raise ``QuarantinedError``.

        Whoever was let through reports ``answered``, ``crashed`` or
        ``released``. Requests without marks cost one look-up.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        now_s = self._clock.monotonic_s()
        if now_s >= entry.expires_at_s:
            del self._entries[fingerprint]
            return
        wait_s = max(entry.held_until_s, entry.trial_until_s) - now_s
        if wait_s > 0:
            raise _held_back(wait_s)
        entry.trial_until_s = now_s + self._options.trial_s

    def raise_if_quarantined(self, fingerprint: int) -> None:
        """Raise ``QuarantinedError`` if the request is held back by now.

        Marks may come while a request that was let through waits for a slot
        or a connection. Ask right before its first byte is sent.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        wait_s = entry.held_until_s - self._clock.monotonic_s()
        if wait_s > 0:
            raise _held_back(wait_s)

    def answered(
        self,
        fingerprint: int,
        target_id: ids.TargetId | None = None,
    ) -> None:
        """Note that a target answered the request, which clears it.

        The target is back, if it was lost before: an outage keeps it away.
        """
        if target_id is not None:
            self._lost_targets.answered(target_id)
        if self._entries:
            self._entries.pop(fingerprint, None)
        self._good.note(fingerprint)

    def crashed_targets(self, fingerprint: int) -> frozenset[ids.TargetId]:
        """Return the targets on which the request was lost of late."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return frozenset()
        return frozenset(entry.targets(self._clock.monotonic_s()))

    def has_suspect_request_on(self, target_id: ids.TargetId) -> bool:
        """Tell whether a request under suspicion was lost on the target.

        That request may be why the target went down. A loss that follows
        then doesn't show that the target keeps going down by itself. A good
        answer to the request ends the suspicion.
        """
        now_s = self._clock.monotonic_s()
        return any(
            known.get(target_id, 0) > now_s
            for entry in self._entries.values()
            for known in (entry.own, entry.heard)
        )

    def released(self, fingerprint: int) -> None:
        """Note that the request ended without having run."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.trial_until_s = 0.0

    def crashed(
        self,
        fingerprint: int,
        target_id: ids.TargetId,
        target_healthy_otherwise: bool,
    ) -> bool:
        """Note a connection lost without an answer; True if now held back.

        ``target_healthy_otherwise`` says that the target answered other
        requests well up to this moment.
        """
        now_s = self._clock.monotonic_s()
        until_s = now_s + self._options.mark_s
        self._lost_targets.note(target_id, now_s, until_s)
        if not target_healthy_otherwise or self._good.has(fingerprint):
            self.released(fingerprint)
            return False
        entry = self._entry(fingerprint, now_s)
        entry.own[target_id] = until_s
        entry.trial_until_s = 0.0
        entry.expires_at_s = max(entry.expires_at_s, until_s)
        is_held = self._judge(fingerprint, entry, now_s)
        self.on_marked()
        return is_held

    def report(self) -> marks.QuarantineReport:
        """Return this daemon's own newest marks, for its group.

        Marks heard from others are not passed on: they would come back and
        never run out.
        """
        now_s = self._clock.monotonic_s()
        newest = [
            marks.CrashMark(
                fingerprint,
                tuple(own)[-_TARGETS_A_MARK:],
                max(own.values()) - now_s,
                max(0.0, entry.held_until_s - now_s),
            )
            for fingerprint, entry in self._entries.items()
            if (own := lost_targets.counting(entry.own, now_s))
        ]
        newest.sort(key=lambda mark: -mark.remaining_s)
        return marks.QuarantineReport(
            tuple(newest[: self._options.reported_marks]),
        )

    def receive_report(
        self,
        observer: ids.InstanceId,
        report: marks.QuarantineReport,
    ) -> None:
        """Take in the marks of another daemon, which may come repeatedly."""
        now_s = self._clock.monotonic_s()
        for mark in report.marks[: self._options.reported_marks]:
            if mark.remaining_s > 0:
                self._take(mark, now_s)

    def quarantined(self) -> tuple[marks.CrashMark, ...]:
        """Return what is held back now, with the targets that were lost.

        ``remaining_s`` says for how long.
        """
        now_s = self._clock.monotonic_s()
        return tuple(
            marks.CrashMark(
                fingerprint,
                tuple(sorted(entry.targets(now_s))),
                entry.held_until_s - now_s,
            )
            for fingerprint, entry in self._entries.items()
            if entry.held_until_s > now_s
        )

    def _take(self, mark: marks.CrashMark, now_s: float) -> None:
        if self._good.has(mark.fingerprint):
            return
        entry = self._entry(mark.fingerprint, now_s)
        until_s = now_s + min(mark.remaining_s, self._options.mark_s)
        known = entry.targets(now_s)
        entry.heard = lost_targets.counting(entry.heard, now_s)
        for target in mark.targets[:_TARGETS_A_MARK]:
            entry.heard[target] = max(until_s, entry.heard.get(target, 0))
        entry.expires_at_s = max(entry.expires_at_s, until_s)
        if entry.targets(now_s) - known:
            self._judge(mark.fingerprint, entry, now_s)
        # What looks like an outage from here may not look so from there.
        longest_s = self._options.hold_s * _LONGEST_FACTOR
        entry.hold_until(now_s + min(mark.held_s, longest_s))

    def _judge(self, fingerprint: int, entry: _Entry, now_s: float) -> bool:
        targets = entry.targets(now_s)
        if len(targets) < self._options.targets_to_hold:
            return False
        if self._is_outage(targets, now_s):
            return False
        entry.held_until_s = now_s + self._options.hold_s * entry.factor
        entry.factor = min(2 * entry.factor, _LONGEST_FACTOR)
        entry.expires_at_s = max(
            entry.expires_at_s,
            entry.held_until_s + self._options.mark_s,
        )
        return True

    def _is_outage(self, own: set[ids.TargetId], now_s: float) -> bool:
        known = own | _accounted_for(self._entries.values(), now_s)
        others = self._lost_targets.count_beside(known, now_s)
        return others > self._options.outage_targets

    def _entry(self, fingerprint: int, now_s: float) -> _Entry:
        entry = self._entries.get(fingerprint)
        if entry is None or now_s >= entry.expires_at_s:
            if len(self._entries) >= self._options.capacity:
                self._make_room(now_s)
            entry = _Entry()
            self._entries[fingerprint] = entry
        return entry

    def _make_room(self, now_s: float) -> None:
        """Drop the entry that matters least: not held, soonest to expire."""
        least = min(
            self._entries.items(),
            key=lambda pair: (
                pair[1].held_until_s > now_s,
                pair[1].expires_at_s,
            ),
        )
        del self._entries[least[0]]


def _held_back(wait_s: float) -> errors.QuarantinedError:
    return errors.QuarantinedError(
        'This request was lost on targets that were fine otherwise, so it is '
        'held back',
        'Send it again after the stated time, or change it if it is at fault',
        wait_s,
    )


def _accounted_for(
    entries: Iterable[_Entry],
    now_s: float,
) -> set[ids.TargetId]:
    """Return the targets lost to requests that are held back."""
    found: set[ids.TargetId] = set()
    for entry in entries:
        if entry.held_until_s > now_s:
            found |= entry.targets(now_s)
    return found


def _tell_nobody() -> None:
    """Stand in for ``on_marked`` while nobody listens."""
