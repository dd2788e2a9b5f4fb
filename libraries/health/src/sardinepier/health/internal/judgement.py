"""From scores to a verdict: is a target sick, and for whom."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.health import change_detection, pooling
from sardinepier.health.internal import relative, tracked

SUSPICION: Final = 0.125
_CUT_PROBABILITY: Final = 0.01
_LINK_SHARE: Final = 3
_DOUBT_SCORE: Final = 0.25
_FEWEST_TO_DOUBT: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The observers that judge together at this moment."""

    own: ids.InstanceId
    peers: Mapping[ids.InstanceId, pooling.Peer]

    def size(self) -> int:
        """Return how many observers there are, this daemon among them."""
        return len(self.peers) + 1


def update(
    tracked_targets: Sequence[tracked.Tracked],
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> None:
    """Bring every target's scores up to date, relative to the others."""
    levels = [_levels(one, group, now_s, limits) for one in tracked_targets]
    own_median = relative.OthersMedian([own for own, _ in levels])
    group_median = relative.OthersMedian([pooled for _, pooled in levels])
    for one, (own, pooled) in zip(tracked_targets, levels, strict=True):
        suspicion = one.suspicion
        above_own = own - own_median.without(own)
        above_group = pooled - group_median.without(pooled)
        suspicion.own_level = own / limits.threshold
        suspicion.own_score = above_own / limits.threshold
        suspicion.group_score = above_group / limits.threshold
        _update_votes(suspicion, now_s)
        suspicion.cut_link = _is_cut_link(one, group)


def doubts_itself(tracked_targets: Sequence[tracked.Tracked]) -> bool:
    """Return whether most targets look bad to this daemon alone."""
    active = [
        one
        for one in tracked_targets
        if one.recent.attempts >= 1 or one.suspicion.overdue
    ]
    bad = [one for one in active if one.suspicion.own_level >= _DOUBT_SCORE]
    return len(active) >= _FEWEST_TO_DOUBT and 2 * len(bad) > len(active)


def is_confirmed(suspicion: tracked.Suspicion, group: Group) -> bool:
    """Return whether half the peers reported since suspicion arose."""
    since_s = suspicion.since_s
    if since_s is None:
        return False
    heard = sum(peer.heard_s > since_s for peer in group.peers.values())
    return 2 * heard >= len(group.peers)


def peers_ejecting(one: tracked.Tracked, group: Group, now_s: float) -> int:
    """Return how many peers have this incarnation ejected."""
    count = 0
    for peer in group.peers.values():
        notice = peer.ejections.get(one.target_id)
        if notice is None or notice.incarnation != one.identity.incarnation:
            continue
        count += notice.deadline_s > now_s
    return count


def _levels(
    one: tracked.Tracked,
    group: Group,
    now_s: float,
    limits: change_detection.Limits,
) -> tuple[float, float]:
    suspicion = one.suspicion
    pending = suspicion.pending
    if pending:
        for hypothesis in change_detection.HYPOTHESES:
            ratios = {
                observer: values[hypothesis]
                for observer, values in pending.items()
            }
            suspicion.group[hypothesis].add(ratios, now_s, limits)
            own_ratio = ratios.get(group.own)
            if own_ratio is not None:
                suspicion.own[hypothesis].add(
                    {group.own: own_ratio},
                    now_s,
                    limits,
                )
        pending.clear()
    own = max(cusum.level for cusum in suspicion.own)
    slowest = suspicion.own[change_detection.Hypothesis.MUCH_SLOWER].level
    return (
        max(own, slowest + suspicion.overdue),
        _pooled_level(one, group, limits),
    )


def _pooled_level(
    one: tracked.Tracked,
    group: Group,
    limits: change_detection.Limits,
) -> float:
    suspicion = one.suspicion
    pooled = max(
        cusum.capped(limits.observer_limit) for cusum in suspicion.group
    )
    overdue = overdue_by_observer(one, group)
    if not overdue:
        return pooled
    slowest = suspicion.group[change_detection.Hypothesis.MUCH_SLOWER]
    observers = overdue.keys() | slowest.by_observer.keys()
    with_overdue = sum(
        min(
            limits.observer_limit,
            slowest.by_observer.get(observer, 0.0) + overdue.get(observer, 0.0),
        )
        for observer in observers
    )
    return max(pooled, with_overdue)


def overdue_by_observer(
    one: tracked.Tracked,
    group: Group,
) -> dict[ids.InstanceId, float]:
    """Return each observer's evidence of requests overdue in flight."""
    overdue = {}
    if one.suspicion.overdue:
        overdue[group.own] = one.suspicion.overdue
    for observer, peer in group.peers.items():
        row = peer.rows.get(one.target_id)
        if row is None or not row.overdue or peer.doubts_itself:
            continue
        if row.incarnation == one.identity.incarnation:
            overdue[observer] = row.overdue
    return overdue


def _update_votes(suspicion: tracked.Suspicion, now_s: float) -> None:
    if suspicion.score() < SUSPICION:
        suspicion.since_s = None
        suspicion.votes.clear()
    elif suspicion.since_s is None:
        suspicion.since_s = now_s


def _is_cut_link(one: tracked.Tracked, group: Group) -> bool:
    """Return whether the bad news come from a third of the observers only.

    Were the target itself sick, the other observers would see it too. They
    are asked how probable it is that they saw so little of it by chance.
    """
    votes = one.suspicion.votes
    if group.size() < 2 or one.suspicion.since_s is None:
        return False
    overdue = overdue_by_observer(one, group)
    counts = sorted(
        (
            _vote(votes.get(observer), observer in overdue)
            for observer in votes.keys() | overdue.keys()
        ),
        reverse=True,
    )
    accusers = math.ceil(group.size() / _LINK_SHARE)
    all_bad = sum(bad for bad, _ in counts)
    all_attempts = sum(attempts for _, attempts in counts)
    others_bad = sum(bad for bad, _ in counts[accusers:])
    others_attempts = sum(attempts for _, attempts in counts[accusers:])
    if not all_attempts:
        return False
    expected = others_attempts * all_bad / all_attempts
    return _poisson_at_most(others_bad, expected) < _CUT_PROBABILITY


def _vote(votes: tracked.Votes | None, overdue: bool) -> tuple[int, int]:
    bad = votes.bad if votes else 0
    attempts = votes.attempts if votes else 0
    return (bad + overdue, attempts + overdue)


def _poisson_at_most(count: int, mean: float) -> float:
    term = math.exp(-mean)
    total = term
    for number in range(1, count + 1):
        term *= mean / number
        total += term
    return total


def rank(one: tracked.Tracked, group: Group) -> float:
    """Return the score by which daemons order ejections.

    An ejection in force keeps the score it was made with, so that the order
    is the same at all who heard of it.
    """
    scores = [max(one.ejected_score, one.suspicion.score())]
    for peer in group.peers.values():
        notice = peer.ejections.get(one.target_id)
        if notice and notice.incarnation == one.identity.incarnation:
            scores.append(notice.score)
    return max(scores)
