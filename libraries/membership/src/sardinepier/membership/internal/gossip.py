"""Selects the member updates that heartbeats carry."""

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
    """Converts records of the table to updates for messages."""

    def __init__(
        self,
        records: table.Table,
        active_options: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with this daemon's own record as the only rumor."""
        self._table = records
        self._clock = time_source
        self._options = active_options
        self.budget = budget.Budget(active_options, time_source)
        self.rumors = rumors.Rumors(active_options)
        self.announce_self()

    def next_updates(self) -> tuple[kinds.MemberUpdate, ...]:
        """Return the rumors for one message, and count them as sent."""
        wanted = min(
            self._options.current.updates_per_message, len(self.rumors)
        )
        if not wanted:
            return ()
        allowed = self.budget.take_updates(wanted)
        selected = self.rumors.next_names(allowed, self._table.live_count)
        found = (self._table.get(instance_id) for instance_id in selected)
        return self.updates(
            member_record for member_record in found if member_record
        )

    def updates(
        self,
        records: Iterable[record.Record],
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return the records as updates, with ages as of now."""
        now_s = self._clock.monotonic_s()
        return tuple(
            record.to_update(member_record, now_s) for member_record in records
        )

    def own_update(self) -> tuple[kinds.MemberUpdate, ...]:
        """Return an update with this daemon's own record."""
        return self.updates((self._table.own,))

    def first_contact_updates(
        self,
        stranger: ids.InstanceId,
        random_source: random.Random,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return the updates for a daemon that knows only an address.

        When the whole fleet starts at once, every daemon knows the same few
        seed addresses, and these cannot send the whole table to everyone.
        With some other members named, the next requests go to those. Where
        traffic between zones is limited, they are of the zone of ``stranger``.
        """
        peers = self._table.peers()
        known = self._table.get(stranger)
        if known and self._options.current.zone_links:
            zone = known.identity.zone
            peers = [
                peer for peer in peers if peer.identity.zone == zone
            ] or peers
        count = min(self._options.current.named_to_strangers, len(peers))
        named = random_source.sample(peers, count)
        return self.updates((self._table.own, *named))

    def contact_probe_updates(
        self,
        address: messages.PeerAddress,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return the updates for a probe of an unknown daemon at ``address``.

        They include claims of death about members at that address, unless
        this daemon itself seems cut off: living members would have to refute
        such claims, while their answers already prove that they are alive.
        """
        if self._table.seems_cut_off:
            return self.own_update()
        dead_at_address = self.updates(
            member_record
            for member_record in self._table.dead
            if member_record.identity.peer_address == address
        )
        return (*self.own_update(), *dead_at_address)

    def claims_about(
        self,
        instance_id: ids.InstanceId,
    ) -> tuple[kinds.MemberUpdate, ...]:
        """Return the claim that an instance may need to refute, if any."""
        member_record = self._table.get(instance_id)
        if (
            member_record is None
            or member_record.liveness is kinds.Liveness.ALIVE
        ):
            return ()
        return self.updates((member_record,))

    def announce_self(self) -> None:
        """Queue this daemon's own record as the first rumor to send."""
        self.rumors.add_first(self._table.own.instance_id)
