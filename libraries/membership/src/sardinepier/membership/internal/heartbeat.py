"""Probes, acks and the probes of others on this daemon's behalf."""

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
_ASKS_PER_INTERVAL: Final = 4
_CONTACTS_WHEN_ALONE: Final = 3
_UNNAMED: Final = ids.InstanceId('')


class Heartbeat:
    """Finds out who is alive, one :meth:`tick` each interval."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        mark_source: Callable[[], marks.ConfigurationMark],
    ) -> None:
        """Send over ``peer_network``; the owner subscribes the handlers."""
        self._known = known
        self._network = peer_network
        self._clock = time_source
        self._random = random_source
        self._bounds = known.bounds
        self._mark_source = mark_source
        self._doubt = local_health.LocalHealth()
        self._watches = watches.Watches(_CHECKS_PER_TICK)
        self._pending = pending.PendingProbes(_MAX_PENDING)
        self._doubted: dict[ids.InstanceId, kinds.MemberUpdate] = {}
        self.recent_answers = recent_answers.RecentAnswers()
        self._choice = rings.Choice(known.table)
        self._contact_pace = jittered_interval.JitteredInterval(
            lambda: self._bounds.current.lost_retry_s,
            time_source,
            random_source,
        )
        self._next_ask_s = time_source.monotonic_s()

    def resume_after_pause(self) -> None:
        """Start anew after a pause: whatever was missed says nothing."""
        self._doubt.paused()
        self._pending.clear()
        self._watches.reset()

    def tick(self) -> None:
        """Weigh the last interval's answers and send the next probes."""
        self._pending.expire(self._clock.monotonic_s())
        self._weigh()
        self._known.expire()
        self._watches.monitor(
            self._choice.current(self._bounds.current.zone_peers)
        )
        self._probe_watched()
        self._probe_contacts()

    def probe_again(self) -> None:
        """Probe the watched peers once more within this interval.

        Whoever does not answer this is not held to have missed a heartbeat:
        the next tick may come before the answer can. More often than a few
        times an interval nothing is sent.
        """
        now_s = self._clock.monotonic_s()
        interval_s = self._bounds.current.heartbeat_interval_s
        next_s = now_s + interval_s / _ASKS_PER_INTERVAL
        if now_s < min(self._next_ask_s, next_s):
            return
        self._next_ask_s = next_s
        for instance_id in self._watches.names():
            self._probe(instance_id)

    def check(self, claim: kinds.MemberUpdate) -> None:
        """Probe a member that another daemon holds for dead.

        The claim goes to the member, which refutes it if it lives.
        """
        held = self._known.table.get(claim.instance_id)
        if held is None or held.is_dead:
            return
        if claim.incarnation < held.incarnation:
            return
        if len(self._doubted) < watches.MAX_CHECKS:
            self._doubted[claim.instance_id] = claim
            self._watches.check(claim.instance_id)

    def on_probe(self, sender: messages.Sender, probe: kinds.Probe) -> None:
        """Answer, with what the prober should know first."""
        meant = probe.target == self._known.table.own.instance_id
        if not self._known.gossip.budget.take_ack(to_monitor=meant):
            return
        first = self._known.gossip.claims_about(sender.instance_id)
        stranger = self._known.table.get(sender.instance_id) is None
        if stranger:
            # A way in, should the seeds be busy with the whole fleet.
            self._known.contacts.remember(sender.address)
        if not meant:
            first = (*self._known.gossip.greeting(self._random), *first)
        self._network.send(
            sender.address,
            kinds.Ack(
                sequence=probe.sequence,
                mark=self._mark_source(),
                digest=self._known.table.digests.total(),
                stranger=stranger,
                updates=(*first, *self._known.gossip.next_updates()),
            ),
        )

    def on_ack(self, sender: messages.Sender, ack: kinds.Ack) -> None:
        """Note who answered which probe."""
        if ack.stranger:
            self._known.gossip.introduce()
        probe = self._pending.close(ack.sequence)
        if probe is None or probe.address != sender.address:
            return
        if probe.requester is None:
            self.recent_answers.add(sender.instance_id, probe.sent_at_s)
            self._answered(probe, sender.instance_id)
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
        """Probe a member for a peer, within the bound of one interval."""
        if not self._known.gossip.budget.take_relay():
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
        """Note that a peer reached a member which this daemon did not."""
        probe = self._pending.find(answer.sequence)
        if probe is not None:
            self._answered(probe, answer.answered_by)

    def _answered(
        self,
        probe: pending.PendingProbe,
        answered_by: ids.InstanceId,
    ) -> None:
        if not probe.target:
            return
        if probe.target == answered_by:
            self._watches.answer(probe.target)
            self._doubted.pop(probe.target, None)
        else:
            self._known.mark_replaced(probe.target, answered_by)

    def _weigh(self) -> None:
        findings = self._watches.conclude()
        self._doubt.observe(len(findings.answered), len(findings.missed))
        for overdue in self._watches.overdue(self._doubt.level):
            self._known.suspect(overdue)
            self._watches.suspected(overdue)
            self._doubted.pop(overdue, None)
        for missed in findings.missed:
            self._ask_others(missed)

    def _ask_others(self, instance_id: ids.InstanceId) -> None:
        held = self._known.table.get(instance_id)
        if held is None or held.is_dead:
            return
        request = kinds.IndirectProbe(
            sequence=self._watches.sequence(instance_id),
            target=instance_id,
            address=held.identity.peer_address,
        )
        chosen = indirect.choose(
            self._known.table,
            instance_id,
            self._bounds.current.indirect_peers,
            self._random,
        )
        for helper in chosen:
            self._network.send(helper.identity.peer_address, request)

    def _probe_watched(self) -> None:
        for instance_id in self._watches.due():
            sequence = self._probe(instance_id)
            if sequence is None:
                self._watches.drop(instance_id)
                self._doubted.pop(instance_id, None)
            else:
                self._watches.sent(instance_id, sequence)

    def _probe(self, instance_id: ids.InstanceId) -> int | None:
        held = self._known.table.get(instance_id)
        if held is None or held.is_dead:
            return None
        claim = self._doubted.get(held.instance_id)
        first = (claim,) if claim else ()
        return self._send_probe(
            held.instance_id,
            held.identity.peer_address,
            (*first, *self._known.gossip.claims_about(held.instance_id)),
        )

    def _probe_contacts(self) -> None:
        alone = self._known.table.live_count == 1
        if not alone and not self._contact_pace.is_due():
            return
        self._contact_pace.renew()
        count = _CONTACTS_WHEN_ALONE if alone else 1
        chosen = self._known.contacts.choose(count, self._known.table.live_at)
        for address in chosen:
            first = self._known.gossip.introduction(address)
            self._send_probe(_UNNAMED, address, first)

    def _send_probe(
        self,
        target: ids.InstanceId,
        address: messages.PeerAddress,
        first: tuple[kinds.MemberUpdate, ...],
        requester: pending.Requester | None = None,
    ) -> int:
        now_s = self._clock.monotonic_s()
        interval_s = self._bounds.current.heartbeat_interval_s
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
                updates=(*first, *self._known.gossip.next_updates()),
            ),
        )
        return sequence
