"""Builds what the daemons of a group tell each other about targets."""

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


class InstanceListReader:
    """Gives the platform's instance list to those who need it."""

    def __init__(
        self,
        base: assembly.Foundation,
        noticer: target_notices.TargetNoticer,
    ) -> None:
        """Pass daemons on to membership and targets to ``noticer``."""
        self._membership = base.membership
        self._settings = base.settings
        self._noticer = noticer

    def apply(self, listed: interface.InstanceList) -> None:
        """Take a new list."""
        self._membership.seed(_addresses(listed, self._settings))
        self._noticer.on_instances(listed)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """All that this daemon and its groups tell each other."""

    reports: group_exchange.GroupExchange
    marks: quarantine_exchange.QuarantineExchange

    def tick(self) -> None:
        """Send what is due."""
        self.reports.tick()
        self.marks.tick()


def build_exchange(
    base: assembly.Foundation,
    context: contexts.GatewayContext,
) -> Exchange:
    """Return the exchange, with the instance list connected to it."""
    directory = target_directory.TargetDirectory()
    noticer = target_notices.TargetNoticer(
        base.membership,
        base.network,
        context.services,
        directory,
        context.configuration,
    )
    base.distributor.on_instances(InstanceListReader(base, noticer).apply)
    owned = own_services.OwnServices(
        base.membership,
        context.services,
        directory,
        context.configuration,
        base.clock,
    )
    return Exchange(
        group_exchange.GroupExchange(
            owned,
            base.network,
            context.services,
            directory,
            base.clock,
        ),
        quarantine_exchange.QuarantineExchange(
            owned,
            base.network,
            context.services,
            context.quarantine,
            base.clock,
        ),
    )


def _addresses(
    listed: interface.InstanceList,
    settings: model.InstanceSettings,
) -> list[messages.PeerAddress]:
    """Return where the list and the instance file say that daemons are."""
    seeds = [messages.PeerAddress(one.ip, one.port) for one in settings.seeds]
    daemons = [
        messages.PeerAddress(one.peer_ip, one.peer_port)
        for one in listed.daemons
    ]
    return [*seeds, *daemons]
