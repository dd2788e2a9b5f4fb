"""What this daemon believes about the fleet, and why it changes its mind."""

import dataclasses
from collections.abc import Callable, Iterable

from sardinepier.core import clock, ids
from sardinepier.membership import events, kinds, options
from sardinepier.membership.internal import (
    changes,
    contacts,
    current_options,
    gossip,
    record,
    table,
)
from sardinepier.wire import messages


class Knowledge:
    """The table, the news about it, and the rules for believing claims."""

    def __init__(
        self,
        own: record.Record,
        bounds: options.MembershipOptions,
        addresses: contacts.Contacts,
        time_source: clock.Clock,
        on_event: Callable[[events.MemberEvent], None],
    ) -> None:
        """Know only this daemon itself, which is the first news."""
        self.bounds = current_options.CurrentOptions(bounds, time_source)
        self.table = table.Table(own, self.bounds)
        self.gossip = gossip.Gossip(self.table, self.bounds, time_source)
        self.contacts = addresses
        self._own_id = own.instance_id
        self._clock = time_source
        self._on_event = on_event

    def record_contact(self, sender: messages.Sender) -> bool:
        """Tell whether what ``sender`` claims about others is believed.

        One that is dead here was cut off until now, and so what it holds of
        others is old. If at least half of the fleet is dead here when one
        returns, be it that it was forgotten meanwhile, then it is this
        daemon that was cut off: it forgets its claims of death, so that they
        don't spread among those who never lost each other.
        """
        held = self.table.get(sender.instance_id)
        if held is not None and not held.is_dead:
            return True
        if self.table.seems_cut_off:
            for dead in self.table.dead:
                self.gossip.rumors.drop(dead.instance_id)
            self.table.dead.clear()
        return False

    def learn(
        self,
        updates: Iterable[kinds.MemberUpdate],
        *,
        believed: bool,
        spread: bool = True,
    ) -> bool:
        """Take over updates and tell whether any was new.

        What was learnt from a whole table is not spread: it is no news.
        """
        learnt = False
        for update in updates:
            claimed = update.liveness is not kinds.Liveness.ALIVE
            own = update.instance_id == self._own_id
            if own or believed or not claimed:
                learnt = self._learn_one(update, spread=spread) or learnt
        return learnt

    def suspect(self, instance_id: ids.InstanceId) -> None:
        """Take a member that does not answer for suspect."""
        self._claim(instance_id, kinds.Liveness.SUSPECT)

    def mark_replaced(
        self,
        instance_id: ids.InstanceId,
        successor: ids.InstanceId,
    ) -> None:
        """Take a member for dead, as ``successor`` answers in its place.

        A probe that named the one was answered by the other at the same
        address, so the named one had started before and is gone.
        """
        self._claim(instance_id, kinds.Liveness.DEAD, successor)

    def expire(self) -> None:
        """Act on the deadlines of suspects and of the remembered dead."""
        now_s = self._clock.monotonic_s()
        for suspect in table.overdue(self.table, now_s):
            self._claim(suspect.instance_id, kinds.Liveness.DEAD)
        self.table.dead.expire(now_s)

    def announce_leaving(self) -> None:
        """Mark this daemon as leaving; it stays so."""
        own = self.table.own
        if not own.leaving:
            self._set_own(own.incarnation, leaving=True)
            self._on_event(events.MemberLeft(self._own_id, own.incarnation))

    def _learn_one(self, update: kinds.MemberUpdate, *, spread: bool) -> bool:
        if not record.is_plausible(update):
            return False
        if update.instance_id == self._own_id:
            self._hear_of_self(update)
            return False
        claim = record.from_update(update, self._clock.monotonic_s())
        if update.peer_address == self.table.own.identity.peer_address:
            return self._hear_of_predecessor(claim)
        return self._merge(claim, spread=spread)

    def _hear_of_self(self, update: kinds.MemberUpdate) -> None:
        own = self.table.own
        refutable = update.incarnation < kinds.MAX_INCARNATION
        if update.liveness is kinds.Liveness.ALIVE or not refutable:
            return
        if update.incarnation >= own.incarnation:
            self._set_own(update.incarnation + 1, leaving=own.leaving)
            self._on_event(
                events.MemberRefuted(self._own_id, update.incarnation + 1),
            )

    def _hear_of_predecessor(self, claim: record.Record) -> bool:
        # This process holds the address, so whoever had it is gone.
        known = self.table.get(claim.instance_id)
        newer = known is None or known.incarnation < claim.incarnation
        if claim.is_dead or not newer:
            return False
        dead = claim.with_liveness(kinds.Liveness.DEAD)
        self.table.put(dead, self._clock.monotonic_s())
        self.gossip.rumors.add(dead.instance_id)
        return True

    def _set_own(self, incarnation: int, *, leaving: bool) -> None:
        own = dataclasses.replace(
            self.table.own,
            incarnation=incarnation,
            leaving=leaving,
        )
        self.table.put(own, self._clock.monotonic_s())
        self.gossip.introduce()

    def _merge(self, claim: record.Record, *, spread: bool) -> bool:
        prior = self.table.live_at(claim.identity.peer_address)
        change = self.table.apply(claim, self._clock.monotonic_s())
        if change is None:
            self._count_repeat(claim)
            return False
        self._changed(change, spread=spread)
        if prior and change.before is None:
            self._resolve_address(prior, change.after)
        return True

    def _count_repeat(self, claim: record.Record) -> None:
        held = self.table.get(claim.instance_id)
        if held and record.standing(held) == record.standing(claim):
            self.gossip.rumors.record_duplicate(claim.instance_id)

    def _resolve_address(
        self,
        prior: record.Record,
        joined: record.Record,
    ) -> None:
        older, younger = sorted(
            (prior, joined),
            key=lambda held: held.started_at_s,
        )
        self.mark_replaced(older.instance_id, younger.instance_id)

    def _claim(
        self,
        instance_id: ids.InstanceId,
        liveness: kinds.Liveness,
        successor: ids.InstanceId | None = None,
    ) -> None:
        held = self.table.get(instance_id)
        if held is None or instance_id == self._own_id:
            return
        change = self.table.apply(
            held.with_liveness(liveness),
            self._clock.monotonic_s(),
        )
        if change:
            self._changed(change, successor=successor)

    def _changed(
        self,
        change: table.Change,
        *,
        spread: bool = True,
        successor: ids.InstanceId | None = None,
    ) -> None:
        if not changes.is_reportable(change):
            return
        after = change.after
        if after.is_dead:
            self.contacts.remember(after.identity.peer_address)
        else:
            self.contacts.mark_reachable(after.identity.peer_address)
        if spread or after.is_dead:
            self.gossip.rumors.add(after.instance_id)
        for event in changes.events_of(change, successor):
            self._on_event(event)
