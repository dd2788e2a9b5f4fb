"""The member table of one daemon, with deadlines and digests."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import kinds, members
from sardinepier.membership.internal import (
    current_options,
    dead_records,
    digests,
    record,
)
from sardinepier.wire import messages

# Every update carries a slightly different estimate of the start time.
# Applying each small difference would change the view with every message.
_MIN_START_CHANGE_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class Entry:
    """A living record with its indexes and its deadline.

    ``deadline_s`` is the time until which a suspect may refute.
    ``cached_member`` is the record as the view shows it, computed on demand.
    """

    record: record.Record
    bucket: int
    ring_points: tuple[int, ...]
    deadline_s: float | None = None
    cached_member: members.Member | None = None

    def member(self) -> members.Member:
        """Return the record as the view shows it."""
        if self.cached_member is None:
            self.cached_member = record.to_member(self.record)
        return self.cached_member


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A record before and after a claim was applied."""

    before: record.Record | None
    after: record.Record


class Table:
    """The records of one daemon, including its own."""

    def __init__(
        self,
        own: record.Record,
        active_options: current_options.CurrentOptions,
    ) -> None:
        """Start with only the daemon's own record."""
        self.version = 0
        self.digests = digests.Digests()
        self.dead = dead_records.DeadRecords(
            active_options.current.dead_keep_s,
            active_options.current.max_dead,
        )
        self._options = active_options
        self._own_id = own.instance_id
        self._entries: dict[ids.InstanceId, Entry] = {}
        self._by_address: dict[messages.PeerAddress, ids.InstanceId] = {}
        self.put(own, own.started_at_s)

    @property
    def own(self) -> record.Record:
        """The record of this daemon."""
        return self._entries[self._own_id].record

    @property
    def seems_cut_off(self) -> bool:
        """Whether at least half of the fleet seems dead from here.

        Then it is more likely that this daemon is cut off from the fleet.
        """
        return len(self.dead) >= self.live_count

    @property
    def live_count(self) -> int:
        """The number of living records, including this daemon's."""
        return len(self._entries)

    def get(self, instance_id: ids.InstanceId) -> record.Record | None:
        """Return the record of an instance in any state, or None."""
        entry = self._entries.get(instance_id)
        return entry.record if entry else self.dead.get(instance_id)

    def entry(self, instance_id: ids.InstanceId) -> Entry:
        """Return the entry of an instance, which must be known and not dead."""
        return self._entries[instance_id]

    def live_at(self, address: messages.PeerAddress) -> record.Record | None:
        """Return the living record at ``address``, or None."""
        instance_id = self._by_address.get(address)
        return self.get(instance_id) if instance_id else None

    def entries(self) -> Iterator[Entry]:
        """Iterate over all living entries."""
        return iter(self._entries.values())

    def peers(self) -> list[record.Record]:
        """Return all living records except this daemon's."""
        return [
            entry.record
            for instance_id, entry in self._entries.items()
            if instance_id != self._own_id
        ]

    def apply(self, claim: record.Record, now_s: float) -> Change | None:
        """Merge ``claim`` and return the change, or None if there is none.

        A claim of death about an unknown instance is dropped. If it were
        stored, daemons would pass claims about dead members on forever.
        """
        before = self.get(claim.instance_id)
        if before is None:
            if (
                claim.is_dead
                or self.live_count >= self._options.current.max_members
            ):
                return None
            self.put(claim, now_s)
            return Change(None, claim)
        after = record.merge(before, claim)
        if _is_unchanged(before, after):
            return None
        self.put(after, now_s)
        return Change(before, after)

    def put(self, after: record.Record, now_s: float) -> None:
        """Store a record, replacing that of the same instance."""
        prior = self._entries.pop(after.instance_id, None)
        if prior is not None:
            self._remove_indexes(prior)
        if after.is_dead:
            self.dead.put(after, now_s)
        else:
            self.dead.discard(after.instance_id)
            self._store(after, prior, now_s)
        self.version += 1

    def _store(
        self,
        after: record.Record,
        prior: Entry | None,
        now_s: float,
    ) -> None:
        entry = prior or _new_entry(
            after,
            self._options.current.monitored_peers,
        )
        if entry.record.liveness is not after.liveness or prior is None:
            entry.deadline_s = None
            if after.liveness is kinds.Liveness.SUSPECT:
                entry.deadline_s = now_s + self._options.suspicion_timeout_s
        entry.record = after
        entry.cached_member = None
        self._entries[after.instance_id] = entry
        self._by_address[after.identity.peer_address] = after.instance_id
        self.digests.toggle(entry.bucket, after)

    def _remove_indexes(self, prior: Entry) -> None:
        self.digests.toggle(prior.bucket, prior.record)
        address = prior.record.identity.peer_address
        if self._by_address.get(address) == prior.record.instance_id:
            self._by_address.pop(address)


def overdue_suspects(table: Table, now_s: float) -> list[record.Record]:
    """Return the suspects whose deadline to refute has passed."""
    return [
        entry.record
        for entry in table.entries()
        if entry.deadline_s is not None and entry.deadline_s <= now_s
    ]


def set_ring_count(entry: Entry, rings: int) -> None:
    """Set the points of an entry for ``rings`` rings."""
    kept_points = entry.ring_points[:rings]
    added_points = _ring_points(
        entry.record.instance_id, range(len(kept_points), rings)
    )
    entry.ring_points = kept_points + added_points


def _new_entry(after: record.Record, rings: int) -> Entry:
    points = _ring_points(after.instance_id, range(rings))
    return Entry(after, digests.bucket_of(after.instance_id), points)


def _ring_points(instance_id: ids.InstanceId, rings: range) -> tuple[int, ...]:
    return tuple(
        rendezvous.score(f'ring-{ring}', instance_id) for ring in rings
    )


def _is_unchanged(before: record.Record, after: record.Record) -> bool:
    start_change_s = abs(before.started_at_s - after.started_at_s)
    return start_change_s < _MIN_START_CHANGE_S and record.status_of(
        before,
    ) == record.status_of(after)
