"""The member table of this daemon, and the rules for applying claims."""

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
    """The table, the gossip about it, and the rules for applying claims."""

    def __init__(
        self,
        own: record.Record,
        membership_options: options.MembershipOptions,
        addresses: contacts.Contacts,
        time_source: clock.Clock,
        on_event: Callable[[events.MemberEvent], None],
    ) -> None:
        """Start with this daemon as the only member and the first rumor."""
        self.options = current_options.CurrentOptions(
            membership_options, time_source
        )
        self.table = table.Table(own, self.options)
        self.gossip = gossip.Gossip(self.table, self.options, time_source)
        self.contacts = addresses
        self._own_id = own.instance_id
        self._clock = time_source
        self._on_event = on_event

    def record_contact(self, sender: messages.Sender) -> bool:
        """Return whether claims of ``sender`` about other members are trusted.

        A sender that is dead or unknown here may have been cut off until now,
        and then its claims are outdated. If at least half of the fleet is
        dead here when such a sender appears, this daemon itself was probably
        cut off. It then drops its claims of death, so that they do not spread
        among daemons that never lost contact with each other.
        """
        existing = self.table.get(sender.instance_id)
        if existing is not None and not existing.is_dead:
            return True
        if self.table.seems_cut_off:
            for dead in self.table.dead:
                self.gossip.rumors.drop(dead.instance_id)
            self.table.dead.clear()
        return False

    def apply_updates(
        self,
        updates: Iterable[kinds.MemberUpdate],
        *,
        trusted: bool,
        spread: bool = True,
    ) -> bool:
        """Apply updates and return whether any changed the table.

        Updates that are not ``trusted`` are applied only if they claim that a
        member is alive or concern this daemon. Entries of a table exchange
        are applied with ``spread=False``, since other daemons know them.
        """
        is_changed = False
        for update in updates:
            is_accusation = update.liveness is not kinds.Liveness.ALIVE
            own = update.instance_id == self._own_id
            if own or trusted or not is_accusation:
                is_changed = (
                    self._apply_update(update, spread=spread) or is_changed
                )
        return is_changed

    def suspect(self, instance_id: ids.InstanceId) -> None:
        """Mark a member that does not answer as suspected."""
        self._set_liveness(instance_id, kinds.Liveness.SUSPECT)

    def mark_replaced(
        self,
        instance_id: ids.InstanceId,
        successor: ids.InstanceId,
    ) -> None:
        """Mark a member as dead because ``successor`` has its address.

        Both instances used the same address, and ``successor`` started later,
        so the process of the earlier instance has ended.
        """
        self._set_liveness(instance_id, kinds.Liveness.DEAD, successor)

    def expire(self) -> None:
        """Apply the deadlines of suspects and of dead records."""
        now_s = self._clock.monotonic_s()
        for suspect in table.overdue_suspects(self.table, now_s):
            self._set_liveness(suspect.instance_id, kinds.Liveness.DEAD)
        self.table.dead.expire(now_s)

    def announce_leaving(self) -> None:
        """Mark this daemon as leaving, permanently."""
        own = self.table.own
        if not own.leaving:
            self._set_own(own.incarnation, leaving=True)
            self._on_event(events.MemberLeft(self._own_id, own.incarnation))

    def _apply_update(
        self, update: kinds.MemberUpdate, *, spread: bool
    ) -> bool:
        if not record.is_plausible(update):
            return False
        if update.instance_id == self._own_id:
            self._refute(update)
            return False
        claim = record.from_update(update, self._clock.monotonic_s())
        if update.peer_address == self.table.own.identity.peer_address:
            return self._apply_predecessor(claim)
        return self._merge(claim, spread=spread)

    def _refute(self, update: kinds.MemberUpdate) -> None:
        own = self.table.own
        refutable = update.incarnation < kinds.MAX_INCARNATION
        if update.liveness is kinds.Liveness.ALIVE or not refutable:
            return
        if update.incarnation >= own.incarnation:
            self._set_own(update.incarnation + 1, leaving=own.leaving)
            self._on_event(
                events.MemberRefuted(self._own_id, update.incarnation + 1),
            )

    def _apply_predecessor(self, claim: record.Record) -> bool:
        # This process owns the address, so its previous owner has ended.
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
        self.gossip.announce_self()

    def _merge(self, claim: record.Record, *, spread: bool) -> bool:
        prior = self.table.live_at(claim.identity.peer_address)
        change = self.table.apply(claim, self._clock.monotonic_s())
        if change is None:
            self._record_duplicate(claim)
            return False
        self._publish_change(change, spread=spread)
        if prior and change.before is None:
            self._resolve_address_conflict(prior, change.after)
        return True

    def _record_duplicate(self, claim: record.Record) -> None:
        existing = self.table.get(claim.instance_id)
        if existing and record.status_of(existing) == record.status_of(claim):
            self.gossip.rumors.record_duplicate(claim.instance_id)

    def _resolve_address_conflict(
        self,
        prior: record.Record,
        joined: record.Record,
    ) -> None:
        older, younger = sorted(
            (prior, joined),
            key=lambda candidate: candidate.started_at_s,
        )
        self.mark_replaced(older.instance_id, younger.instance_id)

    def _set_liveness(
        self,
        instance_id: ids.InstanceId,
        liveness: kinds.Liveness,
        successor: ids.InstanceId | None = None,
    ) -> None:
        existing = self.table.get(instance_id)
        if existing is None or instance_id == self._own_id:
            return
        change = self.table.apply(
            existing.with_liveness(liveness),
            self._clock.monotonic_s(),
        )
        if change:
            self._publish_change(change, successor=successor)

    def _publish_change(
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
            self.contacts.add_unreachable(after.identity.peer_address)
        else:
            self.contacts.mark_reachable(after.identity.peer_address)
        if spread or after.is_dead:
            self.gossip.rumors.add(after.instance_id)
        for event in changes.events_of(change, successor):
            self._on_event(event)
