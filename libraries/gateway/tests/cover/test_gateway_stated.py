"""Targets that state a backoff or a limit in their answers."""

import asyncio
import collections

from sardinepier.core import ids
from sardinepier.gateway import statements


async def test_a_target_that_asked_for_backoff_gets_no_requests(harness):
    """Guards against a backoff that ignores the time that a target states."""
    await harness.add_targets('shed with backoff', 'ok')
    await harness.add_gateway()
    backing_off, _ = harness.targets
    for number in range(12):
        answer, _ = await harness.send('GET', f'/books/books/{number}')
        assert answer.status == 200
        await asyncio.sleep(0.1)
    assert len(backing_off.seen) == 1


async def test_a_request_fails_at_once_when_all_targets_back_off(harness):
    """Guards against a Retry-After at which all targets still back off."""
    await harness.add_targets('shed with backoff', 'shed with backoff')
    await harness.add_gateway()
    loop = asyncio.get_running_loop()
    for _ in range(3):
        started_s = loop.time()
        answer, _ = await harness.send(
            'GET',
            '/books/books/1',
            headers={'Sardinepier-Deadline-Ms': '2000'},
        )
        assert answer.status == 503
        assert 3 < float(answer.headers['Retry-After']) <= 7
        assert loop.time() - started_s < 1
    assert [len(target.seen) for target in harness.targets] == [1, 1]


async def test_a_target_at_its_limit_gets_no_requests(harness):
    """Guards against a target selection that ignores the limit."""
    await harness.add_targets('limited', 'ok')
    await harness.add_gateway()
    limited, _ = harness.targets
    for number in range(12):
        answer, _ = await harness.send('GET', f'/books/books/{number}')
        assert answer.status == 200
    assert len(limited.seen) == 1


async def test_the_daemons_of_a_group_share_a_limit(harness):
    """Guards against daemons that each use the full limit."""
    await harness.add_targets('ok')
    gateway = await harness.add_gateway()
    stated = gateway.runtime().statements
    target_id = harness.targets[0].name
    group = [ids.InstanceId(name) for name in ('a', 'b', 'c')]
    shares = collections.Counter()
    for limit_per_s in (2, 30):
        statement = statements.Statement(limit_per_s=limit_per_s)
        for own in group:
            other_daemons = [daemon for daemon in group if daemon != own]
            stated.set_senders(other_daemons, own)
            stated.apply(target_id, statement)
            shares[limit_per_s] += stated._statements[target_id].limit_share
    assert shares == {2: 1, 30: 1}
    stated.set_senders(group, None)
    assert target_id in stated.not_accepting()


async def test_a_new_incarnation_drops_the_statements_of_a_target(harness):
    await harness.add_targets('ok')
    gateway = await harness.add_gateway()
    runtime = gateway.runtime()
    target_id = harness.targets[0].name
    runtime.set_incarnations({target_id: ids.TargetIncarnation('1')})
    until_s = gateway.clock.monotonic_s() + 9
    runtime.statements.apply(
        target_id, statements.Statement(backoff_until_s=until_s)
    )
    assert runtime.statements.not_accepting() == {target_id}
    runtime.set_incarnations({target_id: ids.TargetIncarnation('2')})
    assert not runtime.statements.not_accepting()
