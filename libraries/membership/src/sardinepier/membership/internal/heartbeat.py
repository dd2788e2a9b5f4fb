"""Failure detection with direct and indirect probes."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.membership import kinds, marks
from sardinepier.membership.internal import (
    indirect,
    jittered_interval,
    knowledge,
    local_health,
    pending,
    recent_answers,
    rings,
    watches,
)
from sardinepier.wire import messages, network

_CHECKS_PER_TICK: Final = 4
_MAX_PENDING: Final = 512
_PENDING_INTERVALS: Final = 8
_EXTRA_ROUNDS_PER_INTERVAL: Final = 4
_CONTACTS_WHEN_ALONE: Final = 3
_UNKNOWN_INSTANCE: Final = ids.InstanceId('')


class Heartbeat:
    """Probes peers and evaluates their answers, once per :meth:`tick`."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        mark_source: Callable[[], marks.ConfigurationMark],
    ) -> None:
        """Send over ``peer_network``; the caller subscribes the handlers."""
        self._known = known
        self._network = peer_network
        self._clock = time_source
        self._random = random_source
        self._options = known.options
        self._mark_source = mark_source
        self._local_health = local_health.LocalHealth()
        self._watches = watches.Watches(_CHECKS_PER_TICK)
        self._pending = pending.PendingProbes(_MAX_PENDING)
        self._death_claims: dict[ids.InstanceId, kinds.MemberUpdate] = {}
        self.recent_answers = recent_answers.RecentAnswers()
        self._monitored_peers = rings.MonitoredPeers(known.table)
        self._contact_interval = jittered_interval.JitteredInterval(
            lambda: self._options.current.contact_retry_s,
            time_source,
            random_source,
        )
        self._next_extra_round_s = time_source.monotonic_s()

    def resume_after_pause(self) -> None:
        """Discard missed heartbeats: a pause here says nothing about peers."""
        self._local_health.mark_paused()
        self._pending.clear()
        self._watches.reset()

    def tick(self) -> None:
        """Evaluate the last interval's answers and send the next probes."""
        self._pending.expire(self._clock.monotonic_s())
        self._evaluate_interval()
        self._known.expire()
        self._watches.monitor(
            self._monitored_peers.current(
                self._options.current.zone_peers,
                self._options.current.zone_links,
            )
        )
        self._probe_watched()
        self._probe_contacts()

    def probe_again(self) -> None:
        """Probe the watched peers once more within this interval.

        A missing answer does not count as a missed heartbeat, because the
        next tick may come before the answer can arrive. Calls beyond
        ``_EXTRA_ROUNDS_PER_INTERVAL`` per interval send nothing.
        """
        now_s = self._clock.monotonic_s()
        interval_s = self._options.current.heartbeat_interval_s
        next_s = now_s + interval_s / _EXTRA_ROUNDS_PER_INTERVAL
        if now_s < min(self._next_extra_round_s, next_s):
            return
        self._next_extra_round_s = next_s
        for instance_id in self._watches.watched_ids():
            self._probe(instance_id)

    def check(self, claim: kinds.MemberUpdate) -> None:
        """Probe a member that another daemon considers dead.

        The probe carries the claim, so that the member can refute it.
        """
        member_record = self._known.table.get(claim.instance_id)
        if member_record is None or member_record.is_dead:
            return
        if claim.incarnation < member_record.incarnation:
            return
        if len(self._death_claims) < watches.MAX_CHECKS:
            self._death_claims[claim.instance_id] = claim
            self._watches.check(claim.instance_id)

    def on_probe(self, sender: messages.Sender, probe: kinds.Probe) -> None:
        """Answer a probe, first with claims that concern the prober."""
        names_this_instance = probe.target == self._known.table.own.instance_id
        if not self._known.gossip.budget.take_ack(
            names_this_instance=names_this_instance
        ):
            return
        first_updates = self._known.gossip.claims_about(sender.instance_id)
        sender_unknown = self._known.table.get(sender.instance_id) is None
        if sender_unknown:
            # Another address to join by, in case the seeds are overloaded.
            self._known.contacts.add_unreachable(sender.address)
        if not names_this_instance:
            first_updates = (
                *self._known.gossip.first_contact_updates(
                    sender.instance_id,
                    self._random,
                ),
                *first_updates,
            )
        self._network.send(
            sender.address,
            kinds.Ack(
                sequence=probe.sequence,
                mark=self._mark_source(),
                digest=self._known.table.digests.total(),
                sender_unknown=sender_unknown,
                updates=(*first_updates, *self._known.gossip.next_updates()),
            ),
        )

    def on_ack(self, sender: messages.Sender, ack: kinds.Ack) -> None:
        """Record the answer to a probe, or forward it to the requester."""
        if ack.sender_unknown:
            self._known.gossip.announce_self()
        probe = self._pending.close(ack.sequence)
        if probe is None or probe.address != sender.address:
            return
        if probe.requester is None:
            self.recent_answers.add(sender.instance_id, probe.sent_at_s)
            self._record_answer(probe, sender.instance_id)
        else:
            self._network.send(
                probe.requester.address,
                kinds.IndirectAck(
                    probe.requester.sequence,
                    sender.instance_id,
                ),
            )

    def on_indirect_probe(
        self,
        sender: messages.Sender,
        request: kinds.IndirectProbe,
    ) -> None:
        """Probe a member on behalf of a peer, within the rate limit."""
        if not self._known.gossip.budget.take_indirect_probe():
            return
        requester = pending.Requester(sender.address, request.sequence)
        self._send_probe(
            request.target,
            request.address,
            self._known.gossip.claims_about(request.target),
            requester,
        )

    def on_indirect_ack(
        self,
        sender: messages.Sender,
        answer: kinds.IndirectAck,
    ) -> None:
        """Record that a peer reached a member on this daemon's behalf."""
        probe = self._pending.find(answer.sequence)
        if probe is not None:
            self._record_answer(probe, answer.answered_by)

    def _record_answer(
        self,
        probe: pending.PendingProbe,
        answered_by: ids.InstanceId,
    ) -> None:
        if not probe.target:
            return
        if probe.target == answered_by:
            self._watches.record_answer(probe.target)
            self._death_claims.pop(probe.target, None)
        else:
            self._known.mark_replaced(probe.target, answered_by)

    def _evaluate_interval(self) -> None:
        outcome = self._watches.close_interval()
        # A lost zone is no sign that this daemon is at fault.
        self._local_health.record_interval(
            len(outcome.answered),
            len(outcome.missed) - outcome.zone_checks_missed,
        )
        suspected = self._watches.overdue(self._local_health.extra_misses)
        if self._options.current.zone_links:
            # The few links to a zone that lost power would find its members
            # one after another. The number of checks grows with each round.
            self._watches.check_zone(
                rings.silent_zone_members(
                    self._known.table,
                    suspected,
                    outcome.answered,
                    self._random,
                ),
            )
        for overdue in suspected:
            self._known.suspect(overdue)
            self._watches.record_suspicion(overdue)
            self._death_claims.pop(overdue, None)
        for missed in outcome.missed:
            self._request_indirect_probes(missed)

    def _request_indirect_probes(self, instance_id: ids.InstanceId) -> None:
        member_record = self._known.table.get(instance_id)
        if member_record is None or member_record.is_dead:
            return
        request = kinds.IndirectProbe(
            sequence=self._watches.sequence(instance_id),
            target=instance_id,
            address=member_record.identity.peer_address,
        )
        chosen = indirect.choose(
            self._known.table,
            instance_id,
            self._options.current.indirect_peers,
            self._random,
        )
        for peer in chosen:
            self._network.send(peer.identity.peer_address, request)

    def _probe_watched(self) -> None:
        for instance_id in self._watches.start_interval():
            sequence = self._probe(instance_id)
            if sequence is None:
                self._watches.cancel_check(instance_id)
                self._death_claims.pop(instance_id, None)
            else:
                self._watches.record_probe(instance_id, sequence)

    def _probe(self, instance_id: ids.InstanceId) -> int | None:
        member_record = self._known.table.get(instance_id)
        if member_record is None or member_record.is_dead:
            return None
        claim = self._death_claims.get(member_record.instance_id)
        first_updates = (claim,) if claim else ()
        return self._send_probe(
            member_record.instance_id,
            member_record.identity.peer_address,
            (
                *first_updates,
                *self._known.gossip.claims_about(member_record.instance_id),
            ),
        )

    def _probe_contacts(self) -> None:
        is_alone = self._known.table.live_count == 1
        if not is_alone and not self._contact_interval.is_due():
            return
        self._contact_interval.schedule_next()
        count = _CONTACTS_WHEN_ALONE if is_alone else 1
        chosen = self._known.contacts.choose(count, self._known.table.live_at)
        for address in chosen:
            first_updates = self._known.gossip.contact_probe_updates(address)
            self._send_probe(_UNKNOWN_INSTANCE, address, first_updates)

    def _send_probe(
        self,
        target: ids.InstanceId,
        address: messages.PeerAddress,
        first_updates: tuple[kinds.MemberUpdate, ...],
        requester: pending.Requester | None = None,
    ) -> int:
        now_s = self._clock.monotonic_s()
        interval_s = self._options.current.heartbeat_interval_s
        sequence = self._pending.open(
            pending.PendingProbe(
                target,
                address,
                sent_at_s=now_s,
                deadline_s=now_s + _PENDING_INTERVALS * interval_s,
                requester=requester,
            ),
        )
        self._network.send(
            address,
            kinds.Probe(
                sequence=sequence,
                target=target,
                mark=self._mark_source(),
                updates=(*first_updates, *self._known.gossip.next_updates()),
            ),
        )
        return sequence
