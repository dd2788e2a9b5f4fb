"""A short soak; see ``soak.py`` for long runs by hand."""

import entry_support as support
import instance_process
import pytest
import soak
import soak_cuts
import soak_faults
import soak_targets
from sardinepier_adapter import names

SECONDS = 12

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('seed', [2, 4, 8])
async def test_callers_lose_nothing_around_planned_work(
    seed, tmp_path, monkeypatch
):
    # Seeds 2 and 4 ended daemons that got SIGHUP as they started; seed 8 lost
    # most of the answers that a reset discarded.
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    run = await soak.play(seed, SECONDS, tmp_path)
    assert not run.problems()
    answered = sum(request.status == 200 for request in run.requests)
    assert answered > len(run.requests) / 2


def test_a_plan_follows_from_its_seed():
    assert soak.plan(3, SECONDS) == soak.plan(3, SECONDS)
    assert soak.plan(3, SECONDS) != soak.plan(4, SECONDS)


@pytest.mark.parametrize(
    ('status', 'runs', 'is_idempotent', 'problem'),
    [
        (None, 1, True, 'LOST'),
        (503, 1, True, 'REFUSED, but it ran'),
        (200, 2, False, 'TWICE'),
        (502, 1, True, 'an answer in place of a target'),
        (None, 0, True, ''),
        (200, 2, True, ''),
    ],
)
def test_each_check_finds_its_fault(
    status, runs, is_idempotent, problem, tmp_path
):
    run = soak.Run(1, SECONDS, tmp_path)
    request = soak.Request('r', 'pool', is_idempotent, 1.0, 'edge-1', status)
    assert found_in(run, request, runs, tmp_path) == problem


@pytest.mark.parametrize(
    ('status', 'answered_s', 'is_allowed'),
    [
        (504, 6.0, True),
        (504, 5.9, False),
        (504, None, False),
        (502, 6.0, False),
    ],
)
def test_a_timeout_is_allowed_only_after_the_time_of_the_route(
    status, answered_s, is_allowed, tmp_path
):
    """A slow upload reached the target 0.6 s before its timeout on a busy machine."""
    run = soak.Run(1, SECONDS, tmp_path)
    run.daemons = [FakeDaemon(tmp_path)]
    run.requests = [
        soak.Request(
            'r', 'upload', False, 1.0, 'edge-1', status, answered_s=answered_s
        ),
    ]
    run.runs['r'] = 1
    assert (not run.problems()) is is_allowed


def found_in(run, request, runs, folder):
    """Return the kinds of problems of a run of one request at 9 s."""
    run.now_s = lambda: 9.0
    run.daemons = [FakeDaemon(folder)]
    run.requests = [request]
    run.runs[request.request_id] = runs
    return ' '.join(line.partition(':')[0] for line in run.problems())


class FakeDaemon:
    """A daemon of a run that was not played."""

    def __init__(self, folder):
        self.instance = instance_process.Instance(folder, 'edge-1', '')
        self.problems = []
        self.terminated_s = []


@pytest.mark.parametrize(
    ('run_type', 'seed'),
    [
        (soak_faults.FaultRun, 1),
        (soak_faults.FaultRun, 4),
        (soak_cuts.CutRun, 2),
    ],
)
async def test_targets_in_trouble_run_nothing_twice(
    run_type, seed, tmp_path, monkeypatch
):
    # Guards against answers without an id, and statuses without a mark, that
    # are taken for the word of a target that a request did not run.
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    run = await soak.play(seed, SECONDS, tmp_path, run_type)
    assert not run.problems()
    waited = [request for request in run.requests if request.habit != 'leave']
    answered = sum(request.status == 200 for request in waited)
    assert answered > len(waited) / 2


@pytest.mark.parametrize(
    ('status', 'runs', 'killed_s', 'problem'),
    [
        (None, 2, 1.5, 'TWICE'),
        (502, 2, None, 'TWICE'),
        (502, 1, None, ''),
        (None, 1, 1.5, ''),
        (None, 1, 0.5, 'LOST'),
        (429, 1, None, 'REFUSED, but it ran'),
    ],
)
def test_each_check_under_faults_finds_its_fault(
    status, runs, killed_s, problem, tmp_path
):
    run = soak_faults.FaultRun(1, SECONDS, tmp_path)
    run.killed_s = [('edge-1', killed_s)] if killed_s else []
    request = soak.Request('r', 'pool', False, 1.0, 'edge-1', status)
    assert found_in(run, request, runs, tmp_path) == problem


@pytest.mark.parametrize(
    ('line', 'body', 'is_found'),
    [
        ('POST /once/1?r HTTP/1.1', b'xx', False),
        ('POST /once/1?r HTTP/1.1', b'xy', True),
        ('POST /once/1?r HTTP/1.1', b'', True),
        ('PUT /once/1?r HTTP/1.1', b'xx', True),
        ('POST /once/2?r HTTP/1.1', b'xx', True),
    ],
)
def test_a_target_finds_requests_that_no_caller_sent_so(
    line, body, is_found, tmp_path
):
    run = soak_faults.FaultRun(1, SECONDS, tmp_path)
    run.sent['r'] = soak.Request(
        'r',
        'pool',
        False,
        1.0,
        'edge-1',
        method='POST',
        path='/once/1?r',
        length=2,
    )
    target = soak_targets.FaultyTarget('i-1', run)
    target.check(f'{line}\r\n', 'r', body)
    target.check(f'{line}\r\n', 'another', body)
    assert len(run.problems()) == 1 + is_found
