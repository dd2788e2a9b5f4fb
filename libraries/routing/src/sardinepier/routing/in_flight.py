"""Slots of one service's targets: own requests, peers' counts, back-off.

Several daemons send requests to the same few slots, so none may use them all
on its own. Each slot is the home slot of one daemon in the group, which uses
it without coordination. A daemon borrows the slots of others if the counts
last reported by the group leave one free. Reports are outdated when they
arrive, so a target may still get more requests than it has slots and shed
some. After a shed reply the daemon backs off from the target for a short time,
and a small budget of shed replies limits borrowing.
"""

import dataclasses
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.routing import budget, choice, errors
from sardinepier.routing.internal import (
    back_off,
    checks,
    home_slots,
    peer_counts,
    records,
)

_SHEDS_FLOOR: Final = 2
_SPARE_SLOTS: Final = 1
"""Free slots of a target that are not borrowed, so that their owners find one."""

_UNNAMED: Final = ids.InstanceId('')
_NO_TARGETS: Final[frozenset[ids.TargetId]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCapacity:
    """A target and the number of requests that it runs at a time."""

    target_id: ids.TargetId
    zone: ids.ZoneName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotOptions:
    """Options for the weight of reports, back-off and borrowing.

    A peer's report has full weight for ``fresh_s``; its weight then falls to 0
    at ``stale_s``. Without a report the peer counts as using its home slots,
    so that a daemon that receives no reports uses only its own. After a shed
    reply a target gets no requests for about ``back_off_s``, doubled with each
    further one up to ``back_off_limit_s``. Slots are borrowed while shed
    replies stay below ``borrowing_sheds_percent`` of the requests of the last
    ``borrowing_window_s``.
    """

    fresh_s: float = 0.5
    stale_s: float = 1.5
    back_off_s: float = 0.02
    back_off_limit_s: float = 0.5
    borrowing_sheds_percent: float = 3.0
    borrowing_window_s: float = 5.0

    def check(self) -> None:
        """Raise ``RoutingOptionError`` if an option is out of range."""
        checks.positive('fresh_s', self.fresh_s)
        checks.positive('stale_s - fresh_s', self.stale_s - self.fresh_s)
        checks.positive('back_off_s', self.back_off_s)
        checks.positive('back_off_limit_s', self.back_off_limit_s)
        checks.percentage(
            'borrowing_sheds_percent',
            self.borrowing_sheds_percent,
        )
        checks.positive('borrowing_window_s', self.borrowing_window_s)


class TargetSlots:
    """The slots of one service as one daemon knows them.

    The cost of a reservation does not depend on the number of targets: the
    free ones are kept in a list that is updated with each event.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        random_source: random.Random,
        options: SlotOptions | None = None,
    ) -> None:
        """Start without targets and without peers."""
        slot_options = options or SlotOptions()
        slot_options.check()
        self._clock = local_clock
        self._records = records.Records()
        self._peers = peer_counts.PeerCounts(
            slot_options.fresh_s, slot_options.stale_s
        )
        self._back_off = back_off.BackOff(
            random_source,
            slot_options.back_off_s,
            slot_options.back_off_limit_s,
        )
        self._borrowing = budget.RetryBudget(
            local_clock,
            slot_options.borrowing_sheds_percent,
            floor=_SHEDS_FLOOR,
            window_s=slot_options.borrowing_window_s,
        )
        self._own: ids.InstanceId | None = None
        self._are_home_slots_current = False

    def set_targets(self, targets: Iterable[TargetCapacity]) -> None:
        """Replace the targets of the service.

        New targets have weight 0 until :meth:`set_weight`. Removed targets get
        no new requests; their requests in flight are still released by
        :meth:`release`.
        """
        candidates: list[choice.Candidate] = []
        for target in targets:
            checks.positive('slots', target.slots)
            candidates.append(
                choice.Candidate(
                    target.target_id,
                    target.zone,
                    0,
                    target.slots,
                    peers_in_flight=self._peers.count(target.target_id),
                ),
            )
        self._records.replace(candidates)
        self._are_home_slots_current = False
        for record in self._records:
            self._update(record)

    def set_weight(self, target_id: ids.TargetId, weight: float) -> None:
        """Set the part of its full load that a target may get, 0 to 1.

        Unknown targets are ignored, since the health component may already
        use a newer configuration.
        """
        record = self._records.find(target_id)
        if record is not None:
            if self._records.set_weight(record, weight):
                self._are_home_slots_current = False
            self._update(record)

    def set_group(
        self,
        peers: Collection[ids.InstanceId],
        own: ids.InstanceId | None = None,
    ) -> None:
        """Set which other daemons send requests to these targets.

        A daemon that has not reported yet counts as using its home slots.
        Without the name of the ``own`` daemon, this daemon has no home slots
        and uses all slots by the counts alone, which causes many more shed
        replies.
        """
        self._own = own
        self._peers.set_homes(peers, {})
        self._are_home_slots_current = False

    def receive_report(
        self,
        observer: ids.InstanceId,
        counts: Mapping[ids.TargetId, int],
    ) -> None:
        """Apply the current counts of a group member; ignore other daemons."""
        self._peers.receive_report(observer, counts, self._clock.monotonic_s())
        self._refresh_peers()

    def report(self) -> dict[ids.TargetId, int]:
        """Return this daemon's own counts, without zeros, for its group."""
        return {
            record.target_id: record.in_flight
            for record in self._records
            if record.in_flight
        }

    def reserve(
        self,
        chooser: choice.TargetChooser,
        refused: Collection[ids.TargetId] = _NO_TARGETS,
    ) -> ids.TargetId | None:
        """Reserve a slot at a target selected by ``chooser``.

        Targets in ``refused`` are excluded, for example those that the request
        has already tried. Returns ``None`` if no slot is free.
        """
        chosen = chooser.choose(self.candidates(refused))
        record = None if chosen is None else self._records.find(chosen)
        if record is None:
            return None
        record.in_flight += 1
        self._borrowing.record_request()
        self._update(record)
        return record.target_id

    def release(self, target_id: ids.TargetId) -> None:
        """Release a slot that was reserved at ``target_id``."""
        record = self._records.find(target_id)
        if record is None or not record.in_flight:
            raise errors.NotReservedError(
                f'No slot of target {target_id} is reserved',
                'Release each reserved slot once',
            )
        record.in_flight -= 1
        self._update(record)
        self._records.drop_if_removed(record)

    def answered(self, target_id: ids.TargetId) -> None:
        """Record that the target accepted a request; reset its back-off."""
        self._back_off.clear(target_id)

    def shed(self, target_id: ids.TargetId) -> None:
        """Record that the target shed a request, and back off from it."""
        self._back_off.start(target_id, self._clock.monotonic_s())
        self._borrowing.try_spend()
        self._records.hide(target_id)

    def candidates(
        self,
        refused: Collection[ids.TargetId] = _NO_TARGETS,
    ) -> Sequence[choice.Candidate]:
        """Return the targets with a free slot, except those in ``refused``."""
        self._apply_elapsed_time()
        own = self._records.with_home_slot.members
        if refused:
            own = [record for record in own if record.target_id not in refused]
        if own:
            return own
        if self._own is not None and not self._borrowing.can_spend():
            return ()
        shared = self._records.with_shared_slot.members
        if refused:
            shared = [
                record for record in shared if record.target_id not in refused
            ]
        return shared

    def find(self, target_id: ids.TargetId) -> choice.Candidate | None:
        """Return the live record of a target, whether or not it is free."""
        return self._records.find(target_id)

    def _update(self, record: choice.Candidate) -> None:
        if self._back_off.is_active(record.target_id):
            self._records.hide(record.target_id)
        else:
            self._records.show(record)

    def _assign_home_slots(self) -> None:
        """Compute the home slots.

        This is done when they are next needed, so that many changes in a row
        cost only one computation.
        """
        self._are_home_slots_current = True
        daemons = (*self._peers.names, self._own or _UNNAMED)
        homes = home_slots.assign(self._records.in_service(), daemons)
        self._peers.set_homes(tuple(self._peers.names), homes)
        self._peers.changed()
        own = {} if self._own is None else homes[self._own]
        spare = _SPARE_SLOTS if own and self._peers.names else 0
        for record in self._records:
            record.home_slots = own.get(record.target_id, 0)
            record.spare_slots = spare
            record.peers_in_flight = self._peers.count(record.target_id)
            self._update(record)

    def _apply_elapsed_time(self) -> None:
        if not self._are_home_slots_current:
            self._assign_home_slots()
        now_s = self._clock.monotonic_s()
        for target_id in self._back_off.ended(now_s):
            record = self._records.find(target_id)
            if record is not None:
                self._update(record)
        if self._peers.update_weights(now_s):
            self._refresh_peers()

    def _refresh_peers(self) -> None:
        for target_id in self._peers.changed():
            record = self._records.find(target_id)
            if record is not None:
                record.peers_in_flight = self._peers.count(target_id)
                self._update(record)
