"""A daemon that can open no socket blames no target for it."""

import errno

import entry_support as support
import pytest
from sardinepier.gateway import connections


@pytest.fixture
def no_descriptor(monkeypatch):
    async def fail(*_):
        raise OSError(errno.EMFILE, 'Too many open files')

    monkeypatch.setattr(
        connections.GuardedConnector, '_create_connection', fail
    )


@pytest.mark.parametrize('path', ['/books/1', '/once/1'])
async def test_a_daemon_without_descriptors_blames_no_target(
    entry, no_descriptor, path
):
    # Guards against sound targets that are avoided, by this daemon and by those
    # that it tells, because it has no descriptor left itself.
    await entry.set_targets(support.RawTarget('t1'), support.RawTarget('t2'))
    now_s = entry.shared.clock.monotonic_s()
    targets = entry.shared.services.pool(support.SERVICE).targets
    before = [
        record.estimate.failing_probability(now_s)
        for record in targets.records()
    ]
    status, headers, _ = await entry.send(path)
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert not entry.run_count
    after = [
        record.estimate.failing_probability(now_s)
        for record in targets.records()
    ]
    assert after == before
    connectivity = entry.shared.services.connectivity
    assert not connectivity.is_doubtful(support.SERVICE)
