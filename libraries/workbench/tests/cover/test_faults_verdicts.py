"""A fault case is judged by what was seen, and a quiet fleet does not pass."""

import pytest

from sardinepier.standins import target_faults
from sardinepier.workbench.faults import (
    actions,
    cases,
    checks,
    observations,
    promises,
    table,
    verdicts,
)
from sardinepier.workbench.traffic import generator, records, verification

Kind = records.Kind
Promise = promises.Promise


def request(kind, started_at_s=1.0, number=0):
    key = f'key-{number}'
    return records.RequestRecord(
        f'tag-{number}',
        keyed=True,
        started_at_s=started_at_s,
        attempts=[records.Attempt(kind)],
        keys=[records.KeyUse(key, kind)],
    )


def seen(kind=Kind.COMPLETED, runs=1, **fields):
    ran = {'key-0': runs} if runs else {}
    tags = {'tag-0': runs} if runs else {}
    return observations.Observations(
        started_at_s=0.0,
        run=generator.TrafficRun([request(kind)]),
        executions=verification.Executions(ran, tags),
        **fields,
    )


def judge(observed, **fields):
    case = cases.FaultCase('case', actions.Drain('t1'), **fields)
    row = verdicts.evaluate(case, observed)
    return {broken.promise for broken in row.broken}


@pytest.mark.parametrize(
    ('kind', 'runs', 'broken'),
    [
        (Kind.COMPLETED, 1, set()),
        (Kind.COMPLETED, 0, {Promise.COMPLETED}),
        (Kind.COMPLETED, 2, {Promise.AT_MOST_ONCE}),
        (Kind.NOT_RUN, 0, {Promise.SERVES}),
        (Kind.NOT_RUN, 1, {Promise.SERVES, Promise.NOT_RUN}),
        (Kind.UNKNOWN, 1, {Promise.SERVES}),
        (Kind.CUT, 1, {Promise.SERVES, Promise.NO_CUT}),
        (Kind.NOT_CONNECTED, 0, {Promise.SERVES, Promise.ADDRESSES}),
        (Kind.WRONG_ANSWER, 1, {Promise.SERVES, Promise.OWN_ANSWER}),
        (Kind.UNMARKED, 1, {Promise.SERVES, Promise.MARKED}),
    ],
)
def test_each_promise_is_looked_at(kind, runs, broken):
    assert judge(seen(kind, runs), cut_allowed=False) == broken


@pytest.mark.parametrize(
    ('cuts', 'broken'), [(0, {Promise.WITNESS}), (1, set())]
)
def test_a_link_that_lost_nothing_proves_nothing(cuts, broken):
    observed = seen(cut_connections=cuts)
    assert judge(observed, relays=('t1',)) == broken


def test_a_process_that_stayed_down_proves_nothing():
    assert judge(seen(not_restarted=('d1',))) == {Promise.WITNESS}


def test_a_cut_is_allowed_where_something_is_killed():
    assert judge(seen(Kind.CUT)) == {Promise.SERVES}


@pytest.mark.parametrize(
    ('revisions', 'broken'),
    [
        ({'d1': [1, 2], 'd2': [2]}, set()),
        ({'d1': [1, 2, 1, 2], 'd2': [2]}, {Promise.NO_REVERT}),
        ({'d1': [1, 2], 'd2': [1]}, {Promise.IN_FORCE}),
        ({'d1': [1], 'd2': [1]}, {Promise.IN_FORCE}),
    ],
)
def test_revisions_grow_and_meet(revisions, broken):
    observed = seen(revisions=revisions)
    assert judge(observed, check=checks.converges) == broken


@pytest.mark.parametrize(
    ('runs', 'broken'),
    [(0, {Promise.WITNESS}), (2, set()), (3, {Promise.QUARANTINE})],
)
def test_a_poison_request_stops_at_the_second_target(runs, broken):
    observed = seen()
    observed.poisoned = generator.TrafficRun([request(Kind.UNKNOWN, number=7)])
    observed.executions.by_tag['tag-7'] = runs
    assert judge(observed, check=checks.poison_stops) == broken


@pytest.mark.parametrize(
    ('late', 'broken'),
    [
        ([], {Promise.WITNESS}),
        ([0, 0], {Promise.WITNESS}),
        ([5, 5], set()),
        ([5, 6], {Promise.LEAVING}),
    ],
)
def test_a_leaving_target_gets_no_late_work(late, broken):
    observed = seen()
    samples = [observations.LoadSample(0.5, 1)]
    samples.extend(
        observations.LoadSample(3.0 + number, executions)
        for number, executions in enumerate(late)
    )
    observed.loads['t1'] = samples
    assert judge(observed, check=checks.leaving_stops) == broken


def test_recovery_ends_with_the_last_bad_request():
    observed = seen(injected_at_s=2.0)
    observed.run.requests.append(request(Kind.UNKNOWN, 5.5, number=1))
    observed.run.requests.append(request(Kind.COMPLETED, 6.0, number=2))
    case = cases.FaultCase(
        'case', actions.SetFault(target_faults.Fault(), ('t1',))
    )
    assert verdicts.evaluate(case, observed).recover_s == 3.5


def test_names_of_cases_are_unique():
    names = [case.name for case in table.CASES]
    assert len(names) == len(set(names))
