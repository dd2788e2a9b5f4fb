"""Targets as seen by the rest of the daemon: identities and states."""

import enum

import msgspec

from sardinepier.core import ids


class TargetIdentity(msgspec.Struct, frozen=True):
    """One incarnation of a target, and how many requests it takes at a time."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    slots: int


class TargetState(enum.Enum):
    """The lifecycle state of a target."""

    COLD = 'cold'
    """A new incarnation: its load rises slowly, and it is not judged yet."""

    IN_SERVICE = 'in-service'
    SUSPECT = 'suspect'
    """There is evidence against it, or only this daemon cannot reach it."""

    EJECTED = 'ejected'
    TRIAL = 'trial'
    """After an ejection; gets single idempotent requests."""

    LEAVING = 'leaving'
    """Announced that it is leaving; this incarnation is not chosen again."""


class Reason(enum.Enum):
    """Why a target is in its state."""

    NONE = 'none'
    GROUP_EVIDENCE = 'group-evidence'
    """The group's evidence against it passed the threshold."""

    OWN_EVIDENCE = 'own-evidence'
    """Bad for this daemon but good for others: the link may be cut."""

    PEERS_EJECTED = 'peers-ejected'
    """At least two peers, and at least half of them, ejected it."""

    PROBES_FAILED = 'probes-failed'
    """Its probes fail and it has no traffic; it gets few requests."""

    HELD_BY_FLOOR = 'held-by-floor'
    """The floor forbids its ejection; it gets few requests."""

    RETURNING = 'returning'
    NEW_INCARNATION = 'new-incarnation'
    LEAVING = 'leaving'


class Standing(msgspec.Struct, frozen=True):
    """The state of one target, as needed to choose a target.

    ``weight`` is 0 for a target that must not be chosen and 1 for one in
    full service. ``peers_in_flight`` counts the requests in flight of the
    group's other daemons, from their newest reports.
    """

    state: TargetState
    weight: float
    peers_in_flight: int = 0


class TargetStatus(msgspec.Struct, frozen=True):
    """One target in the daemon's status answer.

    ``score`` is the evidence against the target as a share of the ejection
    threshold: from 1 on it should be ejected.
    """

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    state: TargetState
    reason: Reason
    weight: float
    score: float
    in_flight: int
    returns_in_s: float | None
