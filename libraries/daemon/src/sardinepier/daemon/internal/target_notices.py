"""Passes changes in the platform's instance list to the daemons concerned."""

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


class TargetNoticeExchange:
    """Sends what this daemon reads as a watcher, and applies peers' notices.

    Two watchers read the same share of the list. Each sends the entries that
    changed since it last read the share, or all entries of a new share.
    """

    def __init__(
        self,
        view: views.View,
        peer_network: network.PeerNetwork,
        services: service_runtimes.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        configuration: Callable[[], model.Configuration | None],
    ) -> None:
        """Subscribe to notices; nothing is sent before the first list."""
        self._view = view
        self._network = peer_network
        self._services = services
        self._directory = directory
        self._configuration = configuration
        self._listed: _Notices = ()
        peer_network.subscribe(group_messages.TargetNotices, self._on_notices)

    def on_instances(self, listed: interface.InstanceList) -> None:
        """Apply a new instance list of the platform and send its changes.

        A list of daemons alone is ignored. It covers no service; treated as a
        share without targets, it would make the whole next share look new.
        """
        if not listed.share.chosen:
            return
        notices = tuple(_notice(target) for target in listed.targets)
        changed = target_directory.changes(self._listed, notices)
        self._listed = notices
        self.apply(notices)
        self._send_to_groups(changed)

    def apply(self, notices: _Notices) -> None:
        """Apply notices to the directory and to this daemon's services."""
        changed_services: set[ids.ServiceName] = set()
        for notice in notices:
            learned = self._directory.learn(
                notice.service,
                notice.target_id,
                notice.incarnation,
            )
            if learned:
                changed_services.add(notice.service)
        for runtime in self._services:
            self._apply_to_service(runtime, notices, changed_services)

    def _apply_to_service(
        self,
        runtime: service_runtime.ServiceRuntime,
        notices: _Notices,
        changed_services: set[ids.ServiceName],
    ) -> None:
        service = runtime.snapshot.settings.name
        if service in changed_services:
            runtime.set_incarnations(self._directory.of_service(service))
        changes = [
            runtime.health.mark_leaving(notice.target_id, notice.incarnation)
            for notice in notices
            if notice.is_leaving and notice.service == service
        ]
        if any(changes):
            runtime.refresh()

    def _send_to_groups(self, notices: _Notices) -> None:
        by_member: dict[members.Member, list[group_messages.TargetNotice]] = (
            collections.defaultdict(list)
        )
        for notice in notices:
            for member in self._group(notice.service):
                by_member[member].append(notice)
        for member, pending in by_member.items():
            for begin in range(0, len(pending), group_messages.MAX_NOTICES):
                batch = pending[begin : begin + group_messages.MAX_NOTICES]
                self._network.send(
                    member.peer_address,
                    group_messages.TargetNotices(tuple(batch)),
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
