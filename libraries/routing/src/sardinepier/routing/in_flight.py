"""Slots of one service's targets: own requests, peers' counts, back-off.

Several daemons send work to the same few slots, and none may believe that it
owns them all. Each therefore adds to its own count what the others of its
group last reported. A report is old when it arrives, so a target may still
get more than it has slots for and sheds; the shed reply then keeps this
daemon away from the target for a moment.
"""

import dataclasses
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.routing import choice, errors
from sardinepier.routing.internal import (
    back_off,
    checks,
    peer_counts,
    records,
)

_HALF_A_SLOT: Final = 0.5
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
    ``stale_s``. What fades is replaced by the peer's equal share of all
    slots, so that a daemon which hears nobody keeps to its own share. After
    a shed reply a target gets nothing for about ``back_off_s``, doubled with
    each further shed reply up to ``back_off_limit_s``.
    """

    fresh_s: float = 0.5
    stale_s: float = 1.5
    back_off_s: float = 0.02
    back_off_limit_s: float = 0.5

    def check(self) -> None:
        """Raise ``RoutingOptionError`` when the times contradict each other."""
        checks.positive('fresh_s', self.fresh_s)
        checks.positive('stale_s - fresh_s', self.stale_s - self.fresh_s)
        checks.positive('back_off_s', self.back_off_s)
        checks.positive('back_off_limit_s', self.back_off_limit_s)


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
        self._own_total = 0

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
        for record in self._records:
            self._update(record)

    def set_weight(self, target_id: ids.TargetId, weight: float) -> None:
        """Set the part of its work that a target may get, 0 to 1.

        Unknown targets are ignored: health may already judge by a newer file.
        """
        record = self._records.find(target_id)
        if record is not None:
            self._records.set_weight(record, weight)
            self._update(record)

    def set_group(self, others: Collection[ids.InstanceId]) -> None:
        """Set which other daemons send work to these targets as well.

        A daemon which has not reported yet counts with its equal share.
        """
        self._peers.set_group(others)
        self._refresh_peers()

    def heard(
        self,
        observer: ids.InstanceId,
        counts: Mapping[ids.TargetId, int],
    ) -> None:
        """Take a group member's counts, as of now; from others: ignored."""
        self._peers.heard(observer, counts, self._clock.monotonic_s())
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
        self._own_total += 1
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
        self._own_total -= 1
        self._update(record)
        self._records.drop_if_gone(record)

    def answered(self, target_id: ids.TargetId) -> None:
        """Take in that the target took a request, so back-off starts anew."""
        self._back_off.clear(target_id)

    def shed(self, target_id: ids.TargetId) -> None:
        """Send nothing to the target for a moment: it shed a request."""
        self._back_off.start(target_id, self._clock.monotonic_s())
        self._records.free.discard(target_id)

    def candidates(
        self,
        refused: Collection[ids.TargetId] = _NOBODY,
    ) -> Sequence[choice.Candidate]:
        """Return the targets with a free slot, less those in ``refused``."""
        self._catch_up()
        if not self._has_allowance():
            return ()
        if not refused:
            return self._records.free.members
        return [
            record
            for record in self._records.free.members
            if record.target_id not in refused
        ]

    def find(self, target_id: ids.TargetId) -> choice.Candidate | None:
        """Return the live record of a target, free or not."""
        return self._records.find(target_id)

    def _update(self, record: choice.Candidate) -> None:
        if record.is_free() and not self._back_off.holds(record.target_id):
            self._records.free.add(record)
        else:
            self._records.free.discard(record.target_id)

    def _has_allowance(self) -> bool:
        taken = (
            self._peers.shares() * self._records.slots_total + self._peers.total
        )
        allowance = max(1.0, self._records.slots_total - taken)
        return self._own_total + _HALF_A_SLOT < allowance

    def _catch_up(self) -> None:
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
