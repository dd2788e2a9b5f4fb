"""One entry of the table, and the merge that makes order irrelevant.

The merge is a maximum in a lattice: commutative, associative, idempotent.
Whatever messages are lost, repeated or late, two daemons that have seen the
same claims hold the same entry.
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
    """What never changes about an instance."""

    instance_id: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName
    peer_address: messages.PeerAddress
    http_ip: str
    http_port: int
    capacity: capacities.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A member as one daemon holds it."""

    identity: Identity
    incarnation: int
    liveness: kinds.Liveness
    leaving: bool
    started_at_s: float

    @property
    def instance_id(self) -> ids.InstanceId:
        """The name of the instance."""
        return self.identity.instance_id

    @property
    def is_dead(self) -> bool:
        """Whether the claim in force is that of death."""
        return self.liveness is kinds.Liveness.DEAD

    def with_liveness(self, liveness: kinds.Liveness) -> 'Record':
        """Return the same record under another claim."""
        return dataclasses.replace(self, liveness=liveness)


def merge(left: Record, right: Record) -> Record:
    """Return what follows from two records of the same instance.

    The higher incarnation wins, since only the member itself raises it. At
    the same one the worse claim wins, and the earlier start: every estimate
    is late by its transit, so the earliest is nearest to the truth. A higher
    incarnation brings its own estimate, so that a member whose clock stood
    still with its machine can correct what others hold. Leaving is sticky.
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


def standing(held: Record) -> tuple[int, kinds.Liveness, bool]:
    """Return what is news when it changes: all but the estimate."""
    return held.incarnation, held.liveness, held.leaving


def from_member(member: members.Member) -> Record:
    """Return the record of this daemon itself, as it starts."""
    identity = Identity(
        instance_id=member.instance_id,
        zone=member.zone,
        region=member.region,
        peer_address=member.peer_address,
        http_ip=member.http_ip,
        http_port=member.http_port,
        capacity=member.capacity,
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
        incarnation=record.incarnation,
        state=_state(record),
        started_at_s=record.started_at_s,
    )


def to_update(record: Record, now_s: float) -> kinds.MemberUpdate:
    """Return the record as it travels, its age rounded down."""
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
        incarnation=record.incarnation,
        liveness=record.liveness,
        leaving=record.leaving,
        age_ms=max(age_ms, 0),
    )


def from_update(update: kinds.MemberUpdate, now_s: float) -> Record:
    """Return an update that arrives now as a record on the local clock.

    The transit is not subtracted, as nobody knows it: the start seems late,
    tickets seem older than they are, and that is the safe direction.
    """
    identity = Identity(
        instance_id=update.instance_id,
        zone=update.zone,
        region=update.region,
        peer_address=update.peer_address,
        http_ip=update.http_ip,
        http_port=update.http_port,
        capacity=update.capacity,
    )
    return Record(
        identity,
        update.incarnation,
        update.liveness,
        update.leaving,
        now_s - update.age_ms / _MS_PER_S,
    )


def is_plausible(update: kinds.MemberUpdate) -> bool:
    """Tell whether an update names an instance that could be reached."""
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
