"""Puts each new configuration in force in the request path."""

import dataclasses

from sardinepier.daemon.internal import gateway_assembly
from sardinepier.gateway import context as contexts
from sardinepier.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFollower:
    """Updates what is built from settings; requests keep what they have."""

    context: contexts.GatewayContext

    def follow(self, configuration: model.Configuration) -> None:
        """Take a new configuration."""
        self.context.services.update(configuration)
        self.context.ledger.set_options(
            gateway_assembly.ledger_options(configuration.fleet),
        )
        self.context.wake_guard.set_gap_ms(configuration.fleet.wake_gap_ms)
