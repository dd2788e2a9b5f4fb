"""Checks of the paths to services that can't be reached."""

import asyncio
import random

import entry_support as support
import pytest

from sardinepier.core import ids
from sardinepier.entry import model, path_check
from sardinepier.gateway import errors

OTHER_SERVICE = ids.ServiceName('maps')


class Connector:
    """Counts connections; those to ports in ``lost`` fail or hang."""

    def __init__(self):
        self.lost = set()
        self.hangs = False
        self.ports = []

    async def check_connection(self, ip, port, timeout_s):
        self.ports.append(port)
        if port not in self.lost:
            return
        await asyncio.sleep(timeout_s if self.hangs else 0)
        raise errors.ConnectTimeoutError('No path', 'Wait')


class Checked:
    """The services of a daemon, and a checker of the paths to them."""

    def __init__(self):
        self.services = support.shared_context().services
        targets = [
            support.listed(f'{service}-{port}', port, service=service)
            for service, ports in (
                (support.SERVICE, (1, 2, 3)),
                (OTHER_SERVICE, (11, 12)),
            )
            for port in ports
        ]
        self.services.offer_targets(model.TargetList(1, tuple(targets)))
        self.connector = Connector()
        self.checker = path_check.PathChecker(
            self.services, self.connector, random.Random(3)
        )

    def lose(self, *ports):
        """Lose the paths to some ports, and notice it at two of the first."""
        self.connector.lost = set(ports)
        for port in (1, 2):
            self.services.connectivity.failed(
                support.SERVICE, ids.TargetId(f'{support.SERVICE}-{port}'), 3
            )

    def is_cut_off(self, service=support.SERVICE):
        return self.services.connectivity.is_cut_off(service)


@pytest.fixture
async def checked():
    checked = Checked()
    running = asyncio.ensure_future(checked.checker.run())
    yield checked
    running.cancel()


async def test_a_path_that_returns_is_noticed(checked):
    """Guards against requests that are relayed for longer than need be."""
    checked.lose(1, 2, 3, 11, 12)
    await support.wait_until(lambda: checked.is_cut_off(OTHER_SERVICE))
    assert checked.is_cut_off()
    assert checked.services.is_cut_off_from_all()
    checked.connector.lost.clear()
    await support.wait_until(lambda: not checked.is_cut_off())
    await support.wait_until(lambda: not checked.is_cut_off(OTHER_SERVICE))


async def test_gone_targets_are_no_lost_path(checked):
    """Guards against relays since two targets happen to be gone."""
    checked.lose(1, 2)
    await support.wait_until(lambda: not checked.is_cut_off())
    assert not checked.is_cut_off(OTHER_SERVICE)


async def test_a_lost_path_is_checked_seldom(checked):
    """Guards against a load of connections while targets are gone."""
    checked.lose(1, 2, 3)
    await asyncio.sleep(1.5)
    assert checked.is_cut_off()
    other = [port for port in checked.connector.ports if port > 10]
    assert len(other) == 1
    assert len(checked.connector.ports) - len(other) < 12


async def test_a_hanging_connection_does_not_hold_up_the_next(checked):
    """Guards against a check that takes two timeouts one after the other."""
    checked.connector.hangs = True
    checked.connector.lost = {1, 2, 3}
    check = asyncio.ensure_future(
        checked.services.connectivity.check(support.SERVICE)
    )
    await support.wait_until(lambda: len(checked.connector.ports) == 2)
    assert not checked.is_cut_off()
    await check
    assert checked.is_cut_off()
