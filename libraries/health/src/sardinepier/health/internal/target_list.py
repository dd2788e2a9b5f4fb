"""The listed targets, and the incarnations that announced they are leaving."""

from collections.abc import Iterable, Iterator
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import tracked_target

_MAX_MARKS: Final = 1024
_MAX_REPORTED_MARKS: Final = 256


class TargetList:
    """The tracked targets, and leaving marks that outlive them."""

    def __init__(self, options: health_options.HealthOptions) -> None:
        """Start without targets."""
        self.options = options
        self._tracked: dict[ids.TargetId, tracked_target.TrackedTarget] = {}
        self._leaving: dict[evidence.LeavingNotice, None] = {}
        self._had_targets = False

    def __iter__(self) -> Iterator[tracked_target.TrackedTarget]:
        """Iterate over all tracked targets."""
        return iter(self._tracked.values())

    def get(
        self, target_id: ids.TargetId
    ) -> tracked_target.TrackedTarget | None:
        """Return the tracked target, or None if it is not listed."""
        return self._tracked.get(target_id)

    def all(self) -> list[tracked_target.TrackedTarget]:
        """Return all tracked targets."""
        return list(self._tracked.values())

    def replace(
        self,
        identities: Iterable[targets.TargetIdentity],
        now_s: float,
    ) -> None:
        """Apply a new list; a new incarnation starts cold.

        Targets of the first list are not cold: the daemon is new, not the
        targets. A target whose incarnation was unknown until now is not cold
        either, unless it announced that it is leaving: then a new
        incarnation may have replaced it.
        """
        before = self._tracked
        self._tracked = {}
        for identity in identities:
            previous = before.get(identity.target_id)
            if previous is not None and self._is_same(previous, identity):
                previous.identity = identity
                self._tracked[identity.target_id] = previous
            else:
                self._tracked[identity.target_id] = self._new(identity, now_s)
        self._had_targets = self._had_targets or bool(self._tracked)

    def mark_leaving(self, notice: evidence.LeavingNotice) -> bool:
        """Store a leaving mark; return whether it is new."""
        if notice in self._leaving:
            return False
        self._leaving[notice] = None
        if len(self._leaving) > _MAX_MARKS:
            self._drop_oldest_unlisted()
        return True

    def is_leaving(self, target: tracked_target.TrackedTarget) -> bool:
        """Return whether this incarnation announced that it is leaving."""
        return _notice(target) in self._leaving

    def leaving_notices(self) -> tuple[evidence.LeavingNotice, ...]:
        """Return the marks to report: of listed targets, and the newest."""
        listed = [_notice(target) for target in self if self.is_leaving(target)]
        newest = list(self._leaving)[-_MAX_REPORTED_MARKS:]
        return tuple(dict.fromkeys([*listed, *newest]))

    def _is_same(
        self,
        previous: tracked_target.TrackedTarget,
        identity: targets.TargetIdentity,
    ) -> bool:
        before = previous.identity.incarnation
        if before == identity.incarnation:
            return True
        return not before and not self.is_leaving(previous)

    def _new(
        self,
        identity: targets.TargetIdentity,
        now_s: float,
    ) -> tracked_target.TrackedTarget:
        target = tracked_target.TrackedTarget(identity)
        if self._had_targets:
            target.state = targets.TargetState.COLD
            target.reason = targets.Reason.NEW_INCARNATION
            target.cold_until_s = now_s + self.options.cold_start_s
        return target

    def _drop_oldest_unlisted(self) -> None:
        listed = {_notice(target) for target in self}
        for notice in self._leaving:
            if notice not in listed:
                self._leaving.pop(notice)
                return


def _notice(target: tracked_target.TrackedTarget) -> evidence.LeavingNotice:
    return evidence.LeavingNotice(
        target.identity.target_id,
        target.identity.incarnation,
    )
