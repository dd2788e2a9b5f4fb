"""Builds the context of the request path from the fleet file."""

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

_MAX_KEPT_ANSWER_BYTES = 65536


def build_context(
    core: assembly.CoreParts,
    configuration: model.Configuration,
) -> contexts.GatewayContext:
    """Return the parts that the request path works with.

    Needs a running event loop. The ledger keeps its epoch length from the first
    request on, whatever the fleet file says later: the length determines how
    this instance numbers the epochs.
    """
    fleet = configuration.fleet
    own = core.instance_id
    services = service_runtimes.ServiceRuntimes(
        service_parts.runtime_parts(
            own,
            core.clock,
            core.random_source,
            core.recorder.target_changed,
        ),
    )
    services.update(configuration)
    return contexts.GatewayContext(
        own=own,
        zone=core.settings.zone,
        started_at_s=core.started_at_s,
        clock=core.clock,
        random_source=core.random_source,
        configuration=lambda: core.store.current,
        view=core.membership,
        ledger=ledger.Ledger(
            own,
            core.started_at_s,
            core.clock,
            ledger_options(fleet),
        ),
        quarantine=quarantine.Quarantine(core.clock),
        services=services,
        client=client.TargetClient(),
        wake_guard=_wake_guard(core, fleet),
        activity=activity.Activity(),
        refusals=refusal_counts.RefusalCounts(core.recorder.record),
        metrics=core.metrics,
        record_event=core.recorder.record,
    )


def ledger_options(fleet: model.FleetSettings) -> ledger.LedgerOptions:
    """Return the ledger's limits from the fleet file."""
    return ledger.LedgerOptions(
        epoch_s=fleet.ticket_epoch_s,
        valid_epochs=fleet.ticket_valid_epochs,
        capacity=fleet.record_capacity,
        capacity_bytes=fleet.record_capacity_bytes,
        answer_limit_bytes=_MAX_KEPT_ANSWER_BYTES,
    )


class _MembershipWake:
    """Connects the wake guard to the membership."""

    def __init__(self, core: assembly.CoreParts) -> None:
        self._membership = core.membership
        self._recorder = core.recorder

    def confirm(self, moment_s: float) -> bool:
        """Return whether peers answered after ``moment_s``; if not, probe them."""
        if self._membership.confirm_since(moment_s):
            return True
        self._membership.refresh()
        return False

    def gap_seen(self, gap_ms: int, bound_ms: int) -> None:
        """Record a pause of the process and probe the peers at once."""
        self._recorder.record(daemon_events.WakeGapSeen(gap_ms, bound_ms))
        self._membership.refresh()


def _wake_guard(
    core: assembly.CoreParts,
    fleet: model.FleetSettings,
) -> wake_guard.WakeGuard:
    membership_wake = _MembershipWake(core)
    return wake_guard.WakeGuard(
        core.clock,
        fleet.wake_gap_ms,
        (membership_wake.confirm, core.distributor.confirm_since),
        membership_wake.gap_seen,
    )
