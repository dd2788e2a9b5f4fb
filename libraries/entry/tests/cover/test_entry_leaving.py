"""Targets that leave after they were selected and before anything is sent.

Guards against a request that is sent to a target which has left meanwhile. At
two instances requests reached targets 2.6 s after their leaving was published,
0.7 s after the requests had arrived. A target is selected from the list of that
moment. A connection to it may take a third of a second, and longer on a busy
instance. The list was not checked again before the first byte was sent.
"""

import entry_support as support
from sardinepier.entry import model
from sardinepier.gateway import connections

ONCE = '/once/1'


async def prefer_first(entry):
    """Start two targets of which the first is selected."""
    leaving, staying = support.RawTarget('t1'), support.RawTarget('t2')
    await entry.set_targets(leaving, staying)
    record = entry.shared.services.pool(support.SERVICE).targets.find('t2')
    record.estimate.failed(entry.shared.clock.monotonic_s(), is_early=False)
    return leaving, staying


def when_connected(monkeypatch, on_connect):
    """Call ``on_connect`` as soon as a connection is established."""
    connect = connections.GuardedConnector._create_connection

    async def connect_and_notify(self, *details):
        made = await connect(self, *details)
        on_connect()
        return made

    monkeypatch.setattr(
        connections.GuardedConnector,
        '_create_connection',
        connect_and_notify,
    )


def without_first(entry, *listed):
    """Apply a list with the second target and ``listed``."""
    second = entry.targets[1]
    entry.shared.services.offer_targets(
        model.TargetList(
            2,
            (support.listed(second.name, second.port), *listed),
        ),
    )


async def test_a_target_that_left_meanwhile_gets_nothing(entry, monkeypatch):
    leaving, staying = await prefer_first(entry)
    pool = entry.shared.services.pool(support.SERVICE)
    record = pool.targets.find(leaving.name)
    estimated_s = record.estimate.updated_s
    while pool.retry_budget.try_spend():
        """Spend the budget: to skip a target that left needs none of it."""
    draining = support.listed(
        leaving.name,
        leaving.port,
        state=model.TargetState.DRAINING,
    )
    when_connected(monkeypatch, lambda: without_first(entry, draining))
    status, _, _ = await entry.send(ONCE)
    assert (status, leaving.received, staying.run_count) == (200, [], 1)
    # The estimate of the target does not change either.
    assert record.estimate.updated_s == estimated_s
