"""Targets that leave after they were chosen, before anything was sent to them.

Seen: at two instances requests reached targets 2.6 s after their leaving was
published. Both requests had been there for 0.7 s. The target is chosen by the
list of that moment; a connection to it may take a third of a second, and the
instance's processor longer. Nothing asked again before the first byte, so that
what was heard meanwhile changed nothing. That a target which leaves within
that time still gets the request is shown here.
"""

import entry_support as support
from sardinepier.entry import model
from sardinepier.gateway import connections

ONCE = '/once/1'


async def prefer_first(entry):
    """Start two targets of which the first is chosen."""
    leaving, other = support.RawTarget('t1'), support.RawTarget('t2')
    await entry.use(leaving, other)
    record = entry.shared.services.pool(support.SERVICE).targets.find('t2')
    record.estimate.failed(entry.shared.clock.monotonic_s(), is_early=False)
    return leaving, other


def when_connected(monkeypatch, hear):
    """Call ``hear`` as soon as a connection is there."""
    connect = connections.GuardedConnector._create_connection

    async def connect_and_hear(self, *details):
        made = await connect(self, *details)
        hear()
        return made

    monkeypatch.setattr(
        connections.GuardedConnector,
        '_create_connection',
        connect_and_hear,
    )


def without_first(entry, *listed):
    """Use a list with the second target and ``listed``."""
    second = entry.targets[1]
    entry.shared.services.offer_targets(
        model.TargetList(
            2,
            (support.listed(second.name, second.port), *listed),
        ),
    )


async def test_a_target_that_left_meanwhile_gets_nothing(entry, monkeypatch):
    leaving, other = await prefer_first(entry)
    pool = entry.shared.services.pool(support.SERVICE)
    record = pool.targets.find(leaving.name)
    believed_s = record.estimate.updated_s
    while pool.retry_budget.try_spend():
        """Leave nothing: to go past a target that left costs nothing."""
    draining = support.listed(
        leaving.name,
        leaving.port,
        state=model.TargetState.DRAINING,
    )
    when_connected(monkeypatch, lambda: without_first(entry, draining))
    status, _, _ = await entry.ask(ONCE)
    assert (status, leaving.seen, other.ran) == (200, [], 1)
    # Nor does it say anything of the target.
    assert record.estimate.updated_s == believed_s
