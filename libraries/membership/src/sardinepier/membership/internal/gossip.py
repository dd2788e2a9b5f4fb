"""What goes out on heartbeats: news first told, and what to refute."""

import random
from collections.abc import Iterable

from sardinepier.core import clock, ids
from sardinepier.membership import kinds
from sardinepier.membership.internal import (
    budget,
    current_options,
    record,
    rumors,
    table,
)
from sardinepier.wire import messages


class Gossip:
    """Turns records of the table into updates for messages."""

    def __init__(
        self,
        records: table.Table,
        bounds: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with this daemon itself as the only news."""
        self._table = records
        self._clock = time_source
        self._bounds = bounds
        self.budget = budget.Budget(bounds, time_source)
        self.rumors = rumors.Rumors(bounds)
        self.introduce()

    def next_updates(self) -> tuple[kinds.MemberUpdate, ...]:
        """Return updates for one message, and count them as sent."""
        wanted = min(self._bounds.current.updates_per_message, len(self.rumors))
        if not wanted:
            return ()
        allowed = self.budget.take_updates(wanted)
        taken = self.rumors.next_names(allowed, self._table.live_count)
        found = (self._table.get(instance_id) for instance_id in taken)
        return self.updates(held for held in found if held)

    def updates(
        self,
        records: Iterable[record.Record],
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return records as they travel now."""
        now_s = self._clock.monotonic_s()
        return tuple(record.to_update(held, now_s) for held in records)

    def own_update(self) -> tuple[kinds.MemberUpdate, ...]:
        """Return what makes this daemon known to one that never met it."""
        return self.updates((self._table.own,))

    def greeting(
        self,
        random_source: random.Random,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return what one that knows only an address should know first.

        When all start at once each knows the same few addresses, which can't
        hand the whole table to everybody: with a few others named, the next
        questions go elsewhere.
        """
        peers = self._table.peers()
        count = min(self._bounds.current.named_to_strangers, len(peers))
        named = random_source.sample(peers, count)
        return self.updates((self._table.own, *named))

    def introduction(
        self,
        address: messages.PeerAddress,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return what a daemon at ``address``, whoever it is, should know.

        One that seems cut off itself claims no deaths: whoever lives would
        have to refute them, and its answer tells as much.
        """
        if self._table.seems_cut_off:
            return self.own_update()
        dead_there = self.updates(
            held
            for held in self._table.dead
            if held.identity.peer_address == address
        )
        return (*self.own_update(), *dead_there)

    def claims_about(
        self,
        instance_id: ids.InstanceId,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return what an instance may want to refute, if there is such."""
        held = self._table.get(instance_id)
        if held is None or held.liveness is kinds.Liveness.ALIVE:
            return ()
        return self.updates((held,))

    def introduce(self) -> None:
        """Make this daemon news again, before all other."""
        self.rumors.add_first(self._table.own.instance_id)
