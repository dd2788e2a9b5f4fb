"""Membership over ZeroMQ sockets: four daemons in one process."""

import asyncio
import random

import pytest

from sardinepier.core import clock, ids
from sardinepier.membership import (
    events,
    kinds,
    marks,
    members,
    membership,
    options,
)
from sardinepier.wire import messages, zmq_network

_OPTIONS = options.MembershipOptions(
    heartbeat_interval_s=0.05,
    suspicion_timeout_s=0.3,
    pause_gap_s=5.0,
    contact_retry_s=0.1,
)


class _Daemon:
    def __init__(self, name, port=0):
        self.clock = clock.SystemClock()
        address = messages.PeerAddress('127.0.0.1', port)
        sender = messages.Sender(ids.InstanceId(name), address)
        self.network = zmq_network.ZmqNetwork(
            kinds.KINDS, sender, address, self.clock
        )
        self.network.open()
        self.address = self.network.sender.address
        self.events = []
        self.membership = membership.Membership(
            members.Member(
                instance_id=sender.instance_id,
                daemon_id=members.daemon_of(sender.instance_id),
                zone=ids.ZoneName('zone-1'),
                region=ids.RegionName('region-1'),
                peer_address=self.address,
                http_ip='127.0.0.1',
                http_port=8080,
                incarnation=0,
                state=members.MemberState.ALIVE,
                started_at_s=self.clock.monotonic_s(),
            ),
            self.network,
            self.clock,
            random.Random(name),
            _OPTIONS,
            lambda: marks.ConfigurationMark(1, 2),
            lambda sender, mark: None,
            self.events.append,
        )
        self._tasks = [
            asyncio.create_task(self.network.run()),
            asyncio.create_task(self.membership.run()),
        ]

    def names(self):
        return {member.instance_id for member in self.membership.serving()}

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _until_all_see(daemons, expected):
    async with asyncio.timeout(30):
        while any(daemon.names() != expected for daemon in daemons):
            await asyncio.sleep(0.02)


@pytest.fixture
async def daemons():
    started = [_Daemon(f'entry-{index}~0') for index in range(4)]
    for daemon in started:
        daemon.membership.seed([started[0].address])
    yield started
    for daemon in started:
        await daemon.stop()


async def test_join_leave_crash_and_replacement_over_sockets(daemons):
    names = {f'entry-{index}~0' for index in range(4)}
    await _until_all_see(daemons, names)

    daemons[1].membership.announce_leaving()
    await _until_all_see(daemons, names - {'entry-1~0'})

    await daemons[2].stop()
    await _until_all_see([daemons[0], daemons[3]], {'entry-0~0', 'entry-3~0'})

    daemons[2] = _Daemon('entry-2~1', daemons[2].address.port)
    daemons[2].membership.seed([daemons[0].address])
    expected = {'entry-0~0', 'entry-2~1', 'entry-3~0'}
    await _until_all_see(daemons, expected)
    assert daemons[0].membership.find('entry-2~0') is None or (
        daemons[0].membership.find('entry-2~0').state
        is members.MemberState.DEAD
    )
    joined = [
        event.instance_id
        for event in daemons[0].events
        if isinstance(event, events.MemberJoined)
    ]
    assert joined.count('entry-2~1') == 1
    moment_s = daemons[0].clock.monotonic_s()
    async with asyncio.timeout(10):
        while not daemons[0].membership.confirm_since(moment_s):
            await asyncio.sleep(0.02)
