"""Membership messages; the daemon registers :data:`KINDS`."""

import enum
from typing import Annotated, Final

import msgspec

from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.membership import marks
from sardinepier.wire import messages

_EXACT_BITS: Final = 53
MAX_INCARNATION: Final = 2**_EXACT_BITS
MAX_UPDATES: Final = 1024
DIGEST_BYTES: Final = 256

_MAX_PORT: Final = 65535
_Port = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]


class Liveness(enum.IntEnum):
    """A claim about a member; at equal incarnations the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The record of a member, as daemons send it to each other.

    ``age_ms`` is how long the member had been running when the update was
    sent. The update carries an age rather than a time because the monotonic
    clocks of two processes have different origins.
    """

    instance_id: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName
    peer_address: messages.PeerAddress
    http_ip: str
    http_port: int
    incarnation: _Count
    liveness: Liveness
    leaving: bool
    age_ms: _Count
    capacity: capacities.Capacity = capacities.DEFAULT
    relay_port: _Port = 0


_Buckets = Annotated[
    tuple[int, ...],
    msgspec.Meta(max_length=DIGEST_BYTES),
]
_Digests = Annotated[
    bytes,
    msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES),
]
_Updates = Annotated[
    tuple[MemberUpdate, ...],
    msgspec.Meta(max_length=MAX_UPDATES),
]


class Probe(messages.Message, frozen=True):
    """A heartbeat that requests an :class:`Ack`.

    ``target`` is the probed instance, or empty when only its address is known.
    """

    sequence: int
    target: ids.InstanceId
    mark: marks.ConfigurationMark
    updates: _Updates = ()


class Ack(messages.Message, frozen=True):
    """The answer to a probe.

    ``digest`` is the digest of the answering daemon's member table.
    ``sender_unknown`` is true if that table does not contain the prober.
    """

    sequence: int
    mark: marks.ConfigurationMark
    digest: int
    sender_unknown: bool = False
    updates: _Updates = ()


class IndirectProbe(messages.Message, frozen=True):
    """Requests that the receiver probe ``target`` on the sender's behalf."""

    sequence: int
    target: ids.InstanceId
    address: messages.PeerAddress


class IndirectAck(messages.Message, frozen=True):
    """Reports that ``answered_by`` answered at the requested address."""

    sequence: int
    answered_by: ids.InstanceId


class SyncOffer(messages.Message, frozen=True):
    """Digests of the sender's member table, one per bucket of members."""

    digests: _Digests


class SyncEntries(messages.Message, frozen=True):
    """All living entries of those differing buckets that fit the budget.

    An empty ``buckets`` states that the two tables are equal.
    """

    buckets: _Buckets
    updates: _Updates


class SyncPatch(messages.Message, frozen=True):
    """Entries that the receiver lacked, and claims against its entries.

    ``death_claims`` are about members that are alive in the receiver's table.
    The receiver does not apply these claims; it probes the members instead.
    """

    updates: _Updates
    death_claims: _Updates


_Kinds = tuple[type[messages.Message], ...]

KINDS: Final[_Kinds] = (
    Probe,
    Ack,
    IndirectProbe,
    IndirectAck,
    SyncOffer,
    SyncEntries,
    SyncPatch,
)
