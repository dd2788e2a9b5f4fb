"""Where a request goes that may crash its targets, and when it no longer may."""

import pytest

from sardinepier.core import ids
from sardinepier.gateway import work
from sardinepier.once import marks

PEER = ids.InstanceId('d2~0000000000000000')


@pytest.mark.parametrize('is_told_by_a_peer', [False, True])
async def test_a_request_does_not_return_to_a_target_that_it_crashed(
    world,
    is_told_by_a_peer,
):
    """Guards against a third crash: one target twice, and another one."""
    await world.add_targets('ok', 'ok')
    gateway = await world.add_gateway()
    for number in range(4):
        path = f'/books/{number}'
        suspect = work.fingerprint('books', 'GET', path, b'')
        if is_told_by_a_peer:
            _hear(gateway, suspect, 't0')
        else:
            gateway.context.quarantine.crashed(suspect, 't0', True)
        answer, _ = await world.send('GET', f'/books{path}')
        assert answer.status == 200
    assert [len(target.seen) for target in world.targets] == [0, 4]


async def test_the_only_target_gets_the_request_that_crashed_it(world):
    """One crash proves nothing, and there is nowhere else to go."""
    target = await world.add_target('drop after running')
    await world.add_gateway()
    await world.send('GET', '/books/books/1')
    target.behaviour = 'ok'
    answer, _ = await world.send('GET', '/books/books/1')
    assert answer.status == 200


def _hear(gateway, fingerprint, *lost_on):
    report = marks.QuarantineReport(
        (marks.CrashMark(fingerprint, lost_on, 60.0),),
    )
    gateway.context.quarantine.heard(PEER, report)
