"""Target selection and quarantine for requests that may crash targets."""

import asyncio
import json

import pytest

from sardinepier.core import ids
from sardinepier.gateway import caller_request, request_body
from sardinepier.once import marks

POISON = 'GET /books/poison HTTP/1.1'
PEER = ids.InstanceId('d2~0000000000000000')


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize('is_reported_by_a_peer', [False, True])
async def test_a_request_does_not_return_to_a_target_that_it_crashed(
    harness,
    is_reported_by_a_peer,
):
    """Guards against three crashes: the same target twice and another one."""
    await harness.add_targets('ok', 'ok')
    gateway = await harness.add_gateway()
    for number in range(4):
        path = f'/books/{number}'
        suspect = caller_request.fingerprint(
            'books', 'GET', path, request_body.EMPTY
        )
        if is_reported_by_a_peer:
            _receive_report(gateway, suspect, 't0')
        else:
            gateway.context.quarantine.crashed(suspect, 'books', 't0', True)
        answer, _ = await harness.send('GET', f'/books{path}')
        assert answer.status == 200
    assert [len(target.seen) for target in harness.targets] == [0, 4]


async def test_the_only_target_gets_the_request_that_crashed_it(harness):
    """A single crash proves nothing, and there is no other target."""
    target = await harness.add_target('drop after running')
    await harness.add_gateway()
    await harness.send('GET', '/books/books/1')
    target.behaviour = 'ok'
    answer, _ = await harness.send('GET', '/books/books/1')
    assert answer.status == 200


async def test_a_request_quarantined_while_it_waits_does_not_run(harness):
    """Guards against a third crash after marks that arrive during the wait."""
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway(slots=1)
    first = asyncio.ensure_future(harness.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    waiting = asyncio.ensure_future(harness.send('GET', '/books/books/poison'))
    await until(lambda: len(gateway.runtime().queue))
    _receive_report(
        gateway,
        caller_request.fingerprint(
            'books', 'GET', '/books/poison', request_body.EMPTY
        ),
        't8',
        't9',
    )
    target.released.set()
    await first
    answer, content = await waiting
    assert answer.status == 503
    assert answer.headers['Sardinepier-Outcome'] == 'not-run'
    assert json.loads(content)['type'].endswith('quarantined')
    assert harness.runs_by_line()[POISON] == 0


def _receive_report(gateway, fingerprint, *crashed_targets):
    report = marks.QuarantineReport(
        (marks.CrashMark(fingerprint, crashed_targets, 60.0),),
    )
    gateway.context.quarantine.receive_report(PEER, report)
