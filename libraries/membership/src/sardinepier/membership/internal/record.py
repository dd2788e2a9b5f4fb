"""The record of one member, and the merge of two records.

The merge is the join of a lattice: commutative, associative and idempotent.
Whatever messages are lost, duplicated or late, two daemons that have received
the same claims have the same record.
"""

import dataclasses
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.membership import kinds, members
from sardinepier.wire import messages

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The immutable attributes of an instance."""

    instance_id: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName
    peer_address: messages.PeerAddress
    http_ip: str
    http_port: int
    capacity: capacities.Capacity
    relay_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The state of a member as known to one daemon."""

    identity: Identity
    incarnation: int
    liveness: kinds.Liveness
    leaving: bool
    started_at_s: float

    @property
    def instance_id(self) -> ids.InstanceId:
        """The id of the instance."""
        return self.identity.instance_id

    @property
    def is_dead(self) -> bool:
        """Whether the member is considered dead."""
        return self.liveness is kinds.Liveness.DEAD

    def with_liveness(self, liveness: kinds.Liveness) -> 'Record':
        """Return a copy of the record with another liveness."""
        return dataclasses.replace(self, liveness=liveness)


def merge(left: Record, right: Record) -> Record:
    """Merge two records of the same instance.

    The higher incarnation wins, since only the member itself increments it.
    At equal incarnations the worse liveness wins, and the earlier start time:
    every estimate is late by its transit time, so the earliest is the most
    accurate. A higher incarnation brings its own estimate of the start, so
    that a member whose clock stopped with its machine can correct the
    estimate of other daemons. Once set, ``leaving`` stays set.
    """
    leaving = left.leaving or right.leaving
    if left.incarnation == right.incarnation:
        return dataclasses.replace(
            left,
            liveness=max(left.liveness, right.liveness),
            leaving=leaving,
            started_at_s=min(left.started_at_s, right.started_at_s),
        )
    newer = left if left.incarnation > right.incarnation else right
    return dataclasses.replace(newer, leaving=leaving)


def status_of(record: Record) -> tuple[int, kinds.Liveness, bool]:
    """Return the fields whose change is gossiped: all but the start time."""
    return record.incarnation, record.liveness, record.leaving


def from_member(member: members.Member) -> Record:
    """Return the initial record of this daemon itself."""
    identity = Identity(
        instance_id=member.instance_id,
        zone=member.zone,
        region=member.region,
        peer_address=member.peer_address,
        http_ip=member.http_ip,
        http_port=member.http_port,
        capacity=member.capacity,
        relay_port=member.relay_port,
    )
    return Record(
        identity,
        member.incarnation,
        kinds.Liveness.ALIVE,
        member.state is members.MemberState.LEAVING,
        member.started_at_s,
    )


def to_member(record: Record) -> members.Member:
    """Return the record as the view shows it."""
    identity = record.identity
    return members.Member(
        instance_id=identity.instance_id,
        daemon_id=members.daemon_of(identity.instance_id),
        zone=identity.zone,
        region=identity.region,
        peer_address=identity.peer_address,
        http_ip=identity.http_ip,
        http_port=identity.http_port,
        capacity=identity.capacity,
        relay_port=identity.relay_port,
        incarnation=record.incarnation,
        state=_state(record),
        started_at_s=record.started_at_s,
    )


def to_update(record: Record, now_s: float) -> kinds.MemberUpdate:
    """Return the record as an update, with the age rounded down to ms."""
    identity = record.identity
    age_ms = int((now_s - record.started_at_s) * _MS_PER_S)
    return kinds.MemberUpdate(
        instance_id=identity.instance_id,
        zone=identity.zone,
        region=identity.region,
        peer_address=identity.peer_address,
        http_ip=identity.http_ip,
        http_port=identity.http_port,
        capacity=identity.capacity,
        relay_port=identity.relay_port,
        incarnation=record.incarnation,
        liveness=record.liveness,
        leaving=record.leaving,
        age_ms=max(age_ms, 0),
    )


def from_update(update: kinds.MemberUpdate, now_s: float) -> Record:
    """Convert an update that arrives now to a record on the local clock.

    The transit time is unknown and therefore not subtracted. The start seems
    later than it was and tickets seem older than they are, which is safe.
    """
    identity = Identity(
        instance_id=update.instance_id,
        zone=update.zone,
        region=update.region,
        peer_address=update.peer_address,
        http_ip=update.http_ip,
        http_port=update.http_port,
        capacity=update.capacity,
        relay_port=update.relay_port,
    )
    return Record(
        identity,
        update.incarnation,
        update.liveness,
        update.leaving,
        now_s - update.age_ms / _MS_PER_S,
    )


def is_plausible(update: kinds.MemberUpdate) -> bool:
    """Return whether an update has a valid instance id and peer address."""
    named = '~' in update.instance_id[1:]
    return named and update.peer_address.is_valid()


def _state(record: Record) -> members.MemberState:
    if record.is_dead:
        return members.MemberState.DEAD
    if record.leaving:
        return members.MemberState.LEAVING
    if record.liveness is kinds.Liveness.SUSPECT:
        return members.MemberState.SUSPECT
    return members.MemberState.ALIVE
