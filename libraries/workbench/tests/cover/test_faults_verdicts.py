"""Verdicts of fault cases follow from observations; an idle fleet fails."""

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


def make_request(kind, started_at_s=1.0, number=0):
    key = f'key-{number}'
    return records.RequestRecord(
        f'tag-{number}',
        keyed=True,
        started_at_s=started_at_s,
        attempts=[records.Attempt(kind)],
        keys=[records.KeyUse(key, kind)],
    )


def make_observations(kind=Kind.COMPLETED, runs=1, **fields):
    ran = {'key-0': runs} if runs else {}
    tags = {'tag-0': runs} if runs else {}
    return observations.Observations(
        started_at_s=0.0,
        run=generator.TrafficRun([make_request(kind)]),
        executions=verification.Executions(ran, tags),
        **fields,
    )


def broken_promises(observed, **fields):
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
def test_each_promise_is_checked(kind, runs, broken):
    assert (
        broken_promises(make_observations(kind, runs), cut_allowed=False)
        == broken
    )


@pytest.mark.parametrize(
    ('cuts', 'broken'), [(0, {Promise.WITNESS}), (1, set())]
)
def test_case_fails_when_its_relay_lost_no_bytes(cuts, broken):
    observed = make_observations(cut_connections=cuts)
    assert broken_promises(observed, relays=('t1',)) == broken


def test_case_fails_when_a_process_did_not_restart():
    assert broken_promises(make_observations(not_restarted=('d1',))) == {
        Promise.WITNESS
    }


def test_cut_is_allowed_where_a_process_is_killed():
    assert broken_promises(make_observations(Kind.CUT)) == {Promise.SERVES}


@pytest.mark.parametrize(
    ('revisions', 'broken'),
    [
        ({'d1': [1, 2], 'd2': [2]}, set()),
        ({'d1': [1, 2, 1, 2], 'd2': [2]}, {Promise.NO_REVERT}),
        ({'d1': [1, 2], 'd2': [1]}, {Promise.IN_FORCE}),
        ({'d1': [1], 'd2': [1]}, {Promise.IN_FORCE}),
    ],
)
def test_daemons_must_not_revert_and_must_agree(revisions, broken):
    observed = make_observations(revisions=revisions)
    assert broken_promises(observed, check=checks.converges) == broken


@pytest.mark.parametrize(
    ('runs', 'broken'),
    [(0, {Promise.WITNESS}), (2, set()), (3, {Promise.QUARANTINE})],
)
def test_poison_request_must_stop_at_the_second_target(runs, broken):
    observed = make_observations()
    observed.poisoned = generator.TrafficRun(
        [make_request(Kind.UNKNOWN, number=7)]
    )
    observed.executions.by_tag['tag-7'] = runs
    assert broken_promises(observed, check=checks.poison_stops) == broken


@pytest.mark.parametrize(
    ('late_executions', 'broken'),
    [
        ([], {Promise.WITNESS}),
        ([0, 0], {Promise.WITNESS}),
        ([5, 5], set()),
        ([5, 6], {Promise.LEAVING}),
    ],
)
def test_leaving_target_must_start_no_late_requests(late_executions, broken):
    observed = make_observations()
    samples = [observations.LoadSample(0.5, 1)]
    samples.extend(
        observations.LoadSample(3.0 + number, executions)
        for number, executions in enumerate(late_executions)
    )
    observed.loads['t1'] = samples
    assert broken_promises(observed, check=checks.leaving_stops) == broken


def test_recovery_ends_with_the_last_bad_request():
    observed = make_observations(injected_at_s=2.0)
    observed.run.requests.append(make_request(Kind.UNKNOWN, 5.5, number=1))
    observed.run.requests.append(make_request(Kind.COMPLETED, 6.0, number=2))
    case = cases.FaultCase(
        'case', actions.SetFault(target_faults.Fault(), ('t1',))
    )
    assert verdicts.evaluate(case, observed).recover_s == 3.5


def test_names_of_cases_are_unique():
    names = [case.name for case in table.CASES]
    assert len(names) == len(set(names))
