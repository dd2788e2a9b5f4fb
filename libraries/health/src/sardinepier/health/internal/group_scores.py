"""Scores each target from this daemon's and the group's evidence."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.health import change_detection, peer_evidence
from sardinepier.health.internal import others_baseline, tracked_target, voting

SUSPECT_SCORE: Final = 0.125
_DEGRADED_LEVEL: Final = 0.25
_MIN_ACTIVE_TARGETS: Final = 3
_MS_PER_S: Final = 1000
_TYPICAL_QUANTILE: Final = 0.7
"""A target is compared with this quantile of the other targets' levels."""

_TYPICAL_LEVEL_FACTOR: Final = 2.0
"""Only evidence above this multiple of the others' typical level counts."""

_VOTING_SCORE: Final = 0.35
"""Higher than the score after a single random failure."""

_VOTES_HALF_LIFE_S: Final = 3.0
"""Votes are halved after this time, so old ones do not outvote a new fault."""

_MIN_OVERDUE_VOTE: Final = 5.0
"""Overdue evidence from which on an observer votes that a target hangs."""

_OVERDUE_VALID_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The observers that currently judge the targets together."""

    own: ids.InstanceId
    peers: Mapping[ids.InstanceId, peer_evidence.Peer]
    with_overdue: Mapping[ids.InstanceId, peer_evidence.Peer]
    """Peers that have just reported overdue requests."""

    ejecting: Sequence[peer_evidence.Peer]
    """Peers that have ejected at least one target."""

    def size(self) -> int:
        """Return the number of observers, including this daemon."""
        return len(self.peers) + 1


def group_of(
    own: ids.InstanceId,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    now_s: float,
) -> Group:
    """Return the group of this daemon and its live peers."""
    return Group(
        own=own,
        peers=peers,
        with_overdue={
            observer: peer
            for observer, peer in peers.items()
            if peer.overdue and now_s - peer.received_s < _OVERDUE_VALID_S
        },
        ejecting=[peer for peer in peers.values() if peer.ejections],
    )


def update(
    tracked_targets: Sequence[tracked_target.TrackedTarget],
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> None:
    """Update the scores of all targets, relative to the other targets.

    When all targets have high levels, a target must exceed the others by
    more, because random differences grow with the levels.
    """
    levels = [
        _own_and_group_levels(target, group, now_s, limits)
        for target in tracked_targets
    ]
    typical_own = others_baseline.OthersQuantile(
        [own for own, _ in levels], _TYPICAL_QUANTILE
    )
    typical_group = others_baseline.OthersQuantile(
        [pooled for _, pooled in levels],
        _TYPICAL_QUANTILE,
    )
    for target, (own, pooled) in zip(tracked_targets, levels, strict=True):
        suspicion = target.suspicion
        suspicion.own_level = own / limits.threshold
        suspicion.own_score = _relative_score(
            own,
            typical_own.without(own),
            limits.threshold,
        )
        suspicion.own_loss_score = _relative_score(
            _loss_level(suspicion),
            typical_own.without(own),
            limits.threshold,
        )
        suspicion.group_score = _relative_score(
            pooled,
            typical_group.without(pooled),
            limits.threshold,
        )
        _update_voting(suspicion, now_s)
        suspicion.vote = tracked_target.GroupVote.OPEN
        if suspicion.group_score >= 1:
            overdue = overdue_by_observer(target, group)
            overdue_observers = {
                observer
                for observer, ratio in overdue.items()
                if ratio >= _MIN_OVERDUE_VOTE
            }
            suspicion.vote = voting.vote(
                target,
                group.peers,
                overdue_observers,
                now_s,
            )
        if suspicion.vote is tracked_target.GroupVote.CUT_LINK:
            _remove_cut_links(suspicion)


def _remove_cut_links(suspicion: tracked_target.Suspicion) -> None:
    """Remove evidence that a cut link explains from the group's evidence.

    Otherwise it would outlast the votes: its observers send no more requests,
    and good answers of the others reduce it only slowly.
    """
    for observer, votes in suspicion.votes.items():
        if 2 * votes.bad > votes.attempts:
            for cusum in suspicion.group:
                cusum.remove_observer(observer)


def _loss_level(suspicion: tracked_target.Suspicion) -> float:
    failing = max(
        suspicion.own[index].level for index in change_detection.FAILING
    )
    return max(failing, suspicion.overdue)


def _relative_score(level: float, typical: float, threshold: float) -> float:
    return (level - _TYPICAL_LEVEL_FACTOR * typical) / (threshold + typical)


def is_degraded(
    tracked_targets: Sequence[tracked_target.TrackedTarget],
) -> bool:
    """Return whether most targets look bad by this daemon's own evidence."""
    active = [
        target
        for target in tracked_targets
        if target.recent.attempts >= 1 or target.suspicion.overdue
    ]
    bad = [
        target
        for target in active
        if target.suspicion.own_level >= _DEGRADED_LEVEL
    ]
    return len(active) >= _MIN_ACTIVE_TARGETS and 2 * len(bad) > len(active)


def peers_ejecting(
    target: tracked_target.TrackedTarget, group: Group, now_s: float
) -> int:
    """Return how many peers have ejected this incarnation."""
    count = 0
    for peer in group.ejecting:
        notice = peer.ejections.get(target.target_id)
        if notice is None or notice.incarnation != target.identity.incarnation:
            continue
        count += notice.deadline_s > now_s
    return count


def rank(target: tracked_target.TrackedTarget, group: Group) -> float:
    """Return the score by which daemons order ejections.

    An ejection in force keeps its original score, so that all daemons that
    know of it use the same order.
    """
    scores = [max(target.ejected_score, target.suspicion.score())]
    for peer in group.ejecting:
        notice = peer.ejections.get(target.target_id)
        if notice and notice.incarnation == target.identity.incarnation:
            scores.append(notice.score)
    return max(scores)


def overdue_by_observer(
    target: tracked_target.TrackedTarget,
    group: Group,
) -> dict[ids.InstanceId, float]:
    """Return each observer's evidence of overdue requests in flight."""
    overdue = {}
    if target.suspicion.overdue:
        overdue[group.own] = target.suspicion.overdue
    for observer, peer in group.with_overdue.items():
        if target.target_id not in peer.overdue:
            continue
        row = peer.rows[target.target_id]
        if row.incarnation == target.identity.incarnation:
            overdue[observer] = row.overdue
    return overdue


def _own_and_group_levels(
    target: tracked_target.TrackedTarget,
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> tuple[float, float]:
    """Return the levels of this daemon's and of the group's evidence."""
    suspicion = target.suspicion
    if suspicion.pending:
        _add_pending(suspicion, group.own, now_s, limits)
    own = max(cusum.level for cusum in suspicion.own)
    pooled = max(
        cusum.capped(limits.observer_limit) for cusum in suspicion.group
    )
    suspicion.finished_level = pooled / limits.threshold
    if not suspicion.overdue and not group.with_overdue:
        return own, pooled
    overdue = overdue_by_observer(target, group)
    if not overdue:
        return own, pooled
    index = change_detection.Hypothesis.MUCH_SLOWER
    overdue_ms = _max_overdue_ms(target, group)
    own_slow = _with_overdue(
        suspicion.own[index],
        {group.own: suspicion.overdue},
        _Moment(now_s, suspicion.overdue_ms, math.inf),
        limits,
    )
    pooled_slow = _with_overdue(
        suspicion.group[index],
        overdue,
        _Moment(now_s, overdue_ms, limits.observer_limit),
        limits,
    )
    return max(own, own_slow), max(pooled, pooled_slow)


@dataclasses.dataclass(frozen=True, slots=True)
class _Moment:
    now_s: float
    overdue_ms: float
    observer_limit: float


def _with_overdue(
    cusum: change_detection.Cusum,
    overdue: Mapping[ids.InstanceId, float],
    moment: _Moment,
    limits: change_detection.Limits,
) -> float:
    """Return the level that includes the overdue requests' evidence.

    Until the oldest request has been overdue for a tolerated pause, it adds
    at most the remaining pause allowance.
    """
    parts = cusum.by_observer
    total = sum(
        min(
            moment.observer_limit,
            parts.get(observer, 0.0) + overdue.get(observer, 0.0),
        )
        for observer in parts.keys() | overdue.keys()
    )
    if moment.overdue_ms < limits.pause_s * _MS_PER_S:
        allowance = cusum.allowance.available(moment.now_s, limits)
        total = min(total, cusum.level + allowance)
    return total


def _max_overdue_ms(
    target: tracked_target.TrackedTarget, group: Group
) -> float:
    ages_ms = [target.suspicion.overdue_ms]
    for peer in group.with_overdue.values():
        if target.target_id in peer.overdue:
            ages_ms.append(peer.rows[target.target_id].overdue_ms)
    return max(ages_ms)


def _add_pending(
    suspicion: tracked_target.Suspicion,
    own: ids.InstanceId,
    now_s: float,
    limits: change_detection.Limits,
) -> None:
    pending = suspicion.pending
    own_ratios = pending.get(own)
    for index, cusum in enumerate(suspicion.group):
        ratios = {
            observer: values[index] for observer, values in pending.items()
        }
        cusum.add(ratios, now_s, limits)
        if own_ratios is not None:
            suspicion.own[index].add({own: own_ratios[index]}, now_s, limits)
    pending.clear()


def _update_voting(suspicion: tracked_target.Suspicion, now_s: float) -> None:
    score = suspicion.score()
    if score < SUSPECT_SCORE:
        suspicion.since_s = None
    elif suspicion.since_s is None:
        suspicion.since_s = now_s
    if score < _VOTING_SCORE:
        suspicion.voting_since_s = None
        suspicion.votes.clear()
    elif suspicion.voting_since_s is None:
        suspicion.voting_since_s = now_s
        suspicion.votes_halved_s = now_s
    elif now_s - suspicion.votes_halved_s >= _VOTES_HALF_LIFE_S:
        suspicion.votes_halved_s = now_s
        for votes in suspicion.votes.values():
            votes.halve()
