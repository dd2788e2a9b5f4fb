"""Checks of single cases, in addition to those of every case."""

from collections.abc import Iterator
from typing import Final

from sardinepier.workbench.faults import observations, promises

_MAX_CRASHED_TARGETS: Final = 2
_LEAVING_LIMIT_S: Final = 3.0
LEAVING_TARGET: Final = 't1'
"""The target that leaves in the cases checked by :func:`leaving_stops`."""


def converges(
    observed: observations.Observations,
) -> list[promises.BrokenPromise]:
    """Check that daemons adopt a change, none reverts, and all agree."""
    last_revisions = {
        shown_revisions[-1]
        for shown_revisions in observed.revisions.values()
        if shown_revisions
    }
    broken = list(_find_reverts(observed))
    if len(last_revisions) > 1:
        broken.append(
            promises.BrokenPromise(
                promises.Promise.IN_FORCE,
                f'the daemons ended at revisions {sorted(last_revisions)}',
            ),
        )
    if not any(
        len(shown_revisions) > 1
        for shown_revisions in observed.revisions.values()
    ):
        broken.append(
            promises.BrokenPromise(
                promises.Promise.IN_FORCE,
                'no daemon adopted the change',
            ),
        )
    return broken


def poison_stops(
    observed: observations.Observations,
) -> list[promises.BrokenPromise]:
    """Check that poison requests run, each on two targets at most."""
    by_tag = observed.executions.by_tag
    runs = [by_tag.get(item.tag, 0) for item in observed.poisoned.requests]
    max_runs = max(runs, default=0)
    if max_runs > _MAX_CRASHED_TARGETS:
        return [
            promises.BrokenPromise(
                promises.Promise.QUARANTINE,
                f'a poison request ran {max_runs} times',
            ),
        ]
    if max_runs == 0:
        return [
            promises.BrokenPromise(
                promises.Promise.WITNESS,
                'no poison request reached a target',
            ),
        ]
    return []


def leaving_stops(
    observed: observations.Observations,
) -> list[promises.BrokenPromise]:
    """Check that the leaving target starts no request after three seconds."""
    limit_s = observed.injected_at_s + _LEAVING_LIMIT_S
    samples = observed.loads.get(LEAVING_TARGET, [])
    late_executions = [
        item.executions for item in samples if item.seen_at_s >= limit_s
    ]
    if not late_executions or not late_executions[0]:
        return [
            promises.BrokenPromise(
                promises.Promise.WITNESS,
                'the target started no request, or was not sampled',
            ),
        ]
    if late_executions[-1] == late_executions[0]:
        return []
    return [
        promises.BrokenPromise(
            promises.Promise.LEAVING,
            f'it started {late_executions[-1] - late_executions[0]} requests later',
        ),
    ]


def _find_reverts(
    observed: observations.Observations,
) -> Iterator[promises.BrokenPromise]:
    for daemon, shown_revisions in observed.revisions.items():
        if shown_revisions != sorted(shown_revisions):
            yield promises.BrokenPromise(
                promises.Promise.NO_REVERT,
                f'{daemon} had the revisions {shown_revisions} in force in turn',
            )
