"""Events about targets and about requests that harm them."""

import msgspec
from sardinepier.telemetry import quantities


class TargetEvent(msgspec.Struct, frozen=True, tag=True, tag_field='kind'):
    """Base of the events about one target of one service.

    ``evidence`` is the evidence against the target as a share of the
    threshold at which it is ejected; ``reason`` says where it comes from.
    """

    service: str
    target_id: str


class TargetSuspected(TargetEvent, frozen=True):
    """Evidence rises; the target gets extra probes."""

    reason: str
    evidence: quantities.Quantity


class TargetCleared(TargetEvent, frozen=True):
    """A suspected target turned out to be good."""

    evidence: quantities.Quantity


class TargetEjected(TargetEvent, frozen=True):
    """The target gets no requests, for ``ejected_for_s`` if that is known."""

    reason: str
    evidence: quantities.Quantity
    ejected_for_s: quantities.Quantity = None


class EjectionHeldByFloor(TargetEvent, frozen=True):
    """A sick target stays, at a reduced weight, because of the floor."""

    reason: str
    evidence: quantities.Quantity


class TargetAvoided(TargetEvent, frozen=True):
    """Bad for this daemon only: the link is at fault, not the target."""

    reason: str


class TargetTrialStarted(TargetEvent, frozen=True):
    """An ejection is over; the target gets single idempotent requests."""


class TargetReadmitted(TargetEvent, frozen=True):
    """The target proved good; its share of requests is ramped up."""

    evidence: quantities.Quantity


class TargetLeaving(TargetEvent, frozen=True):
    """The target takes no new work; ``source`` says who told us, if known."""

    source: str = ''


class TargetCold(TargetEvent, frozen=True):
    """A new target or start of a target begins at a small weight."""

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
