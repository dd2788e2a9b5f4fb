"""Open exchanges with targets whose process is gone."""

import asyncio

import entry_support as support
import pytest
from sardinepier.entry import model

GRACE_S = 1.5
"""Far less than the deadline of the requests and the time of keep-alive."""

GONE_S = 5.0
"""How long a request may be held by a target whose machine is gone."""


async def hold_one(entry, target, path, method='POST', deadline_ms='5000'):
    """Start a request that ``target`` receives and does not answer."""
    deadline = {support.NAMES.deadline_ms: deadline_ms}
    held = asyncio.ensure_future(entry.send(path, method, **deadline))
    await support.wait_until(lambda: target.received)
    return held


class Refusal:
    """A request held by the first of two targets, which refuses connections.

    Routes and callers wait far longer than the tests.
    """

    async def begin(self, entry, path, behaviour):
        timeout_s = 4 * GONE_S
        routes = (
            support.route(timeout_s=timeout_s),
            support.route(
                '/once/', model.RouteKind.NON_IDEMPOTENT, timeout_s=timeout_s
            ),
        )
        entry.shared.services.offer_configuration(
            support.configuration(2, routes)
        )
        self.target = support.RawTarget('t-1', (behaviour,))
        other = support.RawTarget('t-2')
        await entry.set_targets(self.target, other)
        pool = entry.shared.services.pool(support.SERVICE)
        free = pool.targets.find(other.name)
        free.full_until_s = float('inf')
        self.held = await hold_one(
            entry, self.target, path, deadline_ms='20000'
        )
        self.target.server.close()
        probe = asyncio.ensure_future(entry.send('/books/2'))
        await asyncio.sleep(0.2)
        free.full_until_s = 0.0
        assert (await probe)[0] == 200


# Guards against requests that are broken off at work, as their target, whose
# queue is long, takes no further connections.
@pytest.mark.parametrize('path', ['/once/1', '/books/1'])
async def test_a_refused_connection_ends_no_request_at_work(entry, path):
    refusal = Refusal()
    await refusal.begin(entry, path, 'gated')
    await asyncio.sleep(GONE_S)
    assert not refusal.held.done()
    refusal.target.gate.set()
    status, _, body = await asyncio.wait_for(refusal.held, GRACE_S)
    assert (status, body) == (200, support.BODY)
    assert refusal.target.run_count == 1


@pytest.mark.parametrize(
    ('path', 'status'),
    [('/once/1', 502), ('/books/1', 200)],
)
async def test_a_target_that_is_gone_ends_the_open_exchange(
    entry, path, status
):
    """Guards against requests held by a process that is gone."""
    refusal = Refusal()
    await refusal.begin(entry, path, 'hang')
    support.drop_segments(refusal.target.writers[0])
    reply = await asyncio.wait_for(refusal.held, GONE_S)
    assert reply[0] == status
    # The loss is not attributed to the request.
    assert not entry.shared.quarantine.has_suspect_request_on(
        refusal.target.name
    )
    text = await entry.shared.metrics.text(())
    assert 'exchanges_ended_total{cause="unreachable"} 1' in text


async def test_a_target_that_leaves_unannounced_completes_its_request(entry):
    """It closed its socket first, and the list showed it a second later."""
    leaving = support.RawTarget('t-1', ('gated',))
    other = support.RawTarget('t-2')
    await entry.set_targets(leaving, other)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find(other.name).full_until_s = float('inf')
    held = await hold_one(entry, leaving, '/once/1')
    leaving.server.close()
    probe = asyncio.ensure_future(entry.send('/books/2'))
    await asyncio.sleep(0.5)
    pool.targets.find(other.name).full_until_s = 0.0
    pool.targets.remove(leaving.name)
    await asyncio.sleep(2.5)
    leaving.gate.set()
    assert (await asyncio.wait_for(held, GRACE_S))[0] == 200
    assert (await probe)[0] == 200


async def test_another_process_at_the_address_ends_the_open_exchange(entry):
    """Guards against requests held by the process before a restart."""
    target = support.RawTarget('t-1', ('hang', 'other'))
    await entry.set_targets(target)
    held = await hold_one(entry, target, '/once/1')
    probe = asyncio.ensure_future(entry.send('/books/2'))
    assert (await asyncio.wait_for(held, GRACE_S))[0] == 502
    assert (await probe)[0] == 503


@pytest.mark.parametrize(('next_id', 'status'), [('t@2', 502), ('t@1', 200)])
async def test_only_the_next_incarnation_ends_the_open_exchange(
    entry, next_id, status
):
    """Guards against requests held by the incarnation before a restart."""
    target = support.RawTarget('t', ('gated', 'ok'))
    await target.start()
    offer(entry, 1, support.listed('t@1', target.port, name='t', born_ms=1))
    held = await hold_one(entry, target, '/once/1')
    offer(entry, 2)
    offer(entry, 3, support.listed(next_id, target.port, name='t', born_ms=2))
    assert not held.done()
    assert (await entry.send('/books/2'))[0] == 200
    await asyncio.sleep(0.2)
    target.gate.set()
    assert (await asyncio.wait_for(held, GRACE_S))[0] == status
    target.server.close()


async def test_a_target_that_is_only_not_listed_completes_its_request(entry):
    """Guards against losing the requests of a target that is leaving."""
    target = support.RawTarget('t-1', ('gated',))
    await entry.set_targets(target)
    held = await hold_one(entry, target, '/once/1')
    await entry.set_targets(support.RawTarget('t-2'))
    assert (await entry.send('/books/2'))[0] == 200
    target.gate.set()
    assert (await asyncio.wait_for(held, GRACE_S))[0] == 200
    target.server.close()


def offer(entry, revision, *listed):
    entry.shared.services.offer_targets(model.TargetList(revision, listed))


async def test_a_target_listed_at_another_address_gets_requests_there(entry):
    # Guards against requests that fail in the daemon, though their target has
    # answered, since the list named another address meanwhile.
    old, new = support.RawTarget('t1', ['gated']), support.RawTarget('t1')
    await entry.set_targets(old)
    sent = asyncio.ensure_future(entry.send('/once/1', 'POST'))
    await support.wait_until(lambda: old.received)
    await entry.set_targets(new)
    assert (await entry.send('/once/2', 'POST'))[0] == 200
    assert new.run_count == 1
    old.gate.set()
    assert (await sent)[0] == 200
    old.server.close()
