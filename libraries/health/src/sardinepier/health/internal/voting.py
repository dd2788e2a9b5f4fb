"""Is the target bad, or only the links from some observers to it?

The observers that see the worst are set against the rest. Were the target
itself sick, the rest would see as much of it as they. Until enough of the
rest have spoken, the vote stays open.
"""

import math
from collections.abc import Mapping, Set
from typing import Final

from sardinepier.core import ids
from sardinepier.health import peer_evidence
from sardinepier.health.internal import tracked_target

_LINK_SHARE: Final = 3
_LINK_RATIO: Final = 8.0
_HANG_OPEN_S: Final = 0.6
_NEWEST_S: Final = 0.25
_NEWER_S: Final = 1.0
_REPORTS_TO_SPEAK: Final = 2
_GOOD_AGAINST_HANG: Final = 2


def vote(
    one: tracked_target.TrackedTarget,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    overdue: Set[ids.InstanceId],
    now_s: float,
) -> tracked_target.Vote:
    """Return the vote on a target that the pooled evidence condemns."""
    if not peers:
        return tracked_target.Vote.SICK
    votes = one.suspicion.votes
    counts = sorted(
        (
            _bad_and_good(votes.get(observer), observer in overdue)
            for observer in votes.keys() | overdue
        ),
        key=lambda count: (-count[0], count[1]),
    )
    most_accusers = math.ceil((len(peers) + 1) / _LINK_SHARE)
    accusing = counts[:most_accusers]
    resting = counts[most_accusers:]
    if _link_ratio(accusing, resting) >= _LINK_RATIO:
        return tracked_target.Vote.CUT_LINK
    if overdue and one.suspicion.finished_level < 1:
        waiting = _LINK_SHARE * len(overdue) > len(peers) + 1
        return _vote_on_hang(one, waiting, now_s)
    spoken = _have_spoken(one, peers, overdue)
    return tracked_target.Vote.SICK if spoken else tracked_target.Vote.OPEN


def _vote_on_hang(
    one: tracked_target.TrackedTarget,
    many_wait: bool,
    now_s: float,
) -> tracked_target.Vote:
    """Return the vote when it takes the requests in flight to condemn.

    A hung target has no good answer for anybody. Good answers show a cut
    link or a long queue; they get a moment to come in, unless more observers wait
    than one cut link explains.
    """
    newest_s = _NEWEST_S if many_wait else _NEWER_S
    good_answers = sum(
        count
        for heard_s, count in one.suspicion.recent_good
        if now_s - heard_s < newest_s
    )
    if good_answers >= _GOOD_AGAINST_HANG:
        return tracked_target.Vote.CUT_LINK
    since_s = one.suspicion.voting_since_s
    waited = since_s is not None and now_s - since_s >= _HANG_OPEN_S
    return (
        tracked_target.Vote.SICK
        if waited or many_wait
        else tracked_target.Vote.OPEN
    )


def _bad_and_good(
    votes: tracked_target.Votes | None,
    overdue: bool,
) -> tuple[int, int]:
    if votes is None:
        return (int(overdue), 0)
    return (votes.bad + overdue, votes.attempts - votes.bad)


def _link_ratio(
    accusing: list[tuple[int, int]],
    resting: list[tuple[int, int]],
) -> float:
    """Return the log-likelihood ratio of two shares of bad against one."""
    first = _total(accusing)
    second = _total(resting)
    both = (first[0] + second[0], first[1] + second[1])
    return (
        _log_likelihood(first) + _log_likelihood(second) - _log_likelihood(both)
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


def _have_spoken(
    one: tracked_target.TrackedTarget,
    peers: Mapping[ids.InstanceId, peer_evidence.Peer],
    overdue: Set[ids.InstanceId],
) -> bool:
    """Return whether most of those that do not accuse have reported."""
    votes = one.suspicion.votes
    resting = [
        observer
        for observer in peers
        if observer not in overdue and not _has_bad(votes.get(observer))
    ]
    spoken = sum(
        observer in votes and votes[observer].reports >= _REPORTS_TO_SPEAK
        for observer in resting
    )
    return 2 * spoken >= len(resting)


def _has_bad(votes: tracked_target.Votes | None) -> bool:
    return votes is not None and votes.bad > 0
