"""Connections that are drained when the daemon exits."""

import asyncio
import socket

import entry_support as support
import pytest

SMALL_BUFFER_BYTES = 4096
BODY = bytes(range(256)) * 200
"""Fits into the write buffer of a connection, but not into those of sockets
that hold ``SMALL_BUFFER_BYTES``."""

LONG_S = 60.0
HALF = len(BODY) // 2


async def slow_caller(entry):
    """Connect with a receive buffer that holds little."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (support.LOOPBACK, entry.port))
    return caller


async def read_all(caller):
    loop = asyncio.get_running_loop()
    received = bytearray()
    while chunk := await loop.sock_recv(caller, SMALL_BUFFER_BYTES):
        received += chunk
    caller.close()
    return bytes(received)


def drained(entry, within_s=support.TIMEOUT_S):
    return asyncio.create_task(entry.server.close(within_s))


async def test_draining_ends_after_a_slow_caller_has_the_whole_answer(entry):
    # Guards against an exit that discards the bytes of answers that were
    # complete, but not yet sent to callers that read slowly.
    await entry.set_targets(support.RawTarget('t1', [support.with_body(BODY)]))
    for listener in entry.server._listener.sockets:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
    caller = await slow_caller(entry)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, support.request())
    await support.wait_until(lambda: entry.shared.activity.requests_started)
    await support.wait_until(lambda: not entry.shared.activity.in_flight)
    draining = drained(entry)
    await asyncio.sleep(0.2)
    assert not draining.done()
    assert (await read_all(caller)).endswith(BODY)
    assert await draining == 0


async def test_draining_closes_idle_connections_at_once(entry):
    await entry.set_targets(support.RawTarget('t1'))
    used_reader, used_writer = await asyncio.open_connection(
        support.LOOPBACK, entry.port
    )
    used_writer.write(support.request())
    await support.read_answer(used_reader)
    new_reader, new_writer = await asyncio.open_connection(
        support.LOOPBACK, entry.port
    )
    await support.wait_until(lambda: len(entry.server.connections) == 2)
    assert await drained(entry) == 0
    assert await used_reader.read() == b''
    assert await new_reader.read() == b''
    used_writer.close()
    new_writer.close()


async def test_a_connection_accepted_as_draining_begins_is_closed(entry):
    # Guards against connections that are neither read nor closed.
    connecting = asyncio.create_task(
        asyncio.open_connection(support.LOOPBACK, entry.port)
    )
    while not entry.server.connections:
        await asyncio.sleep(0)
    assert await drained(entry) == 0
    reader, writer = await connecting
    assert await reader.read() == b''
    writer.close()


async def test_a_connection_accepted_after_draining_began_is_closed(entry):
    # Guards against requests that nobody waits for.
    caller, accepted = socket.socketpair()
    caller.setblocking(False)
    assert await drained(entry) == 0
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(entry.server, accepted)
    assert await read_all(caller) == b''


async def test_a_body_that_arrives_while_draining_is_read(entry):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    whole = support.request('/once/1', 'POST', BODY)
    writer.write(whole[:-HALF])
    await support.wait_until(lambda: entry.shared.activity.in_flight)
    draining = drained(entry)
    await asyncio.sleep(0.05)
    writer.write(whole[-HALF:])
    status, headers, _ = await support.read_answer(reader)
    assert (status, headers['Connection']) == (200, 'close')
    assert target.received[0][2] == BODY
    assert await draining == 0
    writer.close()


async def test_draining_cuts_off_what_is_not_answered_in_time(entry):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request())
    await support.wait_until(lambda: target.received)
    assert await drained(entry, 0.05) == 1
    assert await reader.read() == b''
    writer.close()


@pytest.mark.parametrize(
    ('accept_for_s', 'exit_in_s', 'status'),
    [(LONG_S, 0.1, 200), (0, LONG_S, 200), (0, 0.1, 503)],
)
async def test_no_request_is_accepted_that_may_outlast_the_daemon(
    entry, accept_for_s, exit_in_s, status
):
    # Guards against requests that are sent to targets shortly before the exit
    # and cut off by it.
    await entry.set_targets(support.RawTarget('t1'))
    now_s = entry.shared.clock.monotonic_s()
    entry.shared.activity.begin_draining(
        now_s + accept_for_s, now_s + exit_in_s
    )
    await asyncio.sleep(0.01)
    answered, headers, _ = await entry.send('/once/1', 'POST')
    assert answered == status
    assert entry.run_count == int(status == 200)
    assert headers['Connection'] == 'close'


async def test_a_relayed_request_is_answered_before_the_relays_close(fleet):
    # Guards against an exit that cuts off the requests of other daemons.
    target = support.RawTarget('t1', ['gated'])
    await fleet[1].set_targets(target)
    await fleet[0].lose_path_to(target)
    asking = asyncio.create_task(fleet[0].send('/once/1', 'POST'))
    await support.wait_until(lambda: target.received)
    closing = asyncio.create_task(
        fleet[1].relay_server.close(support.TIMEOUT_S)
    )
    await asyncio.sleep(0.05)
    target.gate.set()
    status, _, _ = await asking
    assert status == 200
    assert await closing == 0


async def test_a_caller_that_sends_on_loses_no_answer(entry):
    # Guards against a reset by unread bytes, which discards an answer that is
    # still being sent.
    await entry.set_targets(support.RawTarget('t1', [support.with_body(BODY)]))
    for listener in entry.server._listener.sockets:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
    caller = await slow_caller(entry)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, support.request())
    entry.shared.activity.begin_draining()
    await support.wait_until(lambda: entry.shared.activity.requests_started)
    await support.wait_until(lambda: not entry.shared.activity.in_flight)
    await loop.sock_sendall(caller, support.request())
    assert (await read_all(caller)).endswith(BODY)
    assert entry.run_count == 1


class WorkingTarget(support.RawTarget):
    """A target that takes ``WORK_S`` for a request, and records each start."""

    def __init__(self, name):
        super().__init__(name)
        self.started_s = []

    async def _answer(self, behaviour, headers, reader, writer):
        self.started_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        return await super()._answer(behaviour, headers, reader, writer)


WORK_S = 0.6


@pytest.mark.parametrize('accept_for_s', [0.3, 1.2])
async def test_no_request_is_sent_that_the_exit_is_likely_to_cut_off(
    entry, accept_for_s
):
    # Guards against requests that wait for a slot, are passed on shortly before
    # the exit, and are cut off by it.
    target = WorkingTarget('t1')
    await entry.set_targets(target)
    for _ in range(2):
        await entry.send('/once/1', 'POST')
    activity = entry.shared.activity
    exit_in_s = 2 * WORK_S + accept_for_s
    loop = asyncio.get_running_loop()
    exit_s = loop.time() + exit_in_s
    deadline = {support.NAMES.deadline_ms: '4900'}
    sent = [
        asyncio.create_task(entry.send('/once/1', 'POST', **deadline))
        for _ in range(20)
    ]
    await asyncio.sleep(0.1)
    now_s = entry.shared.clock.monotonic_s()
    activity.begin_draining(now_s + accept_for_s, now_s + exit_in_s - 0.1)
    loop.call_at(exit_s, activity.cut_off)
    waiting, refused_s = set(sent), []
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        refused_s += [loop.time() for task in done if task.result()[0] == 503]
    served = sum(task.result()[0] == 200 for task in sent)
    assert served + len(refused_s) == len(sent)
    assert target.run_count == served + 2
    assert served and refused_s
    # Callers have time to go elsewhere.
    assert max(refused_s) < exit_s - WORK_S / 2
    assert max(target.started_s) < exit_s - WORK_S / 2


async def test_a_request_that_ends_before_its_deadline_waits_until_the_exit(
    entry,
):
    # Guards against refusals of requests that no exit cuts off.
    target = WorkingTarget('t1')
    await entry.set_targets(target)
    await entry.send('/once/1', 'POST')
    now_s = entry.shared.clock.monotonic_s()
    entry.shared.activity.begin_draining(now_s, now_s + WORK_S / 2)
    deadline = {support.NAMES.deadline_ms: '200'}
    status, _, _ = await entry.send('/once/1', 'POST', **deadline)
    assert status in {502, 504}
    assert len(target.started_s) == 2
