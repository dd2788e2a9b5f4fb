"""The daemon's own pages: addresses, and those that the daemon adds."""

import asyncio
import collections
import dataclasses

import msgspec
import pytest

from sardinepier.core import ids
from sardinepier.gateway import addresses, probes, refusals
from sardinepier.health import targets
from sardinepier.membership import members
from sardinepier.once import tickets


def make_members(world, states):
    own = world.gateways[0].member()
    for number, (zone, state) in enumerate(states):
        name = ids.DaemonId(f'm{number}')
        world.view.known.append(
            dataclasses.replace(
                own,
                instance_id=ids.InstanceId(f'{name}~{number:016x}'),
                daemon_id=name,
                zone=ids.ZoneName(zone),
                state=members.MemberState(state),
                http_port=number + 1,
            ),
        )


async def test_addresses_are_those_that_serve_own_zone_first(world):
    gateway = await world.add_gateway()
    states = [
        ('z1', 'alive'),
        ('z1', 'suspect'),
        ('z2', 'alive'),
        ('z2', 'leaving'),
        ('z2', 'alive'),
    ]
    make_members(world, states)
    chooser = addresses.Addresses(gateway.context)
    first = collections.Counter()
    for _ in range(60):
        answer = chooser.choose(
            gateway.configuration.fleet,
            world.service([]),
            ids.ZoneName('z2'),
        )
        zones = [one.zone for one in answer.addresses]
        assert zones == ['z2', 'z2', 'z1']
        first[answer.addresses[0].port] += 1
        for one in answer.addresses:
            home = tickets.parse_ticket(one.ticket).home
            assert world.view.find(home).http_port == one.port
    assert set(first) == {3, 5}
    assert answer.valid_s == 30


async def test_pages_of_the_daemon_tell_an_outcome_and_their_errors(world):
    gateway = await world.add_gateway()

    async def fail(request):
        raise refusals.NotConfiguredError('Nothing yet', 'Wait', 3)

    gateway.server.add_page('/v1/status', fail)
    answer, content = await world.send('GET', '/v1/status')
    assert (answer.status, answer.headers['Retry-After']) == (503, '3')
    assert msgspec.json.decode(content)['detail'] == 'Nothing yet'
    good, _ = await world.send('GET', '/v1/addresses?service=books&zone=z1')
    assert good.headers['Sardinepier-Outcome'] == 'completed'
    gateway.configuration = None
    early, _ = await world.send('GET', '/v1/addresses?service=books')
    assert early.status == 503


@pytest.mark.parametrize(
    ('behaviour', 'is_good', 'is_leaving'),
    [
        ('ok', True, False),
        ('failing', False, False),
        ('drop while reading', False, False),
        ('draining', True, True),
    ],
)
async def test_probes_are_sent_and_told_to_health(
    world,
    behaviour,
    is_good,
    is_leaving,
):
    target = await world.add_target(behaviour)
    gateway = await world.add_gateway()
    runtime = gateway.runtime()
    told = asyncio.get_running_loop().create_future()
    runtime.health = _Health(runtime.health, target.name, told)
    running = asyncio.ensure_future(probes.Probes(gateway.context).run())
    assert await asyncio.wait_for(told, 10) is is_good
    found = runtime.health.standing(target.name).state
    assert (found is targets.TargetState.LEAVING) is is_leaving
    running.cancel()


class _Health:
    """Asks for one probe and hands on how it went."""

    def __init__(self, inner, target_id, told):
        self._inner = inner
        self._due = [target_id]
        self._told = told

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def due_probes(self):
        due = tuple(self._due)
        self._due.clear()
        return due

    def probed(self, target_id, good, latency_ms):
        self._told.set_result(good)
