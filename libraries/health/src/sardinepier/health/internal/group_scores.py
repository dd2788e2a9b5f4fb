"""From scores to a verdict: is a target sick, and for whom."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.health import change_detection, peer_evidence
from sardinepier.health.internal import others_baseline, tracked_target, voting

SUSPICION: Final = 0.125
_DOUBT_SCORE: Final = 0.25
_FEWEST_TO_DOUBT: Final = 3
_MS_PER_S: Final = 1000
_USUAL: Final = 0.7
"""A target is set against the level which this share of others is below."""

_STAND_OUT: Final = 2.0
"""How far above the others' usual level a target must be."""

_VOTING: Final = 0.35
"""Above the score that one chance failure leaves behind."""

_VOTES_HALF_LIFE_S: Final = 3.0
"""Votes count half after so long, lest old ones outvote a new fault."""

_ACCUSING: Final = 5.0
"""An observer accuses a target of a hang from so much evidence on."""

_STALE_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The observers that judge together at this moment."""

    own: ids.InstanceId
    peers: Mapping[ids.InstanceId, peer_evidence.Peer]
    accusing: Mapping[ids.InstanceId, peer_evidence.Peer]
    """Peers that said a moment ago that requests of theirs are overdue."""

    ejecting: Sequence[peer_evidence.Peer]
    """Peers that have ejected some target."""

    def size(self) -> int:
        """Return how many observers there are, this daemon among them."""
        return len(self.peers) + 1


def group_of(
    own: ids.InstanceId,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    now_s: float,
) -> Group:
    """Return the group of this daemon and the peers heard lately."""
    return Group(
        own=own,
        peers=peers,
        accusing={
            observer: peer
            for observer, peer in peers.items()
            if peer.overdue and now_s - peer.received_s < _STALE_S
        },
        ejecting=[peer for peer in peers.values() if peer.ejections],
    )


def update(
    tracked_targets: Sequence[tracked_target.TrackedTarget],
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> None:
    """Bring every target's scores up to date, relative to the others.

    When all targets look bad at once, each must stand out the more: their
    scores then differ by chance the more, the higher they all are.
    """
    levels = [_levels(one, group, now_s, limits) for one in tracked_targets]
    usual_own = others_baseline.OthersQuantile(
        [own for own, _ in levels], _USUAL
    )
    usual_group = others_baseline.OthersQuantile(
        [pooled for _, pooled in levels],
        _USUAL,
    )
    for one, (own, pooled) in zip(tracked_targets, levels, strict=True):
        suspicion = one.suspicion
        suspicion.own_level = own / limits.threshold
        suspicion.own_score = _standing_out(
            own,
            usual_own.without(own),
            limits.threshold,
        )
        suspicion.own_loss_score = _standing_out(
            _loss_level(suspicion),
            usual_own.without(own),
            limits.threshold,
        )
        suspicion.group_score = _standing_out(
            pooled,
            usual_group.without(pooled),
            limits.threshold,
        )
        _update_since(suspicion, now_s)
        suspicion.vote = tracked_target.Vote.OPEN
        if suspicion.group_score >= 1:
            overdue = overdue_by_observer(one, group)
            accusers = {
                observer
                for observer, ratio in overdue.items()
                if ratio >= _ACCUSING
            }
            suspicion.vote = voting.vote(
                one,
                group.peers,
                accusers,
                now_s,
            )
        if suspicion.vote is tracked_target.Vote.CUT_LINK:
            _strike_cut_links(suspicion)


def _strike_cut_links(suspicion: tracked_target.Suspicion) -> None:
    """Take out of the group's evidence what cut links explain.

    It would else outlast the votes: its observers send no more, and the
    others' good answers take it down but slowly.
    """
    for observer, votes in suspicion.votes.items():
        if 2 * votes.bad > votes.attempts:
            for cusum in suspicion.group:
                cusum.strike(observer)


def _loss_level(suspicion: tracked_target.Suspicion) -> float:
    failing = max(
        suspicion.own[place].level for place in change_detection.FAILING
    )
    return max(failing, suspicion.overdue)


def _standing_out(level: float, usual: float, threshold: float) -> float:
    return (level - _STAND_OUT * usual) / (threshold + usual)


def doubts_itself(
    tracked_targets: Sequence[tracked_target.TrackedTarget],
) -> bool:
    """Return whether most targets look bad to this daemon alone."""
    active = [
        one
        for one in tracked_targets
        if one.recent.attempts >= 1 or one.suspicion.overdue
    ]
    bad = [one for one in active if one.suspicion.own_level >= _DOUBT_SCORE]
    return len(active) >= _FEWEST_TO_DOUBT and 2 * len(bad) > len(active)


def peers_ejecting(
    one: tracked_target.TrackedTarget, group: Group, now_s: float
) -> int:
    """Return how many peers have this incarnation ejected."""
    count = 0
    for peer in group.ejecting:
        notice = peer.ejections.get(one.target_id)
        if notice is None or notice.incarnation != one.identity.incarnation:
            continue
        count += notice.deadline_s > now_s
    return count


def rank(one: tracked_target.TrackedTarget, group: Group) -> float:
    """Return the score by which daemons order ejections.

    An ejection in force keeps the score it was made with, so that the order
    is the same at all who heard of it.
    """
    scores = [max(one.ejected_score, one.suspicion.score())]
    for peer in group.ejecting:
        notice = peer.ejections.get(one.target_id)
        if notice and notice.incarnation == one.identity.incarnation:
            scores.append(notice.score)
    return max(scores)


def overdue_by_observer(
    one: tracked_target.TrackedTarget,
    group: Group,
) -> dict[ids.InstanceId, float]:
    """Return each observer's evidence of requests overdue in flight."""
    overdue = {}
    if one.suspicion.overdue:
        overdue[group.own] = one.suspicion.overdue
    for observer, peer in group.accusing.items():
        if one.target_id not in peer.overdue:
            continue
        row = peer.rows[one.target_id]
        if row.incarnation == one.identity.incarnation:
            overdue[observer] = row.overdue
    return overdue


def _levels(
    one: tracked_target.TrackedTarget,
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> tuple[float, float]:
    """Return the levels of the own and of the group's evidence."""
    suspicion = one.suspicion
    if suspicion.pending:
        _add_pending(suspicion, group.own, now_s, limits)
    own = max(cusum.level for cusum in suspicion.own)
    pooled = max(
        cusum.capped(limits.observer_limit) for cusum in suspicion.group
    )
    suspicion.finished_level = pooled / limits.threshold
    if not suspicion.overdue and not group.accusing:
        return own, pooled
    overdue = overdue_by_observer(one, group)
    if not overdue:
        return own, pooled
    place = change_detection.Hypothesis.MUCH_SLOWER
    age_ms = _overdue_ms(one, group)
    own_slow = _with_overdue(
        suspicion.own[place],
        {group.own: suspicion.overdue},
        _Moment(now_s, suspicion.overdue_ms, math.inf),
        limits,
    )
    pooled_slow = _with_overdue(
        suspicion.group[place],
        overdue,
        _Moment(now_s, age_ms, limits.observer_limit),
        limits,
    )
    return max(own, own_slow), max(pooled, pooled_slow)


@dataclasses.dataclass(frozen=True, slots=True)
class _Moment:
    now_s: float
    age_ms: float
    observer_limit: float


def _with_overdue(
    cusum: change_detection.Cusum,
    overdue: Mapping[ids.InstanceId, float],
    moment: _Moment,
    limits: change_detection.Limits,
) -> float:
    """Return the level if the overdue requests ended now.

    Until the oldest has waited for longer than a tolerated pause, they may
    add no more than what a pause explains.
    """
    parts = cusum.by_observer
    total = sum(
        min(
            moment.observer_limit,
            parts.get(observer, 0.0) + overdue.get(observer, 0.0),
        )
        for observer in parts.keys() | overdue.keys()
    )
    if moment.age_ms < limits.pause_s * _MS_PER_S:
        room = cusum.allowance.left(moment.now_s, limits)
        total = min(total, cusum.level + room)
    return total


def _overdue_ms(one: tracked_target.TrackedTarget, group: Group) -> float:
    ages_ms = [one.suspicion.overdue_ms]
    for peer in group.accusing.values():
        if one.target_id in peer.overdue:
            ages_ms.append(peer.rows[one.target_id].overdue_ms)
    return max(ages_ms)


def _add_pending(
    suspicion: tracked_target.Suspicion,
    own: ids.InstanceId,
    now_s: float,
    limits: change_detection.Limits,
) -> None:
    pending = suspicion.pending
    own_ratios = pending.get(own)
    for place, cusum in enumerate(suspicion.group):
        ratios = {
            observer: values[place] for observer, values in pending.items()
        }
        cusum.add(ratios, now_s, limits)
        if own_ratios is not None:
            suspicion.own[place].add({own: own_ratios[place]}, now_s, limits)
    pending.clear()


def _update_since(suspicion: tracked_target.Suspicion, now_s: float) -> None:
    score = suspicion.score()
    if score < SUSPICION:
        suspicion.since_s = None
    elif suspicion.since_s is None:
        suspicion.since_s = now_s
    if score < _VOTING:
        suspicion.voting_since_s = None
        suspicion.votes.clear()
    elif suspicion.voting_since_s is None:
        suspicion.voting_since_s = now_s
        suspicion.votes_halved_s = now_s
    elif now_s - suspicion.votes_halved_s >= _VOTES_HALF_LIFE_S:
        suspicion.votes_halved_s = now_s
        for votes in suspicion.votes.values():
            votes.halve()
