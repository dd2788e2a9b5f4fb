"""Selects what the daemons of one zone are told of this daemon's requests.

The own zone is told of all of them. Bytes to another zone are expensive, so that
it is only told what it can use: the requests in flight at its own targets, and
those at other targets of a service that is so busy that the other zone may come
to send there, too.
"""

from collections.abc import Mapping
from typing import Final, TypeVar

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.zones import messages, own_use, slot_packing

_FULL_INTERVAL_S: Final = 0.7
"""Minimum interval of full reports, just below that of three heartbeats.
Receivers that missed a report wait for the next full one, which has to come
before the earlier counts expire."""

_CONFIRM_INTERVAL_S: Final = 0.45
"""Time after which counts are confirmed that did not change, just before they
start to lose their weight
(:class:`sardinepier.entry.use_elsewhere.PeerReport`)."""

_KeyT = TypeVar('_KeyT')


class SlotUpdates:
    """The reports of this daemon to the daemons of one zone."""

    def __init__(
        self,
        clock: clocks.Clock,
        own_zone: ids.ZoneName,
        zone: ids.ZoneName,
    ) -> None:
        """Report to daemons of ``zone``; start with a full report."""
        self._clock = clock
        self._own_zone = own_zone
        self._zone = zone
        self._receivers: frozenset[ids.InstanceId] = frozenset()
        self._sent_in_flight: Mapping[int, int] = {}
        self._sent_waiting: Mapping[tuple[int, int], int] = {}
        self._sequence = 0
        self._digest = 0
        self._full_due_s = clock.monotonic_s()
        self._confirm_due_s = clock.monotonic_s()

    def collect(
        self,
        receivers: frozenset[ids.InstanceId],
        use: own_use.OwnUse,
        digest: int,
    ) -> messages.SlotUse | None:
        """Return the report that is due to all ``receivers``, if any.

        ``digest`` is that of the target list. None is due while nothing is in
        flight and nothing waits, once the receivers were told so.
        """
        in_flight = {
            target.place: target.count
            for target in use.targets
            if self._is_reported(target, use)
        }
        if not (
            in_flight
            or use.waiting
            or self._sent_in_flight
            or self._sent_waiting
        ):
            return None
        is_full = self._begin_full(receivers, digest)
        changed_in_flight = _changes(self._sent_in_flight, in_flight)
        changed_waiting = _changes(self._sent_waiting, use.waiting)
        self._sent_in_flight = in_flight
        self._sent_waiting = use.waiting
        now_s = self._clock.monotonic_s()
        is_new = is_full or changed_in_flight or changed_waiting
        if not is_new and now_s < self._confirm_due_s:
            return None
        self._confirm_due_s = now_s + _CONFIRM_INTERVAL_S
        self._sequence = (self._sequence + 1) % messages.SEQUENCE_NUMBERS
        return messages.SlotUse(
            digest,
            self._sequence,
            is_full,
            slot_packing.pack(changed_in_flight),
            tuple(
                messages.WaitingCount(service, priority, count)
                for (service, priority), count in changed_waiting.items()
            ),
        )

    def _is_reported(
        self,
        target: own_use.TargetUse,
        use: own_use.OwnUse,
    ) -> bool:
        if self._zone in {self._own_zone, target.zone}:
            return True
        return target.service in use.busy

    def _begin_full(
        self,
        receivers: frozenset[ids.InstanceId],
        digest: int,
    ) -> bool:
        """Return whether the next report is a full one."""
        now_s = self._clock.monotonic_s()
        is_full = (
            now_s >= self._full_due_s
            or self._digest != digest
            or not receivers <= self._receivers
        )
        self._receivers = receivers
        if is_full:
            self._sent_in_flight = {}
            self._sent_waiting = {}
            self._digest = digest
            self._full_due_s = now_s + _FULL_INTERVAL_S
        return is_full


def _changes(
    sent: Mapping[_KeyT, int],
    current: Mapping[_KeyT, int],
) -> dict[_KeyT, int]:
    changed = {
        key: count for key, count in current.items() if sent.get(key) != count
    }
    changed.update((key, 0) for key in sent if key not in current)
    return changed
