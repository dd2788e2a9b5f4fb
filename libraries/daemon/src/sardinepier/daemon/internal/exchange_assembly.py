"""Builds the exchange of target health among the daemons of a group."""

import dataclasses

from sardinepier.daemon.internal import (
    assembly,
    group_exchange,
    own_services,
    quarantine_exchange,
    target_directory,
    target_notices,
)
from sardinepier.gateway import context as contexts
from sardinepier.platform import interface
from sardinepier.settings import model
from sardinepier.wire import messages


class InstanceListReceiver:
    """Passes the platform's instance list to the parts that use it."""

    def __init__(
        self,
        core: assembly.CoreParts,
        notices: target_notices.TargetNoticeExchange,
    ) -> None:
        """Pass daemons to the membership and targets to ``notices``."""
        self._membership = core.membership
        self._settings = core.settings
        self._notices = notices

    def apply(self, listed: interface.InstanceList) -> None:
        """Apply a new instance list."""
        self._membership.seed(_addresses(listed, self._settings))
        self._notices.on_instances(listed)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """The reports and quarantine marks exchanged with the groups."""

    reports: group_exchange.GroupExchange
    marks: quarantine_exchange.QuarantineExchange

    def tick(self) -> None:
        """Send the reports and marks that are due."""
        self.reports.tick()
        self.marks.tick()


def build_exchange(
    core: assembly.CoreParts,
    context: contexts.GatewayContext,
) -> Exchange:
    """Return the exchange and subscribe it to the instance list."""
    directory = target_directory.TargetDirectory()
    notices = target_notices.TargetNoticeExchange(
        core.membership,
        core.network,
        context.services,
        directory,
        context.configuration,
    )
    core.distributor.on_instances(InstanceListReceiver(core, notices).apply)
    group_services = own_services.OwnServices(
        core.membership,
        context.services,
        directory,
        context.configuration,
        core.clock,
    )
    return Exchange(
        group_exchange.GroupExchange(
            group_services,
            core.network,
            context.services,
            directory,
            core.clock,
        ),
        quarantine_exchange.QuarantineExchange(
            group_services,
            core.network,
            context.services,
            context.quarantine,
            core.clock,
        ),
    )


def _addresses(
    listed: interface.InstanceList,
    settings: model.InstanceSettings,
) -> list[messages.PeerAddress]:
    """Return the peer addresses in the instance file and in the list."""
    seeds = [
        messages.PeerAddress(seed.ip, seed.port) for seed in settings.seeds
    ]
    daemons = [
        messages.PeerAddress(daemon.peer_ip, daemon.peer_port)
        for daemon in listed.daemons
    ]
    return [*seeds, *daemons]
