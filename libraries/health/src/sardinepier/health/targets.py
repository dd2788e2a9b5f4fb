"""Targets as the rest of the daemon sees them: who they are, how they stand."""

import enum

import msgspec

from sardinepier.core import ids


class TargetIdentity(msgspec.Struct, frozen=True):
    """One start of one target and how much work it takes at a time."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    slots: int


class TargetState(enum.Enum):
    """Where a target is between coming, serving, being out and leaving."""

    COLD = 'cold'
    """A new incarnation: work grows slowly, nothing counts against it."""

    IN_SERVICE = 'in-service'
    SUSPECT = 'suspect'
    """Something speaks against it, or this daemon alone cannot reach it."""

    EJECTED = 'ejected'
    TRIAL = 'trial'
    """Back from an ejection for single idempotent requests."""

    LEAVING = 'leaving'
    """Said goodbye. Never chosen again in this incarnation."""


class Reason(enum.Enum):
    """Why a target stands as it does."""

    NONE = 'none'
    GROUP_EVIDENCE = 'group-evidence'
    """The group's evidence against it passed the threshold."""

    OWN_EVIDENCE = 'own-evidence'
    """Bad for this daemon and good for others: the link may be cut."""

    PEERS_EJECTED = 'peers-ejected'
    """Two or more observers ejected it, nothing here speaks for it."""

    PROBES_FAILED = 'probes-failed'
    """Its probes fail and no traffic speaks for it; it gets little work."""

    HELD_BY_FLOOR = 'held-by-floor'
    """Would be out, but the floor leaves no room; it gets little work."""

    RETURNING = 'returning'
    NEW_INCARNATION = 'new-incarnation'
    LEAVING = 'leaving'


class Standing(msgspec.Struct, frozen=True):
    """What the choice of a target needs to know about one of them.

    ``weight`` is 0 for a target that must not be chosen and 1 for one in
    full service. ``peers_in_flight`` counts the group's requests there as
    last heard, without this daemon's own.
    """

    state: TargetState
    weight: float
    peers_in_flight: int = 0


class TargetStatus(msgspec.Struct, frozen=True):
    """One target's line in the daemon's status answer.

    ``score`` is the evidence against the target as a share of the threshold
    at which it is ejected: 1 and more means that it would be out.
    """

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    state: TargetState
    reason: Reason
    weight: float
    score: float
    in_flight: int
    returns_in_s: float | None
