"""What membership reports to the time line when a member changes."""

import msgspec

from sardinepier.core import ids


class MemberEvent(msgspec.Struct, frozen=True, tag=True):
    """Base of the events; ``instance_id`` names the member concerned."""

    instance_id: ids.InstanceId
    incarnation: int


class MemberJoined(MemberEvent, frozen=True):
    """A member was heard of for the first time, or again once forgotten."""

    zone: ids.ZoneName


class MemberSuspected(MemberEvent, frozen=True):
    """A member did not answer, neither directly nor through others."""


class MemberRefuted(MemberEvent, frozen=True):
    """A suspected or dead member proved with a new incarnation to live."""


class MemberLeft(MemberEvent, frozen=True):
    """A member announced that it is leaving."""


class MemberDied(MemberEvent, frozen=True):
    """A member was suspected until the deadline and is taken for dead."""


class MemberReplaced(MemberEvent, frozen=True):
    """Another instance answers at the member's address; it is dead."""

    successor: ids.InstanceId
