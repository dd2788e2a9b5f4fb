"""Relays between daemons that lose and regain their paths to targets in trouble."""

import asyncio
import collections
import contextlib
import random

import entry_support as support
import pytest
import soak
import soak_targets
from sardinepier_adapter import names

from sardinepier.entry import model

DAEMONS = 4
CALLERS = 8
REQUESTS_PER_CALLER = 15


class Fleet:
    """Daemons in one process, and the targets with what they ran."""

    faults = soak_targets.FAULTS

    def __init__(self, seed, daemons):
        self.seed = seed
        self.daemons = daemons
        self.sent = {}
        self.unasked = []
        self.runs = collections.Counter()
        self.ended_s = {}
        self.statuses = {}
        self.source = random.Random(seed)
        self._ports = {}

    def now_s(self):
        return asyncio.get_running_loop().time()

    async def start_targets(self):
        for name in soak.TARGETS:
            await soak_targets.FaultyTarget(name, self).start()
        for daemon in self.daemons:
            self.set_path(daemon, has_path=True)

    def list_target(self, name, port, **_):
        self._ports[name] = port

    def set_path(self, daemon, *, has_path):
        """List the targets at their addresses, or where nothing listens."""
        daemon.list_revision += 1
        listed = [
            support.listed(
                name, port if has_path else support.closed_port(), slots=100
            )
            for name, port in self._ports.items()
        ]
        services = daemon.shared.services
        services.offer_targets(
            model.TargetList(daemon.list_revision, tuple(listed))
        )
        if has_path:
            # As a path check would report it.
            services.connectivity.connected(support.SERVICE)

    async def change_paths(self):
        while True:
            await asyncio.sleep(self.source.uniform(0.05, 0.4))
            daemon = self.source.choice(self.daemons)
            self.set_path(daemon, has_path=self.source.random() < 0.5)

    async def call(self, number):
        source = random.Random(f'{self.seed} {number}')
        for count in range(REQUESTS_PER_CALLER):
            request = self._request(f'id-{number}-{count}')
            answer = await source.choice(self.daemons).send(
                request.path,
                request.method,
                b'x' * request.length,
                **{names.HEADERS.attempt_id: request.request_id},
            )
            self.statuses[request.request_id] = answer[0]
            await asyncio.sleep(float(answer[1].get('Retry-After', 0)))

    def _request(self, request_id):
        request = soak.Request(
            request_id,
            'pool',
            False,
            self.now_s(),
            '',
            method='POST',
            path=f'/once/{request_id}',
            length=7,
        )
        self.sent[request_id] = request
        return request


async def play(seed):
    """Play one seed; return the fleet with the statuses and runs by id."""
    async with support.running_fleet(DAEMONS) as daemons:
        fleet = Fleet(seed, daemons)
        await fleet.start_targets()
        changing = asyncio.create_task(fleet.change_paths())
        await asyncio.gather(*map(fleet.call, range(CALLERS)))
        changing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await changing
        relayed = [
            'relays_total' in await daemon.shared.metrics.text(())
            for daemon in daemons
        ]
    assert any(relayed)
    return fleet


# Guards against relayed requests that run at the targets of two daemons.
@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_no_relayed_request_runs_twice(seed, monkeypatch):
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    fleet = await play(seed)
    assert max(fleet.runs.values()) == 1
    assert not fleet.unasked
    refused = {
        name
        for name, status in fleet.statuses.items()
        if status in soak.NOT_RUN_STATUSES
    }
    assert not refused & fleet.runs.keys()
    served = sum(status == 200 for status in fleet.statuses.values())
    assert served > len(fleet.statuses) / 3
