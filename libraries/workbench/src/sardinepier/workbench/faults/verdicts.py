"""Turns the observations of a case into its row of the table."""

from collections.abc import Iterator
from typing import Final

import msgspec

from sardinepier.workbench.faults import cases, observations, promises
from sardinepier.workbench.traffic import records, report, verification

_SLOW_MS: Final = 1000.0
_HUNDRED: Final = 100.0


class CaseRow(msgspec.Struct, frozen=True):
    """One row of the table.

    ``recover_s`` is the time from the fault to the start of the last request
    that did not complete within a second. ``problems`` counts the daemons'
    own answers by title and detail. ``broken`` is empty when the case passes.
    """

    name: str
    requests: int
    requests_by_kind: dict[str, int]
    doubled: int
    false_not_run: int
    lost: int
    cut: int
    recover_s: float
    problems: dict[str, int]
    broken: tuple[promises.BrokenPromise, ...]


def evaluate(
    case: cases.FaultCase,
    observed: observations.Observations,
) -> CaseRow:
    """Return the row of ``case``."""
    requests = observed.run.requests + observed.poisoned.requests
    verdict = verification.compare(requests, observed.executions)
    summary = report.summarise(observed.run, verdict)
    return CaseRow(
        name=case.name,
        requests=summary.requests,
        requests_by_kind=summary.requests_by_kind,
        doubled=len(verdict.doubled),
        false_not_run=len(verdict.false_not_run),
        lost=len(verdict.lost),
        cut=summary.connections_cut,
        recover_s=_recover_s(observed),
        problems=summary.problems,
        broken=(
            *_broken_counts(case, summary, verdict),
            *_broken_service(case, summary),
            *_broken_witness(case, observed),
            *case.check(observed),
        ),
    )


def _recover_s(observed: observations.Observations) -> float:
    bad_starts_s = [
        request.started_at_s
        for request in observed.run.requests
        if request.kind is not records.Kind.COMPLETED
        or request.total_ms > _SLOW_MS
    ]
    return max(0, max(bad_starts_s, default=0) - observed.injected_at_s)


def _broken_counts(
    case: cases.FaultCase,
    summary: report.TrafficReport,
    verdict: verification.Verdict,
) -> Iterator[promises.BrokenPromise]:
    attempts = summary.attempts_by_kind
    wrong = attempts.get(records.Kind.WRONG_ANSWER.value, 0)
    unmarked = attempts.get(records.Kind.UNMARKED.value, 0)
    cut = 0
    not_connected = 0
    if not case.cut_allowed:
        cut = summary.connections_cut
        not_connected = attempts.get(records.Kind.NOT_CONNECTED.value, 0)
    counts = {
        promises.Promise.AT_MOST_ONCE: len(verdict.doubled),
        promises.Promise.NOT_RUN: len(verdict.false_not_run),
        promises.Promise.COMPLETED: len(verdict.lost),
        promises.Promise.OWN_ANSWER: wrong,
        promises.Promise.MARKED: unmarked,
        promises.Promise.NO_CUT: cut,
        promises.Promise.ADDRESSES: not_connected,
    }
    for promise, count in counts.items():
        if count:
            yield promises.BrokenPromise(promise, f'broken {count} times')


def _broken_witness(
    case: cases.FaultCase,
    observed: observations.Observations,
) -> Iterator[promises.BrokenPromise]:
    if case.relays and not observed.cut_connections:
        yield promises.BrokenPromise(
            promises.Promise.WITNESS,
            'no connection lost a byte',
        )
    for name in observed.not_restarted:
        yield promises.BrokenPromise(
            promises.Promise.WITNESS,
            f'{name} did not restart',
        )


def _broken_service(
    case: cases.FaultCase,
    summary: report.TrafficReport,
) -> Iterator[promises.BrokenPromise]:
    by_kind = summary.requests_by_kind
    completed = by_kind.get(records.Kind.COMPLETED.value, 0)
    share_percent = _HUNDRED * completed / max(1, summary.requests)
    if share_percent < case.completed_percent:
        yield promises.BrokenPromise(
            promises.Promise.SERVES,
            f'only {share_percent:.0f}% completed',
        )
