"""The description of a fleet member in one daemon's view."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import errors, ids
from sardinepier.membership import capacity as capacities
from sardinepier.wire import messages

_SEPARATOR: Final = '~'


class MemberState(enum.Enum):
    """The state of a member in the view of one daemon."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    """Did not answer; becomes DEAD at a deadline unless it refutes."""

    LEAVING = 'leaving'
    """Announced its exit; an instance never returns from this to ALIVE."""

    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance of a daemon, as seen by this daemon.

    ``started_at_s`` estimates, on this process's monotonic clock, when the
    member started. The estimate is late by the transit time of the updates
    and never early. The member increments ``incarnation`` to refute claims
    about itself. ``capacity`` is what the instance announces it can process.
    ``relay_port``, at ``http_ip``, accepts relayed requests; 0 if none does.
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
    relay_port: int = 0


def daemon_of(instance_id: ids.InstanceId) -> ids.DaemonId:
    """Return the configured daemon name that an instance id begins with.

    For example ``daemon_of('entry-3~00c0ffee00c0ffee')`` is ``'entry-3'``.
    Raises ``InvalidArgumentError`` if the id contains no daemon name.
    """
    name = instance_id.rpartition(_SEPARATOR)[0]
    if not name:
        raise errors.InvalidArgumentError(
            f'The instance id is {instance_id!r}',
            'Write it as <daemon id>~<16 hex digits>',
        )
    return ids.DaemonId(name)
