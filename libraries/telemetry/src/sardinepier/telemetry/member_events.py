"""Membership events: other daemons as the recording daemon sees them."""

import msgspec


class MemberEvent(msgspec.Struct, frozen=True, tag=True, tag_field='kind'):
    """Base of the events about a member; ``member`` is its instance id."""

    member: str


class MemberJoined(MemberEvent, frozen=True):
    """A member was seen for the first time."""

    zone: str


class MemberSuspected(MemberEvent, frozen=True):
    """A member answered neither a direct nor an indirect probe."""

    incarnation: int


class MemberRefuted(MemberEvent, frozen=True):
    """A suspected member proved with a new incarnation that it is alive."""

    incarnation: int


class MemberLeft(MemberEvent, frozen=True):
    """A member announced that it is leaving."""

    incarnation: int


class MemberDied(MemberEvent, frozen=True):
    """A suspected member did not refute the suspicion in time."""

    incarnation: int


class MemberReplaced(MemberEvent, frozen=True):
    """A member's address or daemon id now belongs to ``successor``."""

    successor: str
