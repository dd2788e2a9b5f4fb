"""The state of the report exchange about one service."""

import dataclasses
from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.daemon.internal import group_messages, report_codec
from sardinepier.wire import messages

_QUIET_INTERVAL_S: Final = 2.0
GUEST_TIMEOUT_S: Final = 10.0
_MAX_GUESTS: Final = 16
_MAX_READERS: Final = 64

Peers = dict[ids.InstanceId, messages.PeerAddress]


@dataclasses.dataclass(slots=True)
class _Guest:
    """A daemon outside the group that gets requests for the service."""

    address: messages.PeerAddress
    expires_s: float


class ServiceExchange:
    """The peers of one service, and the last report sent to them."""

    def __init__(self) -> None:
        """Start without peers and without a report."""
        self.guests: dict[ids.InstanceId, _Guest] = {}
        self.applied_group: frozenset[ids.InstanceId] = frozenset()
        self.informed_peers: frozenset[ids.InstanceId] = frozenset()
        self.report_bytes = 0
        self.writer = report_codec.ReportWriter()
        self._readers: dict[ids.InstanceId, report_codec.ReportReader] = {}
        self._sent_summary: group_messages.GroupReport | None = None
        self._quiet_until_s = float('-inf')

    def is_worth_sending(
        self,
        report: group_messages.GroupReport,
        now_s: float,
    ) -> bool:
        """Return whether a report has changes, or is due even without any.

        The reports of a service without traffic stay the same. They are sent
        at a longer interval, to show peers that this observer still runs.
        """
        summary = msgspec.structs.replace(report, sequence=0, rows=())
        has_changes = bool(report.rows) or summary != self._sent_summary
        if not has_changes and now_s < self._quiet_until_s:
            return False
        self._sent_summary = summary
        self._quiet_until_s = now_s + _QUIET_INTERVAL_S
        return True

    def reader(self, observer: ids.InstanceId) -> report_codec.ReportReader:
        """Return the reader for the reports of ``observer``.

        The least recently used reader is dropped when there are too many. The
        reports of its observer can be read again from the next full one on.
        """
        reader = self._readers.pop(observer, None)
        if reader is None:
            reader = report_codec.ReportReader()
        self._readers[observer] = reader
        if len(self._readers) > _MAX_READERS:
            self._readers.pop(next(iter(self._readers)))
        return reader

    def record_guest(
        self,
        sender: messages.Sender,
        now_s: float,
    ) -> None:
        """Record the sender as a guest for some time, up to a maximum number."""
        if sender.instance_id in self.guests or len(self.guests) < _MAX_GUESTS:
            self.guests[sender.instance_id] = _Guest(
                sender.address,
                now_s + GUEST_TIMEOUT_S,
            )

    def recent_guests(self, now_s: float) -> Peers:
        """Drop the guests without recent reports and return the others."""
        self.guests = {
            guest_id: guest
            for guest_id, guest in self.guests.items()
            if guest.expires_s > now_s
        }
        return {
            guest_id: guest.address for guest_id, guest in self.guests.items()
        }
