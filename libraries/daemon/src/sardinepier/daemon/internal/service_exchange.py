"""The peers of one service, and what was told to them last."""

import dataclasses
from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages, report_codec
from sardinepier.wire import messages

_QUIET_INTERVAL_S: Final = 2.0
GUEST_S: Final = 10.0
_MOST_GUESTS: Final = 16
_MOST_READERS: Final = 64

Peers = dict[ids.InstanceId, messages.PeerAddress]


@dataclasses.dataclass(slots=True)
class _Guest:
    """A daemon outside the group that has traffic for the service."""

    address: messages.PeerAddress
    until_s: float


class ServiceExchange:
    """The peers of one service and what its last report weighed."""

    def __init__(self) -> None:
        """Start without guests; nothing was told yet."""
        self.guests: dict[ids.InstanceId, _Guest] = {}
        self.applied_group: frozenset[ids.InstanceId] = frozenset()
        self.informed_peers: frozenset[ids.InstanceId] = frozenset()
        self.report_bytes = 0
        self.writer = report_codec.ReportWriter()
        self._readers: dict[ids.InstanceId, report_codec.ReportReader] = {}
        self._told: group_messages.GroupReport | None = None
        self._quiet_until_s = float('-inf')

    def is_worth_sending(
        self,
        report: group_messages.GroupReport,
        now_s: float,
    ) -> bool:
        """Tell whether a report has news, or is due even without.

        A service without traffic says the same each time. Its peers only
        have to know now and then that this observer is still there.
        """
        told = msgspec.structs.replace(report, sequence=0, rows=())
        has_news = bool(report.rows) or told != self._told
        if not has_news and now_s < self._quiet_until_s:
            return False
        self._told = told
        self._quiet_until_s = now_s + _QUIET_INTERVAL_S
        return True

    def reader(self, observer: ids.InstanceId) -> report_codec.ReportReader:
        """Return what puts the reports of ``observer`` together.

        In bounded number: the one used least lately is forgotten, and that
        observer is understood again from its next whole report on.
        """
        reader = self._readers.pop(observer, None)
        if reader is None:
            reader = report_codec.ReportReader()
        self._readers[observer] = reader
        if len(self._readers) > _MOST_READERS:
            self._readers.pop(next(iter(self._readers)))
        return reader

    def record_guest(
        self,
        sender: messages.Sender,
        now_s: float,
    ) -> None:
        """Keep a bounded number of guests for some seconds."""
        if sender.instance_id in self.guests or len(self.guests) < _MOST_GUESTS:
            self.guests[sender.instance_id] = _Guest(
                sender.address,
                now_s + GUEST_S,
            )

    def recent_guests(self, now_s: float) -> Peers:
        """Return the guests, without those that fell silent."""
        self.guests = {
            name: guest
            for name, guest in self.guests.items()
            if guest.until_s > now_s
        }
        return {name: guest.address for name, guest in self.guests.items()}
