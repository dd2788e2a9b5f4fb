"""The exchange of member tables, which repairs the effects of lost messages."""

import itertools
import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock
from sardinepier.membership import kinds
from sardinepier.membership.internal import (
    catch_up,
    exchange_peers,
    jittered_interval,
    knowledge,
    record,
)
from sardinepier.wire import messages, network

_MISMATCHES_BEFORE_OFFER: Final = 2
_MAX_MISMATCHED_PEERS: Final = 64
_MAX_UNANSWERED_OFFERS: Final = 3


class Sync:
    """Offers digests to a peer periodically, and each tick while they differ.

    The whole table is never sent: the peer answers with the entries of some
    buckets that differ, and receives the entries that it lacks in the same
    buckets. Deaths are not exchanged as facts. If a member is dead in one
    table and alive in the other, the former side sends a death claim and the
    latter side probes the member.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        on_death_claim: Callable[[kinds.MemberUpdate], None],
    ) -> None:
        """Pass death claims about living members to ``on_death_claim``."""
        self._known = known
        self._network = peer_network
        self._random = random_source
        self._on_death_claim = on_death_claim
        self._offers_left = _MAX_UNANSWERED_OFFERS
        self._catch_up = catch_up.CatchUp(known.options, time_source)
        self._peers = exchange_peers.ExchangePeers(known, random_source)
        self._next_peer: messages.PeerAddress | None = None
        self._mismatches: dict[messages.PeerAddress, int] = {}
        self._interval = jittered_interval.JitteredInterval(
            lambda: known.options.current.sync_interval_s,
            time_source,
            random_source,
        )

    def tick(self) -> None:
        """Offer the digests if a difference is known or the interval is over."""
        due = self._interval.is_due()
        if self._offers_left <= 0 and not due:
            return
        peer = self._next_peer or self._peers.regular()
        if peer is None:
            return
        if due:
            self._interval.schedule_next()
        self._offers_left -= 1
        self._next_peer = None
        self._offer(peer)

    def compare_digest(self, peer: messages.PeerAddress, digest: int) -> None:
        """Compare the digest of an ack; repeated mismatches lead to an offer.

        A single mismatch is common, because updates are in transit. A daemon
        that has just started sends an offer to the first peer that answers.
        """
        if self._catch_up.may_start():
            self._offer(self._peers.first(peer))
        if digest == self._known.table.digests.total():
            self._mismatches.pop(peer, None)
            return
        count = self._mismatches.pop(peer, 0) + 1
        if count < _MISMATCHES_BEFORE_OFFER:
            self._mismatches[peer] = count
            if len(self._mismatches) > _MAX_MISMATCHED_PEERS:
                self._mismatches.pop(next(iter(self._mismatches)))
        else:
            self._schedule_offers(peer)

    def on_offer(
        self,
        sender: messages.Sender,
        offer: kinds.SyncOffer,
    ) -> None:
        """Answer with entries that differ, within the rate limit."""
        if self._known.gossip.budget.available_entries() <= 0:
            return
        differing = self._known.table.digests.differing(offer.digests)
        chosen = self._choose_buckets(differing)
        entries = [
            member_record
            for bucket in chosen.values()
            for member_record in bucket
        ]
        self._known.gossip.budget.spend_entries(len(entries))
        self._network.send(
            sender.address,
            kinds.SyncEntries(
                tuple(chosen),
                self._known.gossip.updates(entries[: kinds.MAX_UPDATES]),
            ),
        )

    def on_entries(
        self,
        sender: messages.Sender,
        entries: kinds.SyncEntries,
    ) -> None:
        """Apply entries and send back those that the sender lacks."""
        self._offers_left = 0
        if not entries.buckets:
            return
        death_claims = self._death_claims(entries.updates)
        is_changed = self._apply_updates(sender, entries.updates)
        missing = self._missing_updates(entries)
        self._send_patch(sender, missing, death_claims)
        if is_changed:
            self._schedule_offers(sender.address)
            if self._catch_up.may_continue():
                self._offer(self._peers.while_catching_up())

    def on_patch(
        self,
        sender: messages.Sender,
        patch: kinds.SyncPatch,
    ) -> None:
        """Apply entries that this side lacked, and check death claims."""
        death_claims = self._death_claims(patch.updates)
        self._apply_updates(sender, patch.updates)
        self._send_patch(sender, (), death_claims)
        for claim in patch.death_claims:
            if claim.instance_id == self._known.table.own.instance_id:
                self._known.apply_updates((claim,), trusted=True)
            else:
                self._on_death_claim(claim)

    def _offer(self, peer: messages.PeerAddress | None) -> None:
        if peer is not None:
            self._network.send(
                peer,
                kinds.SyncOffer(self._known.table.digests.encode()),
            )

    def _schedule_offers(self, peer: messages.PeerAddress) -> None:
        self._next_peer = peer
        self._offers_left = _MAX_UNANSWERED_OFFERS

    def _choose_buckets(
        self,
        differing: list[int],
    ) -> dict[int, list[record.Record]]:
        # Random order, so that simultaneous offers get different buckets.
        self._random.shuffle(differing)
        chosen: dict[int, list[record.Record]] = {}
        remaining = self._known.gossip.budget.available_entries()
        grouped = self._in_buckets(differing)
        for bucket in differing:
            entries = grouped[bucket]
            if chosen and len(entries) > remaining:
                break
            chosen[bucket] = entries
            remaining -= len(entries)
        return chosen

    def _in_buckets(
        self,
        buckets: Iterable[int],
    ) -> dict[int, list[record.Record]]:
        grouped: dict[int, list[record.Record]] = {
            bucket: [] for bucket in buckets
        }
        for entry in self._known.table.entries():
            group = grouped.get(entry.bucket)
            if group is not None:
                group.append(entry.record)
        return grouped

    def _apply_updates(
        self,
        sender: messages.Sender,
        updates: Iterable[kinds.MemberUpdate],
    ) -> bool:
        trusted = self._known.record_contact(sender)
        return self._known.apply_updates(updates, trusted=trusted, spread=False)

    def _missing_updates(
        self,
        entries: kinds.SyncEntries,
    ) -> tuple[kinds.MemberUpdate, ...]:
        peer_status = {
            update.instance_id: (update.incarnation, update.leaving)
            for update in entries.updates
        }
        missing = (
            member_record
            for group in self._in_buckets(entries.buckets).values()
            for member_record in group
            if peer_status.get(member_record.instance_id, (-1, False))
            < (member_record.incarnation, member_record.leaving)
        )
        allowed = self._known.gossip.budget.available_entries()
        updates = self._known.gossip.updates(itertools.islice(missing, allowed))
        self._known.gossip.budget.spend_entries(len(updates))
        return updates

    def _death_claims(
        self,
        updates: Iterable[kinds.MemberUpdate],
    ) -> tuple[kinds.MemberUpdate, ...]:
        dead_here = (
            member_record
            for update in updates
            if (member_record := self._known.table.get(update.instance_id))
            and member_record.is_dead
            and member_record.incarnation >= update.incarnation
        )
        return self._known.gossip.updates(dead_here)

    def _send_patch(
        self,
        sender: messages.Sender,
        updates: tuple[kinds.MemberUpdate, ...],
        death_claims: tuple[kinds.MemberUpdate, ...],
    ) -> None:
        if updates or death_claims:
            self._network.send(
                sender.address,
                kinds.SyncPatch(updates=updates, death_claims=death_claims),
            )
