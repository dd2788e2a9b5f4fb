"""Votes whether a target is bad or only the links of some observers to it.

The vote compares the observers with the worst counts with the remaining
ones. If the target itself were unhealthy, the remaining observers would see
as many bad attempts. Until enough of them have reported, the vote stays open.
"""

import math
from collections.abc import Mapping, Set
from typing import Final

from sardinepier.core import ids
from sardinepier.health import peer_evidence
from sardinepier.health.internal import tracked_target

_OBSERVERS_PER_CUT_LINK: Final = 3
"""A cut link explains the bad counts of one in three observers at most."""

_CUT_LINK_RATIO: Final = 8.0
_HANG_VOTE_WAIT_S: Final = 0.6
_RECENT_GOOD_MANY_S: Final = 0.25
_RECENT_GOOD_S: Final = 1.0
_MIN_REPORTS: Final = 2
_MIN_GOOD_AGAINST_HANG: Final = 2


def vote(
    target: tracked_target.TrackedTarget,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    overdue: Set[ids.InstanceId],
    now_s: float,
) -> tracked_target.GroupVote:
    """Return the vote on a target whose group score reached the threshold."""
    if not peers:
        return tracked_target.GroupVote.SICK
    votes = target.suspicion.votes
    counts = sorted(
        (
            _bad_and_good(votes.get(observer), observer in overdue)
            for observer in votes.keys() | overdue
        ),
        key=lambda count: (-count[0], count[1]),
    )
    max_worst = math.ceil((len(peers) + 1) / _OBSERVERS_PER_CUT_LINK)
    worst = counts[:max_worst]
    remaining = counts[max_worst:]
    if _link_ratio(worst, remaining) >= _CUT_LINK_RATIO:
        return tracked_target.GroupVote.CUT_LINK
    if overdue and target.suspicion.finished_level < 1:
        many_wait = _OBSERVERS_PER_CUT_LINK * len(overdue) > len(peers) + 1
        return _vote_on_hang(target, many_wait, now_s)
    reported = _have_reported(target, peers, overdue)
    return (
        tracked_target.GroupVote.SICK
        if reported
        else tracked_target.GroupVote.OPEN
    )


def _vote_on_hang(
    target: tracked_target.TrackedTarget,
    many_wait: bool,
    now_s: float,
) -> tracked_target.GroupVote:
    """Return the vote when the score depends on requests in flight.

    A hung target answers no observer. Good answers indicate a cut link or a
    long queue; the vote waits briefly for them, unless more observers have
    overdue requests than one cut link explains.
    """
    recent_s = _RECENT_GOOD_MANY_S if many_wait else _RECENT_GOOD_S
    good_answers = sum(
        count
        for received_s, count in target.suspicion.recent_good
        if now_s - received_s < recent_s
    )
    if good_answers >= _MIN_GOOD_AGAINST_HANG:
        return tracked_target.GroupVote.CUT_LINK
    since_s = target.suspicion.voting_since_s
    has_waited = since_s is not None and now_s - since_s >= _HANG_VOTE_WAIT_S
    return (
        tracked_target.GroupVote.SICK
        if has_waited or many_wait
        else tracked_target.GroupVote.OPEN
    )


def _bad_and_good(
    votes: tracked_target.Votes | None,
    overdue: bool,
) -> tuple[int, int]:
    if votes is None:
        return (int(overdue), 0)
    return (votes.bad + overdue, votes.attempts - votes.bad)


def _link_ratio(
    worst: list[tuple[int, int]],
    remaining: list[tuple[int, int]],
) -> float:
    """Return the log-likelihood ratio of two shares of bad attempts to one."""
    worst_total = _total(worst)
    remaining_total = _total(remaining)
    combined = (
        worst_total[0] + remaining_total[0],
        worst_total[1] + remaining_total[1],
    )
    return (
        _log_likelihood(worst_total)
        + _log_likelihood(remaining_total)
        - _log_likelihood(combined)
    )


def _total(counts: list[tuple[int, int]]) -> tuple[int, int]:
    bad = sum(count[0] for count in counts)
    good = sum(count[1] for count in counts)
    return bad, good


def _log_likelihood(count: tuple[int, int]) -> float:
    attempts = sum(count)
    return sum(
        number * math.log(number / attempts) for number in count if number
    )


def _have_reported(
    target: tracked_target.TrackedTarget,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    overdue: Set[ids.InstanceId],
) -> bool:
    """Return whether half of the peers without bad attempts reported."""
    votes = target.suspicion.votes
    remaining = [
        observer
        for observer in peers
        if observer not in overdue and not _has_bad(votes.get(observer))
    ]
    reported = sum(
        observer in votes and votes[observer].reports >= _MIN_REPORTS
        for observer in remaining
    )
    return 2 * reported >= len(remaining)


def _has_bad(votes: tracked_target.Votes | None) -> bool:
    return votes is not None and votes.bad > 0
