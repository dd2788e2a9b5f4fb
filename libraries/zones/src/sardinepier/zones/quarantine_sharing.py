"""Exchange of the marks of requests that crash targets.

A daemon sends a new mark of its own at once to the carriers of its zone and to
the first carrier of each other zone, which forwards it to its fellow carriers.
All daemons of a zone are informed by its first carrier of the requests that are
quarantined. Nothing is sent while no request is suspected.
"""

import asyncio
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.once import marks, quarantine
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import carriers, messages, ranking

_INTERVAL_S: Final = 0.25
_MIN_INTERVAL_S: Final = 0.05
"""Minimum time between two messages with own marks. A mark that is set within
it is sent with the next step."""

_REPEAT_INTERVAL_S: Final = 1.0
_REPEAT_TIME_S: Final = 5.0
"""For how long new marks are repeated, since messages may be lost."""

_QUARANTINE_INTERVAL_S: Final = 2.0
"""Interval at which the zone is informed of quarantined requests again, for
daemons that have just started."""

_TOLERANCE_S: Final = 0.2
"""Ends of a quarantine that differ by less are the same: the time that a message
takes is not known."""

_TRIAL_DELAY_S: Final = 2.0
"""How much later than the zone before it a zone tries a request after its
quarantine: its outcome is known everywhere by then."""

_MAX_TRIAL_DELAYS: Final = 4


class QuarantineSharing:
    """Sends the marks of one daemon's quarantine, and applies those of others."""

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        shared_quarantine: quarantine.Quarantine,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent before the first mark."""
        self._network = peer_network
        self._carriers = zone_carriers
        self._quarantine = shared_quarantine
        self._clock = clock
        self._next_marks_s = clock.monotonic_s()
        self._repeat_marks_s = clock.monotonic_s()
        self._has_unsent_mark = False
        self._repeat_quarantine_s = clock.monotonic_s()
        self._sent_until_s: dict[int, float] = {}
        peer_network.subscribe(messages.QuarantineUpdate, self._on_update)
        shared_quarantine.on_marked = self._on_marked

    async def run(self) -> None:
        """Repeat what is new regularly, until cancelled."""
        while True:
            self.step()
            await asyncio.sleep(_INTERVAL_S)

    def step(self) -> None:
        """Send the marks and quarantined requests that are due."""
        if not self._quarantine.has_marks():
            return
        self._quarantine.trial_delay_s = self._trial_delay_s()
        now_s = self._clock.monotonic_s()
        if self._has_unsent_mark or now_s >= self._repeat_marks_s:
            self._send_marks(now_s)
        self._send_quarantined(now_s)

    def _trial_delay_s(self) -> float:
        """Return how long after a quarantine this daemon waits with a trial.

        The carriers of one zone after the other may try, and then all others.
        """
        place = _MAX_TRIAL_DELAYS
        if self._carriers.is_carrier():
            zones_before = sum(
                zone < self._carriers.own_zone
                for zone in self._carriers.ranking.by_zone()
            )
            place = min(zones_before, place)
        return place * _TRIAL_DELAY_S

    def _on_marked(self) -> None:
        now_s = self._clock.monotonic_s()
        self._has_unsent_mark = True
        if now_s >= self._next_marks_s:
            self._send_marks(now_s)
        self._send_quarantined(now_s)

    def _send_marks(self, now_s: float) -> None:
        self._has_unsent_mark = False
        self._next_marks_s = now_s + _MIN_INTERVAL_S
        self._repeat_marks_s = now_s + _REPEAT_INTERVAL_S
        report = self._quarantine.report(max_age_s=_REPEAT_TIME_S)
        if report.marks:
            self._send(carriers.other_carriers(self._carriers), report)
            self._send(self._carriers.of_other_zones(), report)

    def _send_quarantined(self, now_s: float) -> None:
        """Inform the zone of quarantines that are new, or of all again."""
        if not self._carriers.is_first():
            self._sent_until_s = {}
            return
        report = self._quarantine.quarantine_report()
        until_s = {
            mark.fingerprint: now_s + mark.held_s for mark in report.marks
        }
        is_new = any(
            until_s[fingerprint]
            > self._sent_until_s.get(fingerprint, 0) + _TOLERANCE_S
            for fingerprint in until_s
        )
        is_due = bool(until_s) and now_s >= self._repeat_quarantine_s
        if is_new or is_due:
            self._sent_until_s = until_s
            self._repeat_quarantine_s = now_s + _QUARANTINE_INTERVAL_S
            self._send(self._carriers.zone_peers(), report)

    def _send(
        self,
        receivers: ranking.Members,
        report: marks.QuarantineReport,
    ) -> None:
        for member in receivers:
            self._network.send(
                member.peer_address, messages.QuarantineUpdate(report)
            )

    def _on_update(
        self,
        sender: wire_messages.Sender,
        update: messages.QuarantineUpdate,
    ) -> None:
        self._quarantine.receive_report(sender.instance_id, update.report)
        if not self._carriers.is_zone_peer(sender.instance_id):
            self._send(carriers.other_carriers(self._carriers), update.report)
        self._send_quarantined(self._clock.monotonic_s())
