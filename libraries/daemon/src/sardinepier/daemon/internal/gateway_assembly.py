"""Builds the request path once the fleet file is known."""

from sardinepier.daemon.internal import assembly, service_parts
from sardinepier.gateway import (
    activity,
    client,
    refusal_counts,
    service_runtimes,
    wake_guard,
)
from sardinepier.gateway import context as contexts
from sardinepier.once import ledger, quarantine
from sardinepier.settings import model
from sardinepier.telemetry import daemon_events

_KEPT_ANSWER_BYTES = 65536


def build_context(
    base: assembly.Foundation,
    configuration: model.Configuration,
) -> contexts.GatewayContext:
    """Return the collaborators of the request path.

    Needs a running event loop. The length of a ticket's epoch is taken from
    the fleet file once, because it numbers the epochs of this instance.
    """
    fleet = configuration.fleet
    own = base.instance_id
    services = service_runtimes.ServiceRuntimes(
        service_parts.runtime_parts(
            own,
            base.clock,
            base.random_source,
            base.recorder.target_changed,
        ),
    )
    services.update(configuration)
    return contexts.GatewayContext(
        own=own,
        zone=base.settings.zone,
        started_at_s=base.started_at_s,
        clock=base.clock,
        random_source=base.random_source,
        configuration=lambda: base.store.current,
        view=base.membership,
        ledger=ledger.Ledger(
            own,
            base.started_at_s,
            base.clock,
            ledger_options(fleet),
        ),
        quarantine=quarantine.Quarantine(base.clock),
        services=services,
        client=client.TargetClient(),
        wake_guard=_wake_guard(base, fleet),
        activity=activity.Activity(),
        refusals=refusal_counts.RefusalCounts(base.recorder.record),
        metrics=base.metrics,
        record_event=base.recorder.record,
    )


def ledger_options(fleet: model.FleetSettings) -> ledger.LedgerOptions:
    """Return the ledger's limits as the fleet file has them."""
    return ledger.LedgerOptions(
        epoch_s=fleet.ticket_epoch_s,
        valid_epochs=fleet.ticket_valid_epochs,
        capacity=fleet.record_capacity,
        capacity_bytes=fleet.record_capacity_bytes,
        answer_limit_bytes=_KEPT_ANSWER_BYTES,
    )


class _MembershipWake:
    """Membership's part in noticing and recovering from a pause."""

    def __init__(self, base: assembly.Foundation) -> None:
        self._membership = base.membership
        self._recorder = base.recorder

    def confirm(self, moment_s: float) -> bool:
        """Tell whether peers answered after the pause, and ask them again."""
        if self._membership.confirm_since(moment_s):
            return True
        self._membership.refresh()
        return False

    def gap_seen(self, gap_ms: int, bound_ms: int) -> None:
        """Record the pause and ask the peers at once."""
        self._recorder.record(daemon_events.WakeGapSeen(gap_ms, bound_ms))
        self._membership.refresh()


def _wake_guard(
    base: assembly.Foundation,
    fleet: model.FleetSettings,
) -> wake_guard.WakeGuard:
    wake = _MembershipWake(base)
    return wake_guard.WakeGuard(
        base.clock,
        fleet.wake_gap_ms,
        (wake.confirm, base.distributor.confirm_since),
        wake.gap_seen,
    )
