"""Applies each new configuration to the running parts of the daemon."""

import dataclasses
from typing import Final

from sardinepier.daemon.internal import gateway_assembly
from sardinepier.gateway import context as contexts
from sardinepier.membership import membership as memberships
from sardinepier.membership import options
from sardinepier.platform import http_platform
from sardinepier.settings import model

_MS_PER_S: Final = 1000
_PAUSE_HEARTBEATS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFollower:
    """Updates the parts; requests in flight keep their configuration."""

    context: contexts.GatewayContext
    platform: http_platform.HttpPlatform
    membership: memberships.Membership

    def follow(self, configuration: model.Configuration) -> None:
        """Apply a new configuration."""
        fleet = configuration.fleet
        self.context.services.update(configuration)
        self.context.ledger.set_options(
            gateway_assembly.ledger_options(fleet),
        )
        self.context.wake_guard.set_gap_ms(fleet.wake_gap_ms)
        self.platform.set_reads_per_s(fleet.platform_reads_per_s)
        self.membership.configure(_membership_options(fleet))


def _membership_options(
    fleet: model.FleetSettings,
) -> options.MembershipOptions:
    interval_s = fleet.heartbeat_interval_ms / _MS_PER_S
    return options.MembershipOptions(
        heartbeat_interval_s=interval_s,
        monitored_peers=fleet.monitored_peers,
        suspicion_timeout_s=fleet.suspicion_timeout_ms / _MS_PER_S,
        pause_gap_s=_PAUSE_HEARTBEATS * interval_s,
    )
