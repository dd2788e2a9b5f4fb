"""Which start of each target is the present one, as far as heard."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages

_REMEMBERED: Final = 4

Incarnations = Mapping[ids.TargetId, ids.TargetIncarnation]


class TargetDirectory:
    """The incarnations of targets, which only move forward.

    The instance list lags, and two watchers may read it in different states.
    Incarnations have no order, so what was once replaced is remembered and
    not taken again: else an old list could bring back a start that left.
    """

    def __init__(self) -> None:
        """Start without knowing any."""
        self._present: dict[
            ids.ServiceName,
            dict[ids.TargetId, ids.TargetIncarnation],
        ] = collections.defaultdict(dict)
        self._replaced: dict[
            tuple[ids.ServiceName, ids.TargetId],
            collections.deque[ids.TargetIncarnation],
        ] = {}

    def of_service(self, service: ids.ServiceName) -> Incarnations:
        """Return the present incarnations of a service's targets."""
        return self._present.get(service, {})

    def learn(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Take an incarnation; return whether it is news."""
        known = self._present[service].get(target_id)
        if known == incarnation or not incarnation:
            return False
        place = (service, target_id)
        if incarnation in self._replaced.get(place, ()):
            return False
        if known is not None:
            self._replaced.setdefault(
                place,
                collections.deque(maxlen=_REMEMBERED),
            ).append(known)
        self._present[service][target_id] = incarnation
        return True

    def learn_if_unknown(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        incarnation: ids.TargetIncarnation,
    ) -> bool:
        """Take an incarnation from a peer only where none is known yet.

        A peer that lags behind the list must not undo a replacement.
        """
        if target_id in self.of_service(service):
            return False
        return self.learn(service, target_id, incarnation)

    def retain(self, services: Iterable[ids.ServiceName]) -> None:
        """Forget the services that are gone."""
        kept = frozenset(services)
        for service in self._present.keys() - kept:
            self._present.pop(service)
        for place in tuple(self._replaced):
            if place[0] not in kept:
                self._replaced.pop(place)


def changes(
    before: Iterable[group_messages.TargetNotice],
    after: Iterable[group_messages.TargetNotice],
) -> tuple[group_messages.TargetNotice, ...]:
    """Return the notices of ``after`` that were not in ``before``."""
    known = frozenset(before)
    return tuple(notice for notice in after if notice not in known)
