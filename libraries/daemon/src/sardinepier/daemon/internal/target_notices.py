"""From the platform's instance list to the daemons that need it."""

import collections
from collections.abc import Callable

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages, target_directory
from sardinepier.gateway import service_runtime, service_runtimes
from sardinepier.membership import groups, members
from sardinepier.membership import view as views
from sardinepier.platform import interface
from sardinepier.settings import model
from sardinepier.wire import messages, network

_Notices = tuple[group_messages.TargetNotice, ...]


class TargetNoticer:
    """Spreads what a watcher reads, and takes in what others spread.

    A watcher reads a share of the list, and another watcher reads the same
    share. Each passes on what has changed since it last read, and all of a
    share that is new to it.
    """

    def __init__(
        self,
        view: views.View,
        peer_network: network.PeerNetwork,
        services: service_runtimes.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        configuration: Callable[[], model.Configuration | None],
    ) -> None:
        """Listen to notices; nothing is sent before a list comes."""
        self._view = view
        self._network = peer_network
        self._services = services
        self._directory = directory
        self._configuration = configuration
        self._listed: _Notices = ()
        peer_network.subscribe(group_messages.TargetNotices, self._on_notices)

    def on_instances(self, listed: interface.InstanceList) -> None:
        """Take a new instance list of the platform and pass it on.

        A list of daemons alone covers no service; taken for a share without
        targets, it would make all of the next share look new.
        """
        if not listed.share.chosen:
            return
        notices = tuple(_notice(target) for target in listed.targets)
        told = target_directory.changes(self._listed, notices)
        self._listed = notices
        self.apply(notices)
        self._tell_groups(told)

    def apply(self, notices: _Notices) -> None:
        """Apply notices to the directory and to the services here."""
        touched: set[ids.ServiceName] = set()
        for notice in notices:
            learned = self._directory.learn(
                notice.service,
                notice.target_id,
                notice.incarnation,
            )
            if learned:
                touched.add(notice.service)
        for runtime in self._services:
            self._apply_to_service(runtime, notices, touched)

    def _apply_to_service(
        self,
        runtime: service_runtime.ServiceRuntime,
        notices: _Notices,
        touched: set[ids.ServiceName],
    ) -> None:
        service = runtime.snapshot.settings.name
        if service in touched:
            runtime.set_incarnations(self._directory.of_service(service))
        news = [
            runtime.health.mark_leaving(notice.target_id, notice.incarnation)
            for notice in notices
            if notice.is_leaving and notice.service == service
        ]
        if any(news):
            runtime.refresh()

    def _tell_groups(self, notices: _Notices) -> None:
        by_member: dict[members.Member, list[group_messages.TargetNotice]] = (
            collections.defaultdict(list)
        )
        for notice in notices:
            for member in self._group(notice.service):
                by_member[member].append(notice)
        for member, told in by_member.items():
            for begin in range(0, len(told), group_messages.MAX_NOTICES):
                part = told[begin : begin + group_messages.MAX_NOTICES]
                self._network.send(
                    member.peer_address,
                    group_messages.TargetNotices(tuple(part)),
                )

    def _group(self, service: ids.ServiceName) -> list[members.Member]:
        current = self._configuration()
        settings = current.services.get(service) if current else None
        if settings is None:
            return []
        own = self._view.own.instance_id
        return [
            member
            for member in groups.service_group(
                self._view,
                service,
                settings.group_daemons_per_zone,
            )
            if member.instance_id != own
        ]

    def _on_notices(
        self,
        sender: messages.Sender,
        received: group_messages.TargetNotices,
    ) -> None:
        self.apply(received.notices)


def _notice(target: interface.ListedTarget) -> group_messages.TargetNotice:
    return group_messages.TargetNotice(
        target.service,
        target.target_id,
        target.incarnation,
        target.state is interface.ListedState.LEAVING,
    )
