"""Slots of one service's targets: own requests, peers' counts, back-off.

Several daemons send work to the same few slots, and none may believe that it
owns them all. Each slot is the home slot of one daemon in the group, which
uses it without asking. Slots of others are borrowed when the counts which
the group last reported leave one free. A report is old when it arrives, so a
target may still get more than it has slots for and sheds. A shed reply keeps
this daemon away from the target for a moment, and a small budget of shed
replies bounds the borrowing.
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
"""Slots of a target that nobody borrows, so that their owners find one."""

_UNNAMED: Final = ids.InstanceId('')
_NOBODY: Final[frozenset[ids.TargetId]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCapacity:
    """A target and how many requests it runs at a time."""

    target_id: ids.TargetId
    zone: ids.ZoneName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotOptions:
    """Times that decide how long counts are believed.

    A peer's report counts in full for ``fresh_s``, then fades until
    ``stale_s``; the peer then counts as using its home slots, so that a
    daemon which hears nobody keeps to its own. After a shed reply a target
    gets nothing for about ``back_off_s``, doubled with each further one up
    to ``back_off_limit_s``. Slots are borrowed while shed replies stay below
    ``borrowing_sheds_percent`` of the requests of the last
    ``borrowing_window_s``.
    """

    fresh_s: float = 0.5
    stale_s: float = 1.5
    back_off_s: float = 0.02
    back_off_limit_s: float = 0.5
    borrowing_sheds_percent: float = 3.0
    borrowing_window_s: float = 5.0

    def check(self) -> None:
        """Raise ``RoutingOptionError`` when the times contradict each other."""
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

    Reserving costs the same with ten targets or ten thousand: the free ones
    are kept in a list which changes with each event, not with each request.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        random_source: random.Random,
        options: SlotOptions | None = None,
    ) -> None:
        """Start without targets and without peers."""
        used = options or SlotOptions()
        used.check()
        self._clock = local_clock
        self._records = records.Records()
        self._peers = peer_counts.PeerCounts(used.fresh_s, used.stale_s)
        self._back_off = back_off.BackOff(
            random_source,
            used.back_off_s,
            used.back_off_limit_s,
        )
        self._borrowing = budget.RetryBudget(
            local_clock,
            used.borrowing_sheds_percent,
            floor=_SHEDS_FLOOR,
            window_s=used.borrowing_window_s,
        )
        self._own: ids.InstanceId | None = None
        self._is_dealt = False

    def set_targets(self, targets: Iterable[TargetCapacity]) -> None:
        """Take the targets of the service as they are configured now.

        New ones start with weight 0 until :meth:`set_weight`; those which
        are gone get no new work, and their requests in flight still count
        down by :meth:`release`.
        """
        wanted: list[choice.Candidate] = []
        for target in targets:
            checks.positive('slots', target.slots)
            wanted.append(
                choice.Candidate(
                    target.target_id,
                    target.zone,
                    0,
                    target.slots,
                    peers_in_flight=self._peers.count(target.target_id),
                ),
            )
        self._records.replace(wanted)
        self._is_dealt = False
        for record in self._records:
            self._update(record)

    def set_weight(self, target_id: ids.TargetId, weight: float) -> None:
        """Set the part of its work that a target may get, 0 to 1.

        Unknown targets are ignored: health may already judge by a newer file.
        """
        record = self._records.find(target_id)
        if record is not None:
            if self._records.set_weight(record, weight):
                self._is_dealt = False
            self._update(record)

    def set_group(
        self,
        others: Collection[ids.InstanceId],
        own: ids.InstanceId | None = None,
    ) -> None:
        """Set which other daemons send work to these targets as well.

        A daemon which has not reported yet counts as using its home slots.
        Without the name of the ``own`` daemon it has no home slots itself and
        uses all slots by the counts alone, which sheds far more.
        """
        self._own = own
        self._peers.set_homes(others, {})
        self._is_dealt = False

    def receive_report(
        self,
        observer: ids.InstanceId,
        counts: Mapping[ids.TargetId, int],
    ) -> None:
        """Take a group member's counts, as of now; from others: ignored."""
        self._peers.receive_report(observer, counts, self._clock.monotonic_s())
        self._refresh_peers()

    def report(self) -> dict[ids.TargetId, int]:
        """Return this daemon's own counts above 0, for its group."""
        return {
            record.target_id: record.in_flight
            for record in self._records
            if record.in_flight
        }

    def reserve(
        self,
        chooser: choice.TargetChooser,
        refused: Collection[ids.TargetId] = _NOBODY,
    ) -> ids.TargetId | None:
        """Reserve a slot at a target that ``chooser`` takes.

        Targets in ``refused`` are left out, for example those which a
        request has tried already. Returns ``None`` when no slot is free.
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
        """Give back a slot that was reserved at ``target_id``."""
        record = self._records.find(target_id)
        if record is None or not record.in_flight:
            raise errors.NotReservedError(
                f'No slot of target {target_id} is reserved',
                'Release each reserved slot once',
            )
        record.in_flight -= 1
        self._update(record)
        self._records.drop_if_gone(record)

    def answered(self, target_id: ids.TargetId) -> None:
        """Take in that the target took a request, so back-off starts anew."""
        self._back_off.clear(target_id)

    def shed(self, target_id: ids.TargetId) -> None:
        """Send nothing to the target for a moment: it shed a request."""
        self._back_off.start(target_id, self._clock.monotonic_s())
        self._borrowing.try_spend()
        self._records.hide(target_id)

    def candidates(
        self,
        refused: Collection[ids.TargetId] = _NOBODY,
    ) -> Sequence[choice.Candidate]:
        """Return the targets with a free slot, less those in ``refused``."""
        self._catch_up()
        own = self._records.with_home_slot.members
        if refused:
            own = [one for one in own if one.target_id not in refused]
        if own:
            return own
        if self._own is not None and not self._borrowing.can_spend():
            return ()
        shared = self._records.with_shared_slot.members
        if refused:
            shared = [one for one in shared if one.target_id not in refused]
        return shared

    def find(self, target_id: ids.TargetId) -> choice.Candidate | None:
        """Return the live record of a target, free or not."""
        return self._records.find(target_id)

    def _update(self, record: choice.Candidate) -> None:
        if self._back_off.holds(record.target_id):
            self._records.hide(record.target_id)
        else:
            self._records.show(record)

    def _deal(self) -> None:
        """Work out the home slots; only when they are next needed.

        Each of many changes in a row would else cost the whole work.
        """
        self._is_dealt = True
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

    def _catch_up(self) -> None:
        if not self._is_dealt:
            self._deal()
        now_s = self._clock.monotonic_s()
        for target_id in self._back_off.ended(now_s):
            record = self._records.find(target_id)
            if record is not None:
                self._update(record)
        if self._peers.fade(now_s):
            self._refresh_peers()

    def _refresh_peers(self) -> None:
        for target_id in self._peers.changed():
            record = self._records.find(target_id)
            if record is not None:
                record.peers_in_flight = self._peers.count(target_id)
                self._update(record)
