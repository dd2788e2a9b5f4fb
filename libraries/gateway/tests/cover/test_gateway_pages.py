"""The daemon's own pages: addresses, added pages; and health probes."""

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


def make_members(harness, states):
    own = harness.gateways[0].member()
    for number, (zone, state) in enumerate(states):
        name = ids.DaemonId(f'm{number}')
        harness.view.current_members.append(
            dataclasses.replace(
                own,
                instance_id=ids.InstanceId(f'{name}~{number:016x}'),
                daemon_id=name,
                zone=ids.ZoneName(zone),
                state=members.MemberState(state),
                http_port=number + 1,
            ),
        )


async def test_addresses_list_serving_daemons_of_the_zone_first(harness):
    gateway = await harness.add_gateway()
    states = [
        ('z1', 'alive'),
        ('z1', 'suspect'),
        ('z2', 'alive'),
        ('z2', 'leaving'),
        ('z2', 'alive'),
    ]
    make_members(harness, states)
    chooser = addresses.Addresses(gateway.context)
    first = collections.Counter()
    for _ in range(60):
        answer = chooser.choose(
            gateway.configuration.fleet,
            harness.service([]),
            ids.ZoneName('z2'),
        )
        zones = [address.zone for address in answer.addresses]
        assert zones == ['z2', 'z2', 'z1']
        first[answer.addresses[0].port] += 1
        for address in answer.addresses:
            home = tickets.parse_ticket(address.ticket).home
            assert harness.view.find(home).http_port == address.port
    assert set(first) == {3, 5}
    assert answer.valid_s == 30


async def test_pages_of_the_daemon_state_an_outcome_and_errors(harness):
    gateway = await harness.add_gateway()

    async def fail(request):
        raise refusals.NotConfiguredError('Nothing yet', 'Wait', 3)

    gateway.server.add_page('/v1/status', fail)
    answer, content = await harness.send('GET', '/v1/status')
    assert (answer.status, answer.headers['Retry-After']) == (503, '3')
    assert msgspec.json.decode(content)['detail'] == 'Nothing yet'
    good, _ = await harness.send('GET', '/v1/addresses?service=books&zone=z1')
    assert good.headers['Sardinepier-Outcome'] == 'completed'
    gateway.configuration = None
    early, _ = await harness.send('GET', '/v1/addresses?service=books')
    assert early.status == 503


@pytest.mark.parametrize(
    ('behaviour', 'is_good', 'is_leaving'),
    [
        ('ok', True, False),
        ('failing', False, False),
        ('drop while reading', False, False),
        ('endless', False, False),
        ('draining', True, True),
    ],
)
async def test_probes_are_sent_and_reported_to_health(
    harness,
    behaviour,
    is_good,
    is_leaving,
):
    target = await harness.add_target(behaviour)
    gateway = await harness.add_gateway()
    runtime = gateway.runtime()
    reported = asyncio.get_running_loop().create_future()
    runtime.health = _Health(runtime.health, target.name, reported)
    running = asyncio.ensure_future(probes.Probes(gateway.context).run())
    assert await asyncio.wait_for(reported, 10) is is_good
    state = runtime.health.standing(target.name).state
    assert (state is targets.TargetState.LEAVING) is is_leaving
    # An endless answer was read into memory until the probe timed out.
    assert target.endless_bytes < 2**24
    running.cancel()


class _Health:
    """Requests one probe and reports its result."""

    def __init__(self, inner, target_id, reported):
        self._inner = inner
        self._due = [target_id]
        self._reported = reported

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def due_probes(self):
        due = tuple(self._due)
        self._due.clear()
        return due

    def probed(self, target_id, good, latency_ms):
        self._reported.set_result(good)
