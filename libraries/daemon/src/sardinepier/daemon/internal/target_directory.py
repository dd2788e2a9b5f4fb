"""The current incarnation of each target, as far as known."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages

_MAX_REPLACED: Final = 4

Incarnations = Mapping[ids.TargetId, ids.TargetIncarnation]


class TargetDirectory:
    """The current incarnations of targets; a replaced one never returns.

    The instance list lags, and two watchers may read it in different states.
    Incarnations have no order, so the directory remembers the replaced ones
    and ignores them: an old list could otherwise restore one of them.
    """

    def __init__(self) -> None:
        """Start without incarnations."""
        self._current: dict[
            ids.ServiceName,
            dict[ids.TargetId, ids.TargetIncarnation],
        ] = collections.defaultdict(dict)
        self._replaced: dict[
            tuple[ids.ServiceName, ids.TargetId],
            collections.deque[ids.TargetIncarnation],
        ] = {}

    def of_service(self, service: ids.ServiceName) -> Incarnations:
        """Return the current incarnations of a service's targets."""
        return self._current.get(service, {})

    def learn(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Record an incarnation; return whether the directory changed."""
        known = self._current[service].get(target_id)
        if known == incarnation or not incarnation:
            return False
        target_key = (service, target_id)
        if incarnation in self._replaced.get(target_key, ()):
            return False
        if known is not None:
            self._replaced.setdefault(
                target_key,
                collections.deque(maxlen=_MAX_REPLACED),
            ).append(known)
        self._current[service][target_id] = incarnation
        return True

    def learn_if_unknown(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Record an incarnation from a peer if none of the target is known yet.

        A peer that lags behind the list must not undo a replacement.
        """
        if target_id in self.of_service(service):
            return False
        return self.learn(service, target_id, incarnation)

    def retain(self, services: Iterable[ids.ServiceName]) -> None:
        """Drop all services but ``services``."""
        retained = frozenset(services)
        for service in self._current.keys() - retained:
            self._current.pop(service)
        for target_key in tuple(self._replaced):
            if target_key[0] not in retained:
                self._replaced.pop(target_key)


def changes(
    before: Iterable[group_messages.TargetNotice],
    after: Iterable[group_messages.TargetNotice],
) -> tuple[group_messages.TargetNotice, ...]:
    """Return the notices of ``after`` that were not in ``before``."""
    known = frozenset(before)
    return tuple(notice for notice in after if notice not in known)
