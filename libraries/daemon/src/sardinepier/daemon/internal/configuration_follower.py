"""Puts each new configuration in force in what was built before."""

import dataclasses

from sardinepier.daemon.internal import gateway_assembly
from sardinepier.gateway import context as contexts
from sardinepier.platform import http_platform
from sardinepier.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFollower:
    """Updates what is built from settings; requests keep what they have."""

    context: contexts.GatewayContext
    platform: http_platform.HttpPlatform

    def follow(self, configuration: model.Configuration) -> None:
        """Take a new configuration."""
        fleet = configuration.fleet
        self.context.services.update(configuration)
        self.context.ledger.set_options(
            gateway_assembly.ledger_options(fleet),
        )
        self.context.wake_guard.set_gap_ms(fleet.wake_gap_ms)
        self.platform.set_reads_per_s(fleet.platform_reads_per_s)
