"""Requests relayed by a daemon that can't connect to the targets."""

import asyncio
import random

import entry_support as support
import pytest
import yarl

from sardinepier.core import ids
from sardinepier.entry import path_check, relay_messages
from sardinepier.gateway import errors, headers

LONG_ANSWER = bytes(range(256)) * 12_000
"""More than a daemon buffers of one answer."""


async def cut_off(fleet, *targets):
    """Cut the first daemon off from targets that the second one reaches."""
    first, second = fleet
    await second.set_targets(*targets)
    await first.lose_path_to(*targets)
    return first


@pytest.mark.parametrize('path', ['/once/1?a=b', '/books/1'])
async def test_a_request_without_a_path_to_targets_is_relayed(fleet, path):
    """Guards against refusals where a peer reaches the targets."""
    targets = support.RawTarget('t-1'), support.RawTarget('t-2')
    first = await cut_off(fleet, *targets)
    status, reply_headers, body = await first.send(path, 'POST', b'a body')
    assert (status, body) == (200, support.BODY)
    assert reply_headers[support.NAMES.signature] == 'proof-of-id-1'
    assert headers.OUTCOME not in reply_headers
    received = [one for target in targets for one in target.received]
    assert len(received) == 1
    line, sent_headers, sent_body = received[0]
    assert line == f'POST {path} HTTP/1.1'.encode()
    assert sent_body == b'a body'
    assert sent_headers[support.NAMES.attempt_id] == 'id-1'
    assert 0 < int(sent_headers[support.NAMES.deadline_ms]) < 2000
    assert headers.RELAYED not in sent_headers


async def test_a_request_that_waits_for_a_slot_is_relayed_too(fleet):
    """Guards against waits behind requests that hang with the path."""
    first = fleet[0]
    target = support.RawTarget('t-1')
    for entry in fleet:
        await entry.set_targets(target)
    services = first.shared.services
    record = services.pool(support.SERVICE).targets.find('t-1')
    record.full_until_s = float('inf')
    sent = asyncio.ensure_future(first.send('/once/1', 'POST', b'a'))
    await support.wait_until(lambda: first.shared.activity.in_flight)
    await asyncio.sleep(0.05)
    assert not target.received
    services.connectivity.failed(support.SERVICE, 't-1', 1)
    assert (await asyncio.wait_for(sent, 0.5))[0] == 200


async def test_a_relayed_request_goes_one_hop_at_most(fleet):
    """Guards against requests that wander between daemons cut off."""
    targets = support.RawTarget('t-1'), support.RawTarget('t-2')
    for entry in fleet:
        await entry.lose_path_to(*targets)
    status, reply_headers, _ = await fleet[0].send('/once/1', 'POST', b'a')
    assert status == 503
    assert float(reply_headers['Retry-After']) < 1
    assert 'relays_total{how="CutOffError",service="books"} 1' in (
        await fleet[0].shared.metrics.text(())
    )
    assert 'relays_total' not in await fleet[1].shared.metrics.text(())


@pytest.mark.parametrize('cut_count', [3, 6])
async def test_a_target_that_a_peer_did_not_reach_may_get_the_request(
    large_fleet, cut_count
):
    """Guards against refusals since a peer without a path tried all targets."""
    targets = support.RawTarget('t-1'), support.RawTarget('t-2')
    for entry in large_fleet[:cut_count]:
        await entry.lose_path_to(*targets)
    reaching = large_fleet[cut_count]
    await reaching.set_targets(*targets)
    reply = await large_fleet[0].send('/once/1', 'POST', b'a')
    assert reply[0] == 200
    assert reaching.run_count == 1


async def test_a_hedge_goes_to_another_peer(large_fleet):
    """Guards against two attempts that wait for the same target."""
    first, hanging, answering = large_fleet[:3]
    targets = support.RawTarget('t-1', ('hang',)), support.RawTarget('t-2')
    await hanging.set_targets(targets[0])
    await answering.set_targets(targets[1])
    await first.lose_path_to(*targets)
    first.shared.services.pool(support.SERVICE).typical_latency_s = 0.02
    reply = await asyncio.wait_for(first.send('/books/1'), 1.0)
    assert reply[0] == 200
    assert [len(target.received) for target in targets] == [1, 1]


async def test_one_connection_times_out_before_a_peer_is_asked(large_fleet):
    """Guards against waits for one timeout after the other, at each daemon."""
    targets = support.RawTarget('t-1'), support.RawTarget('t-2')
    for entry in large_fleet[:3]:
        await entry.set_targets(*targets)
        hang_connections(entry.shared.client, targets)
    await large_fleet[3].set_targets(*targets)
    for entry in large_fleet[4:]:
        entry.peers.urls.pop(entry.own_id)
    reply = await large_fleet[0].send('/once/1', 'POST', b'a')
    assert reply[0] == 200
    for entry in large_fleet[:3]:
        text = await entry.shared.metrics.text(())
        assert 'how="ConnectTimeoutError",service="books"} 1' in text


def hang_connections(client, targets):
    """Let connections to the targets time out, and others succeed."""
    send = client.open
    ports = {target.port for target in targets}

    async def send_or_hang(method, url, *args, connect_timeout_s, **options):
        if url.port not in ports:
            return await send(
                method,
                url,
                *args,
                connect_timeout_s=connect_timeout_s,
                **options,
            )
        await asyncio.sleep(connect_timeout_s / 10)
        raise errors.ConnectTimeoutError('No path', 'Wait')

    client.open = send_or_hang


async def test_few_peers_are_asked_while_no_daemon_reaches_a_target(
    large_fleet,
):
    """Guards against a flood of relays when all targets are gone."""
    targets = support.RawTarget('t-1'), support.RawTarget('t-2')
    for entry in large_fleet:
        await entry.lose_path_to(*targets)
    first = large_fleet[0]
    replies = [await first.send('/once/1', 'POST', b'a') for _ in range(4)]

    assert {reply[0] for reply in replies} == {503}
    assert 'relays_total{how="CutOffError",service="books"} 6' in (
        await first.shared.metrics.text(())
    )


@pytest.mark.parametrize(
    ('path', 'status', 'runs'), [('/once/1', 502, 1), ('/books/1', 200, 2)]
)
async def test_a_lost_relayed_attempt_is_retried_only_if_allowed(
    fleet, path, status, runs
):
    """Guards against a request that runs twice since its reply was lost."""
    targets = [
        support.RawTarget('t-1', ('reset', 'ok')),
        support.RawTarget('t-2', ('reset', 'ok')),
    ]
    first = await cut_off(fleet, *targets)
    targets[1].behaviours = targets[0].behaviours
    reply = await first.send(path, 'POST', b'a')
    assert reply[0] == status
    assert sum(target.run_count for target in targets) == runs


async def test_a_peer_that_dies_leaves_the_outcome_unknown(fleet):
    """Guards against a false statement that the request did not run."""
    first = await cut_off(fleet, support.RawTarget('t-1', ('hang',)))
    sent = asyncio.ensure_future(first.send('/once/1', 'POST', b'a'))
    await support.wait_until(lambda: fleet[1].run_count)
    for connection in fleet[1].relay_server.connections:
        connection.transport.abort()
    reply = await sent
    assert reply[0] == 502
    assert fleet[1].run_count == 1


async def test_a_target_that_refuses_leaves_the_retry_to_the_first_daemon(
    fleet,
):
    """Guards against retries that no daemon's budget counts."""
    targets = [support.RawTarget('t-1', ('shed',)), support.RawTarget('t-2')]
    targets[1].behaviours = ['shed']
    first = await cut_off(fleet, *targets)
    budgets = [
        entry.shared.services.pool(support.SERVICE).retry_budget
        for entry in fleet
    ]
    reply = await first.send('/once/1', 'POST', b'a')
    assert reply[0] == 503
    assert [budget.granted for budget in budgets] == [1, 0]
    assert sorted(len(target.received) for target in targets) == [1, 1]


async def test_the_remaining_deadline_passes_over_the_hop(fleet):
    """Guards against a target that works on after the caller's deadline."""
    target = support.RawTarget('t-1', ('hang',))
    first = await cut_off(fleet, target)
    deadline = {support.NAMES.deadline_ms: '300'}
    reply = await asyncio.wait_for(
        first.send('/once/1', 'POST', b'a', **deadline), 1.0
    )
    assert reply[0] == 504
    assert int(target.received[0][1][support.NAMES.deadline_ms]) < 300
    await support.wait_until(lambda: target.disconnects_while_running)


async def test_a_caller_that_leaves_ends_the_attempt_behind_the_hop(fleet):
    """Guards against targets that work for callers who have left."""
    target = support.RawTarget('t-1', ('hang',))
    first = await cut_off(fleet, target)
    _, writer = await asyncio.open_connection(support.LOOPBACK, first.port)
    writer.write(support.request('/books/1'))
    await support.wait_until(lambda: target.received)
    writer.close()
    await support.wait_until(lambda: target.disconnects_while_running)


async def test_a_daemon_that_exits_makes_no_attempts_for_others(fleet):
    """Guards against attempts that are cut off by the exit of a peer."""
    target = support.RawTarget('t-1')
    first = await cut_off(fleet, target)
    fleet[1].shared.activity.begin_draining()
    assert (await first.send('/once/1', 'POST', b'a'))[0] == 503
    assert not target.received


async def test_a_long_answer_is_streamed_over_the_hop(fleet):
    target = support.RawTarget('t-1', (support.with_body(LONG_ANSWER),))
    first = await cut_off(fleet, target)
    status, _, body = await first.send()
    assert status == 200
    assert body == LONG_ANSWER


async def test_an_answer_that_breaks_off_does_not_look_whole(fleet):
    def broken(echo):
        return support.answer(echo, body=LONG_ANSWER)[:-1000]

    target = support.RawTarget('t-1', (broken,))
    first = await cut_off(fleet, target)
    sent = asyncio.ensure_future(first.send())
    await support.wait_until(lambda: target.received)
    await asyncio.sleep(0.1)
    target.vanish()
    with pytest.raises(asyncio.IncompleteReadError):
        await sent


async def test_callers_can_not_mark_a_request_as_relayed(fleet):
    """Guards against callers who avoid the limits of the first daemon."""
    target = support.RawTarget('t-1')
    await fleet[0].set_targets(target)
    reply = await fleet[0].send(**{headers.RELAYED: 'kQ=='})
    assert reply[0] == 200
    assert headers.RELAYED not in target.received[0][1]


async def test_only_daemons_of_the_fleet_may_relay(fleet):
    """Guards against anybody else who reaches the address for relays."""
    target = support.RawTarget('t-1')
    first = await cut_off(fleet, target)
    first.peers.urls.pop(first.own_id)
    reply = await first.send('/once/1', 'POST', b'a')
    assert reply[0] == 503
    assert not target.received


async def test_what_a_cut_resets_is_no_evidence(fleet):
    """Guards against requests and targets that are blamed for a lost path."""
    first = fleet[0]
    path_check.PathChecker(
        first.shared.services, first.shared.client, random.Random(1)
    )
    targets = [support.RawTarget(f't-{number}', ('hang',)) for number in '123']
    await first.set_targets(*targets)
    pool = first.shared.services.pool(support.SERVICE)
    before = failing_probabilities(pool)
    requests = [
        asyncio.ensure_future(first.send('/once/1', 'POST', bytes([number])))
        for number in range(3)
    ]
    await support.wait_until(lambda: all(one.received for one in targets))
    for target in targets:
        target.vanish()
    replies = await asyncio.gather(*requests)
    assert [reply[0] for reply in replies] == [502, 502, 502]
    assert not first.shared.quarantine.has_marks()
    assert failing_probabilities(pool) <= before


def failing_probabilities(pool):
    """Return the estimates of all targets, rounded, best first."""
    now_s = asyncio.get_running_loop().time()
    return sorted(
        round(record.estimate.failing_probability(now_s), 1)
        for record in pool.targets.records()
    )


# Guards against requests that run twice: a reply about another request, or
# about none, says that nothing ran.
@pytest.mark.parametrize('outcome', ['CUT_OFF', 'SHED', 'REFUSED'])
@pytest.mark.parametrize('replied_id', ['another', None])
async def test_a_reply_without_the_id_proves_nothing(
    fleet, outcome, replied_id
):
    peer = await relay_to_stranger(
        fleet,
        lambda _: relayed(
            relay_messages.RelayReply(relay_messages.RelayOutcome[outcome]),
            replied_id,
        ),
    )
    status, _, _ = await fleet[0].send('/once/1', 'POST', b'a')
    assert (status, len(peer.received)) == (502, 1)
    peer.vanish()


async def test_a_relayed_request_without_an_id_gets_a_connection_of_its_own(
    fleet,
):
    # Guards against a late reply, which nothing tells from the one to a request
    # that bears no id.
    peer = await relay_to_stranger(
        fleet,
        lambda _: relayed(
            relay_messages.RelayReply(relay_messages.RelayOutcome.LOST), None
        ),
    )
    for _ in range(3):
        await fleet[0].send(
            '/once/1', 'POST', b'a', **{support.NAMES.attempt_id: ''}
        )
    assert (len(peer.received), peer.connections) == (3, 3)
    peer.vanish()


def relayed(reply, replied_id):
    """Return the bytes of a peer's reply, with an id or none."""
    return support.answer(
        replied_id,
        '502 Bad Gateway',
        identified=replied_id is not None,
        signed=False,
        extra=f'{headers.OUTCOME}: {relay_messages.encode(reply)}',
    )


async def relay_to_stranger(fleet, behaviour):
    """Let the first daemon relay to a peer that replies by ``behaviour``."""
    entry, other = fleet
    entry.peers.urls.pop(other.own_id)
    peer = support.RawTarget('peer', [behaviour])
    await entry.lose_path_to(support.RawTarget('t-1'), support.RawTarget('t-2'))
    await peer.start()
    for number in (8, 9):
        entry.peers.urls[ids.InstanceId(f'd~{number:016x}')] = yarl.URL(
            f'http://{support.LOOPBACK}:{peer.port}'
        )
    return peer
