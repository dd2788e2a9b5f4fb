"""Options of other libraries as the settings files give them."""

from typing import Final

from sardinepier.health import options as health_options
from sardinepier.once import ledger
from sardinepier.settings import model

RECORDED_ANSWER_LIMIT_BYTES: Final = 65_536
"""A recorded answer over this size keeps its status alone."""

_MS_PER_S: Final = 1000


def ledger_options(fleet: model.FleetSettings) -> ledger.LedgerOptions:
    """Return what the fleet file says about records of keys."""
    return ledger.LedgerOptions(
        epoch_s=fleet.ticket_epoch_s,
        valid_epochs=fleet.ticket_valid_epochs,
        capacity=fleet.record_capacity,
        capacity_bytes=fleet.record_capacity_bytes,
        answer_limit_bytes=RECORDED_ANSWER_LIMIT_BYTES,
    )


def health_options_of(
    service: model.ServiceSettings,
) -> health_options.HealthOptions:
    """Return what a service's file says about judging its targets."""
    return health_options.HealthOptions(
        false_ejections_per_target_day=service.false_ejections_per_target_day,
        floor_percent=service.floor_percent,
        probe_interval_s=service.probe_interval_ms / _MS_PER_S,
    )
