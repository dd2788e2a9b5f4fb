"""Events about targets and about requests that crash them."""

import msgspec
from sardinepier.telemetry import quantities


class TargetEvent(msgspec.Struct, frozen=True, tag=True, tag_field='kind'):
    """Base of the events about one target of one service.

    ``evidence`` against the target is a share of the threshold for ejection;
    ``reason`` says where it comes from.
    """

    service: str
    target_id: str


class TargetSuspected(TargetEvent, frozen=True):
    """Evidence against the target is rising; it gets extra probes."""

    reason: str
    evidence: quantities.Quantity


class TargetCleared(TargetEvent, frozen=True):
    """A suspected target proved healthy."""

    evidence: quantities.Quantity


class TargetEjected(TargetEvent, frozen=True):
    """The target gets no requests for ``ejected_for_s``, if that is known."""

    reason: str
    evidence: quantities.Quantity
    ejected_for_s: quantities.Quantity = None


class EjectionHeldByFloor(TargetEvent, frozen=True):
    """The floor keeps an unhealthy target in service at a reduced weight."""

    reason: str
    evidence: quantities.Quantity


class TargetAvoided(TargetEvent, frozen=True):
    """The target fails for this daemon only, so the link is at fault."""

    reason: str


class TargetTrialStarted(TargetEvent, frozen=True):
    """The ejection is over; the target gets single idempotent requests."""


class TargetReadmitted(TargetEvent, frozen=True):
    """The target proved healthy; its share of requests is ramped up."""

    evidence: quantities.Quantity


class TargetLeaving(TargetEvent, frozen=True):
    """The target accepts no new requests; ``source`` reported it, if known."""

    source: str = ''


class TargetCold(TargetEvent, frozen=True):
    """A new target or incarnation starts at a small weight."""

    incarnation: str = ''


class FingerprintQuarantined(
    msgspec.Struct,
    frozen=True,
    tag=True,
    tag_field='kind',
):
    """A request that crashed targets is refused for ``quarantined_for_s``."""

    service: str
    fingerprint: str
    crashed_targets: tuple[str, ...]
    quarantined_for_s: quantities.Quantity
