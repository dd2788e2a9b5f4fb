"""Events that membership reports to the timeline when a member changes."""

import msgspec

from sardinepier.core import ids


class MemberEvent(msgspec.Struct, frozen=True, tag=True):
    """Base class of the events; ``instance_id`` identifies the member."""

    instance_id: ids.InstanceId
    incarnation: int


class MemberJoined(MemberEvent, frozen=True):
    """A member became known, for the first time or after it was forgotten."""

    zone: ids.ZoneName


class MemberSuspected(MemberEvent, frozen=True):
    """A member answered neither direct nor indirect probes."""


class MemberRefuted(MemberEvent, frozen=True):
    """A suspected or dead member proved to be alive with a new incarnation."""


class MemberLeft(MemberEvent, frozen=True):
    """A member announced that it is leaving."""


class MemberDied(MemberEvent, frozen=True):
    """A member did not refute its suspicion in time and is considered dead."""


class MemberReplaced(MemberEvent, frozen=True):
    """A member is dead: ``successor`` answers at its address."""

    successor: ids.InstanceId
