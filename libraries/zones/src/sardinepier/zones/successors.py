"""Search for a daemon that can carry the zone in place of one that is cut off.

A carrier that can't connect to any target does not know whether the targets are
gone or only its own path is lost, and its successor may be behind the same
link. So it asks the next daemons to check their paths, and hands the zone over
to one that reaches targets. Those that reach none drop out of the order.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry
from sardinepier.membership import members
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import availability, carriers, messages

_CANDIDATES: Final = 2
"""Daemons that are asked at the same time."""

_QUERY_INTERVAL_S: Final = 0.5
_REPORT_VALID_S: Final = 2.0
_ANNOUNCE_INTERVAL_S: Final = availability.HANDOVER_PAUSE_S / 2
"""Interval at which a daemon repeats that it can't carry the zone, before the
others take it back into the order."""


_MAX_EXCLUDED: Final = 8
"""Daemons that drop out at most. If so many in a row reach no target, most likely
none of the zone does, and each one that drops out tells the whole zone."""


class SuccessorSearch:
    """Hands the zone over while this daemon is cut off, and answers others.

    ``check_paths`` connects to targets. It is set by the code that owns the
    connections.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self.check_paths: Callable[[], Awaitable[None]] = _check_nothing
        self._network = peer_network
        self._carriers = zone_carriers
        self._services = services
        self._clock = clock
        self._next_query_s = clock.monotonic_s()
        self._next_announcement_s = clock.monotonic_s()
        self._reachable_s: dict[ids.InstanceId, float] = {}
        self._answers: set[asyncio.Task[None]] = set()
        peer_network.subscribe(messages.PathQuery, self._on_query)
        peer_network.subscribe(messages.PathReport, self._on_report)

    def step(self) -> bool:
        """Return whether to announce now that this daemon can't carry the zone.

        Must be called regularly while the daemon is cut off from all targets.
        """
        now_s = self._clock.monotonic_s()
        successors = self._successors()
        if now_s < self._next_announcement_s:
            return False
        is_excluded = self._carriers.availability.has_handed_over(
            self._carriers.own_id
        )
        if not successors and not is_excluded:
            return False
        if self._carriers.is_carrier():
            if not self._is_reachable(successors[:1]):
                self._ask(successors, now_s)
                return False
        elif not is_excluded and not self._may_follow(successors):
            return False
        self._next_announcement_s = now_s + _ANNOUNCE_INTERVAL_S
        self._carriers.availability.record_handover(self._carriers.own_id)
        return True

    def _successors(self) -> tuple[members.Member, ...]:
        """Return the daemons that would carry the zone next, best first."""
        zone_carriers = self._carriers
        current = zone_carriers.of_own_zone()
        zone = zone_carriers.ranking.of_zone(zone_carriers.own_zone)
        has_handed_over = zone_carriers.availability.has_handed_over
        included = [
            member for member in zone if not has_handed_over(member.instance_id)
        ]
        if len(zone) - len(included) >= _MAX_EXCLUDED:
            return ()
        return tuple(member for member in included if member not in current)

    def _may_follow(self, successors: tuple[members.Member, ...]) -> bool:
        """Return whether this daemon is one of the next."""
        own_id = self._carriers.own_id
        return any(
            member.instance_id == own_id for member in successors[:_CANDIDATES]
        )

    def _is_reachable(self, successor: tuple[members.Member, ...]) -> bool:
        """Return whether a daemon reported lately that it reaches targets."""
        since_s = self._clock.monotonic_s() - _REPORT_VALID_S
        return any(
            self._reachable_s.get(member.instance_id, since_s) > since_s
            for member in successor
        )

    def _ask(
        self, successors: tuple[members.Member, ...], now_s: float
    ) -> None:
        if now_s < self._next_query_s:
            return
        self._next_query_s = now_s + _QUERY_INTERVAL_S
        for member in successors[:_CANDIDATES]:
            self._network.send(member.peer_address, messages.PathQuery())

    def _on_query(
        self, sender: wire_messages.Sender, query: messages.PathQuery
    ) -> None:
        if not self._answers:
            answer = asyncio.create_task(self._answer(sender))
            self._answers.add(answer)
            answer.add_done_callback(self._answers.discard)

    async def _answer(self, asker: wire_messages.Sender) -> None:
        await self.check_paths()
        self._network.send(
            asker.address,
            messages.PathReport(self._services.is_cut_off_from_all()),
        )

    def _on_report(
        self, sender: wire_messages.Sender, report: messages.PathReport
    ) -> None:
        self._reachable_s.pop(sender.instance_id, None)
        if not report.is_cut_off:
            self._reachable_s[sender.instance_id] = self._clock.monotonic_s()


async def _check_nothing() -> None:
    """Do nothing: the default of ``check_paths``."""
