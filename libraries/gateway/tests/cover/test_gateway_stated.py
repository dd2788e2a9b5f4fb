"""Targets that ask for less in their answers, on the project's own interface."""

import asyncio
import collections

from sardinepier.core import ids
from sardinepier.gateway import statements


async def test_a_target_that_asked_for_rest_is_left_alone(world):
    """Guards against a back-off that is the same whatever a target asks for."""
    await world.add_targets('tired', 'ok')
    await world.add_gateway()
    tired, _ = world.targets
    for number in range(12):
        answer, _ = await world.send('GET', f'/books/books/{number}')
        assert answer.status == 200
        await asyncio.sleep(0.1)
    assert len(tired.seen) == 1


async def test_when_all_rest_a_caller_is_told_how_long_at_once(world):
    """Guards against a refusal that names a time at which all still rest."""
    await world.add_targets('tired', 'tired')
    await world.add_gateway()
    loop = asyncio.get_running_loop()
    for _ in range(3):
        began_s = loop.time()
        answer, _ = await world.send(
            'GET',
            '/books/books/1',
            headers={'Sardinepier-Deadline-Ms': '2000'},
        )
        assert answer.status == 503
        assert 3 < float(answer.headers['Retry-After']) <= 7
        assert loop.time() - began_s < 1
    assert [len(one.seen) for one in world.targets] == [1, 1]


async def test_a_target_at_its_limit_is_passed_by(world):
    """Guards against a limit that the choice of a target doesn't know."""
    await world.add_targets('limited', 'ok')
    await world.add_gateway()
    limited, _ = world.targets
    for number in range(12):
        answer, _ = await world.send('GET', f'/books/books/{number}')
        assert answer.status == 200
    assert len(limited.seen) == 1


async def test_the_daemons_of_a_group_share_a_limit(world):
    """Guards against a limit that each daemon uses whole."""
    await world.add_targets('ok')
    gateway = await world.add_gateway()
    stated = gateway.runtime().statements
    target_id = world.targets[0].name
    group = [ids.InstanceId(name) for name in ('a', 'b', 'c')]
    parts = collections.Counter()
    for limit_per_s in (2, 30):
        told = statements.Statement(limit_per_s=limit_per_s)
        for own in group:
            others = [one for one in group if one != own]
            stated.set_senders(others, own)
            stated.apply(target_id, told)
            parts[limit_per_s] += stated._known[target_id].part
    assert parts == {2: 1, 30: 1}
    stated.set_senders(group, None)
    assert target_id in stated.not_accepting()


async def test_another_start_of_a_target_asked_for_nothing(world):
    await world.add_targets('ok')
    gateway = await world.add_gateway()
    runtime = gateway.runtime()
    target_id = world.targets[0].name
    runtime.set_incarnations({target_id: ids.TargetIncarnation('1')})
    until_s = gateway.clock.monotonic_s() + 9
    runtime.statements.apply(
        target_id, statements.Statement(backoff_until_s=until_s)
    )
    assert runtime.statements.not_accepting() == {target_id}
    runtime.set_incarnations({target_id: ids.TargetIncarnation('2')})
    assert not runtime.statements.not_accepting()
