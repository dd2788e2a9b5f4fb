"""What one daemon knows about another."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import errors, ids
from sardinepier.membership import capacity as capacities
from sardinepier.wire import messages

_SEPARATOR: Final = '~'


class MemberState(enum.Enum):
    """How a member stands in the view of one daemon."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    """It did not answer; it is dead at a deadline unless it refutes."""

    LEAVING = 'leaving'
    """It announced its exit. This never changes back for an instance."""

    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance of a daemon, as the view of this daemon holds it.

    ``started_at_s`` estimates, on this process's monotonic clock, when the
    member started. It is late by the time that news took to get here, and
    never early. ``incarnation`` grows when the member refutes what others
    claim about it. ``capacity`` is what it can do.
    """

    instance_id: ids.InstanceId
    daemon_id: ids.DaemonId
    zone: ids.ZoneName
    region: ids.RegionName
    peer_address: messages.PeerAddress
    http_ip: str
    http_port: int
    incarnation: int
    state: MemberState
    started_at_s: float
    capacity: capacities.Capacity = capacities.DEFAULT


def daemon_of(instance_id: ids.InstanceId) -> ids.DaemonId:
    """Return the configured name within an instance's name.

    For example ``daemon_of('entry-3~00c0ffee00c0ffee')`` is ``'entry-3'``.
    Raises ``InvalidArgumentError`` when there is none.
    """
    name = instance_id.rpartition(_SEPARATOR)[0]
    if not name:
        raise errors.InvalidArgumentError(
            f'The instance id is {instance_id!r}',
            'Write it as <daemon id>~<16 hex digits>',
        )
    return ids.DaemonId(name)
