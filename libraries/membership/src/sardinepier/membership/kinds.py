"""The messages of membership; the daemon registers :data:`KINDS`."""

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

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]


class Liveness(enum.IntEnum):
    """A claim about a member; the greater one wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon holds about a member, as it travels.

    ``age_ms`` is how long the member had been running when this was sent.
    An age, because clocks of two processes share no origin.
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
    """A heartbeat that asks for an :class:`Ack`.

    ``target`` is the instance meant, or empty when only its address is known.
    """

    sequence: int
    target: ids.InstanceId
    mark: marks.ConfigurationMark
    updates: _Updates = ()


class Ack(messages.Message, frozen=True):
    """The answer to a probe.

    ``digest`` sums up the table of the answering daemon. ``stranger`` tells
    the prober that the answering daemon does not know it.
    """

    sequence: int
    mark: marks.ConfigurationMark
    digest: int
    stranger: bool = False
    updates: _Updates = ()


class IndirectProbe(messages.Message, frozen=True):
    """Asks the receiver to probe ``target`` on the sender's behalf."""

    sequence: int
    target: ids.InstanceId
    address: messages.PeerAddress


class IndirectAck(messages.Message, frozen=True):
    """Tells that ``answered_by`` answered at the address asked about."""

    sequence: int
    answered_by: ids.InstanceId


class SyncOffer(messages.Message, frozen=True):
    """Digests of the sender's table, one for each bucket of members."""

    digests: _Digests


class SyncEntries(messages.Message, frozen=True):
    """All living entries of the buckets that differed and fit.

    Without buckets it says that the two tables are alike.
    """

    buckets: _Buckets
    updates: _Updates


class SyncPatch(messages.Message, frozen=True):
    """What the other side lacked, and what its entries are doubted for.

    ``doubts`` are claims of death about members that the receiver holds for
    alive. It does not take them over; it asks those members.
    """

    updates: _Updates
    doubts: _Updates


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
