"""Which targets there are, and which incarnations said they are leaving."""

from collections.abc import Iterable, Iterator
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import tracked_target

_UNLISTED_MARKS: Final = 1024
_MARKS_TOLD: Final = 256


class TargetList:
    """The tracked targets and the leaving marks, which outlive them."""

    def __init__(self, options: health_options.HealthOptions) -> None:
        """Start without targets."""
        self.options = options
        self._tracked: dict[ids.TargetId, tracked_target.TrackedTarget] = {}
        self._leaving: dict[evidence.LeavingNotice, None] = {}
        self._was_filled = False

    def __iter__(self) -> Iterator[tracked_target.TrackedTarget]:
        """Iterate over all tracked targets."""
        return iter(self._tracked.values())

    def get(
        self, target_id: ids.TargetId
    ) -> tracked_target.TrackedTarget | None:
        """Return the tracked target, or None when it is not listed."""
        return self._tracked.get(target_id)

    def all(self) -> list[tracked_target.TrackedTarget]:
        """Return all tracked targets."""
        return list(self._tracked.values())

    def replace(
        self,
        identities: Iterable[targets.TargetIdentity],
        now_s: float,
    ) -> None:
        """Take the new list; a new incarnation starts cold.

        Targets of the very first list are not cold: it is this daemon that
        is new, not they. Nor is one whose incarnation was unknown until now,
        unless it said that it is leaving: then another start may have taken
        its place since.
        """
        before = self._tracked
        self._tracked = {}
        for identity in identities:
            known = before.get(identity.target_id)
            if known is not None and self._is_same(known, identity):
                known.identity = identity
                self._tracked[identity.target_id] = known
            else:
                self._tracked[identity.target_id] = self._new(identity, now_s)
        self._was_filled = self._was_filled or bool(self._tracked)

    def mark_leaving(self, notice: evidence.LeavingNotice) -> bool:
        """Keep the mark and apply it; return whether it was new."""
        if notice in self._leaving:
            return False
        self._leaving[notice] = None
        if len(self._leaving) > _UNLISTED_MARKS:
            self._drop_oldest_unlisted()
        return True

    def is_leaving(self, one: tracked_target.TrackedTarget) -> bool:
        """Return whether this incarnation said that it is leaving."""
        return _notice(one) in self._leaving

    def leaving_notices(self) -> tuple[evidence.LeavingNotice, ...]:
        """Return the marks to tell peers: of listed targets, and newest."""
        listed = [_notice(one) for one in self if self.is_leaving(one)]
        newest = list(self._leaving)[-_MARKS_TOLD:]
        return tuple(dict.fromkeys([*listed, *newest]))

    def _is_same(
        self,
        known: tracked_target.TrackedTarget,
        identity: targets.TargetIdentity,
    ) -> bool:
        before = known.identity.incarnation
        if before == identity.incarnation:
            return True
        return not before and not self.is_leaving(known)

    def _new(
        self,
        identity: targets.TargetIdentity,
        now_s: float,
    ) -> tracked_target.TrackedTarget:
        one = tracked_target.TrackedTarget(identity)
        if self._was_filled:
            one.state = targets.TargetState.COLD
            one.reason = targets.Reason.NEW_INCARNATION
            one.cold_until_s = now_s + self.options.cold_start_s
        return one

    def _drop_oldest_unlisted(self) -> None:
        listed = {_notice(one) for one in self}
        for notice in self._leaving:
            if notice not in listed:
                self._leaving.pop(notice)
                return


def _notice(one: tracked_target.TrackedTarget) -> evidence.LeavingNotice:
    return evidence.LeavingNotice(
        one.identity.target_id,
        one.identity.incarnation,
    )
