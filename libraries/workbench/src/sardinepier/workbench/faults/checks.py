"""Checks of single cases, beyond those that every case has to pass."""

from collections.abc import Iterator
from typing import Final

from sardinepier.workbench.faults import observations, promises

_CRASHED_TARGETS_LIMIT: Final = 2
_LEAVING_LIMIT_S: Final = 3.0
LEAVING_TARGET: Final = 't1'
"""The target that leaves in the cases that :func:`leaving_stops` judges."""


def converges(
    seen: observations.Observations,
) -> list[promises.BrokenPromise]:
    """No daemon goes back, and all end at one revision after a change."""
    last = {shown[-1] for shown in seen.revisions.values() if shown}
    broken = list(_find_reverts(seen))
    if len(last) > 1:
        broken.append(
            promises.BrokenPromise(
                promises.Promise.IN_FORCE,
                f'the daemons ended at revisions {sorted(last)}',
            ),
        )
    if not any(len(shown) > 1 for shown in seen.revisions.values()):
        broken.append(
            promises.BrokenPromise(
                promises.Promise.IN_FORCE,
                'no daemon has shown the change',
            ),
        )
    return broken


def poison_stops(
    seen: observations.Observations,
) -> list[promises.BrokenPromise]:
    """A poison request runs on two targets at most, and on one at least."""
    by_tag = seen.executions.by_tag
    runs = [by_tag.get(item.tag, 0) for item in seen.poisoned.requests]
    most = max(runs, default=0)
    if most > _CRASHED_TARGETS_LIMIT:
        return [
            promises.BrokenPromise(
                promises.Promise.QUARANTINE,
                f'one ran {most} times',
            ),
        ]
    if most == 0:
        return [
            promises.BrokenPromise(
                promises.Promise.WITNESS,
                'no poison request has reached a target',
            ),
        ]
    return []


def leaving_stops(
    seen: observations.Observations,
) -> list[promises.BrokenPromise]:
    """The leaving target starts no work after three seconds."""
    limit_s = seen.injected_at_s + _LEAVING_LIMIT_S
    samples = seen.loads.get(LEAVING_TARGET, [])
    late = [item.executions for item in samples if item.seen_at_s >= limit_s]
    if not late or not late[0]:
        return [
            promises.BrokenPromise(
                promises.Promise.WITNESS,
                'the target had no work at all, or was not watched',
            ),
        ]
    if late[-1] == late[0]:
        return []
    return [
        promises.BrokenPromise(
            promises.Promise.LEAVING,
            f'it started {late[-1] - late[0]} requests later',
        ),
    ]


def _find_reverts(
    seen: observations.Observations,
) -> Iterator[promises.BrokenPromise]:
    for daemon, shown in seen.revisions.items():
        if shown != sorted(shown):
            yield promises.BrokenPromise(
                promises.Promise.NO_REVERT,
                f'{daemon} showed the revisions {shown}',
            )
