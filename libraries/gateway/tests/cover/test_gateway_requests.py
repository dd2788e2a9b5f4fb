"""Requests that are forwarded unchanged, and requests that are refused."""

import asyncio
import json

import pytest

from sardinepier.once import tickets

SHORT_DEADLINE = {'Sardinepier-Deadline-Ms': '300'}
BUDGET_BYTES = 67_108_864


@pytest.mark.parametrize(
    'path',
    [
        '/books/1',
        '/books/%2e%2E%41',
        '/books/a+b%20c',
        '/books/1?q=a+b%20c&&q=%C3%A9;x=[1]',
        '/books/1?a=b?c=/../d',
        '/books/%zz?%',
        '/?x',
        '/books/1?',
        '/books/!$&()*,;=:@',
    ],
)
async def test_path_query_and_body_arrive_byte_for_byte(harness, path):
    target = await harness.add_target()
    gateway = await harness.add_gateway()
    body = bytes(range(256))
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    writer.write(
        f'GET /books{path} HTTP/1.1\r\nHost: own.name\r\nX-A: 1\r\n'
        f'X-a: 2\r\nContent-Length: 256\r\nContent-Encoding: gzip\r\n'
        f'Connection: X-Hop\r\nX-Hop: 1\r\nTE: x\r\n\r\n'.encode()
        + body,
    )
    assert b' 200 ' in await reader.readline()
    writer.close()
    seen = target.seen[0]
    assert len(target.seen) == 1
    assert seen.line == f'GET {path} HTTP/1.1'
    assert seen.body == body
    names = [name for name, _ in seen.headers]
    assert names.count('x-a') == 2
    assert seen.header('host') == 'own.name'
    assert not {'x-hop', 'te', 'accept', 'user-agent'}.intersection(names)
    assert 0 < int(seen.header('sardinepier-deadline-ms')) <= 20_000


async def test_a_long_body_arrives_whole(harness):
    target = await harness.add_target()
    await harness.add_gateway(request_body_limit_bytes=10**6)
    body = bytes(range(256)) * 3000
    answer, _ = await harness.send('PUT', '/books/books/1', data=body)
    assert answer.status == 200
    assert [seen.body for seen in target.seen] == [body]


async def test_head_keeps_the_length_and_has_no_content(harness):
    target = await harness.add_target()
    target.content = b''
    await harness.add_gateway()
    answer, content = await harness.send('HEAD', '/books/books/1')
    assert (answer.status, content) == (200, b'')
    assert answer.headers['Content-Length'] == '0'
    assert target.seen[0].line.startswith('HEAD')


REFUSED = [
    # method, path, headers, body, status, problem
    ('GET', '/', {}, b'', 404, 'unknown-route'),
    ('GET', '/none/books/1', {}, b'', 404, 'unknown-service'),
    ('GET', '/books/none', {}, b'', 404, 'unknown-route'),
    ('GET', '/books/books/../1', {}, b'', 404, 'unknown-route'),
    ('PATCH', '/books/books/1', {}, b'', 405, 'method-not-allowed'),
    ('GET', '/v1/none', {}, b'', 404, 'unknown-route'),
    ('POST', '/v1/addresses', {}, b'', 405, 'method-not-allowed'),
    ('GET', '/v1/addresses?service=none', {}, b'', 404, 'unknown-service'),
    ('POST', '/books/postings', {}, b'', 428, 'key-required'),
    ('POST', '/books/postings', {'Idempotency-Key': 'x'}, b'', 400, 'bad-key'),
    ('PUT', '/books/books/1', {}, b'x' * 10_001, 413, 'body-too-large'),
    ('GET', '/books/books/1', {'X': 'y' * 9000}, b'', 431, 'header-too-large'),
    ('GET', f'/books/{"x" * 9000}', {}, b'', 431, 'header-too-large'),
    ('GET', '/books/books/1', {'Caller': 'é'}, b'', 400, 'bad-request'),
    (
        'GET',
        '/books/books/1',
        {'Sardinepier-Deadline-Ms': '9' * 5000},
        b'',
        400,
        'bad-request',
    ),
    (
        'GET',
        '/books/books/1',
        {'Sardinepier-Deadline-Ms': '0'},
        b'',
        504,
        'deadline-passed',
    ),
]


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'body', 'status', 'problem'),
    REFUSED,
)
async def test_refused_requests_reach_no_target(
    harness,
    method,
    path,
    headers,
    body,
    status,
    problem,
):
    target = await harness.add_target()
    await harness.add_gateway()
    answer, content = await harness.send(
        method,
        path,
        headers=headers,
        data=body,
    )
    assert (answer.status, answer.headers['Sardinepier-Outcome']) == (
        status,
        'not-run',
    )
    document = json.loads(content)
    assert document['type'].endswith(f':{problem}')
    assert not target.seen
    if problem in {'key-required', 'bad-key'}:
        headers = {'Idempotency-Key': f'{document["ticket"]}.1'}
        answer, _ = await harness.send(method, path, headers=headers)
        assert answer.status == 200


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET http://x/books/books/1 HTTP/1.1\r\nHost: x\r\n\r\n', b'400'),
        (b'GET /books/books/1#x HTTP/1.1\r\nHost: x\r\n\r\n', b'400'),
        (b'GET /books/books/\xc3\xa9 HTTP/1.1\r\nHost: x\r\n\r\n', b'400'),
        (b'GET /books/books/1 HTTP/1.1\r\nX: \xff\r\nHost: x\r\n\r\n', b'400'),
        (
            b'PUT /books/books/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n'
            b'Sardinepier-Deadline-Ms: 100\r\n\r\nshort',
            b'408',
        ),
        (
            b'PUT /books/books/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
            b'Expect: 100-continue\r\n\r\n',
            b'100',
        ),
        (
            b'PUT /books/books/1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue'
            b'\r\nContent-Length: 99999\r\n\r\n',
            b'413',
        ),
        (
            b'PUT /books/books/1 HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 99999999999\r\n\r\n',
            b'413',
        ),
    ],
)
async def test_raw_requests_get_the_expected_status(harness, sent, status):
    target = await harness.add_target()
    gateway = await harness.add_gateway()
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    writer.write(sent)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.split()[1] == status
    if status != b'100':
        assert b'Sardinepier-Outcome: not-run' in head
        assert not target.seen
    writer.close()


async def test_refusals_of_a_resend_do_not_claim_not_run(harness):
    target = await harness.add_target('drop after running')
    gateway = await harness.add_gateway(caller_burst_requests=1)
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1', 'Caller': 'c'}
    first, _ = await harness.send('POST', '/books/postings', headers=headers)
    assert first.headers['Sardinepier-Outcome'] == 'unknown'
    gateway.runtime().caller_limits = _Refusing()
    again, _ = await harness.send('POST', '/books/postings', headers=headers)
    assert (again.status, again.headers['Sardinepier-Outcome']) == (
        429,
        'unknown',
    )
    new_key = {**headers, 'Idempotency-Key': f'{await harness.ticket()}.2'}
    fresh, _ = await harness.send('POST', '/books/postings', headers=new_key)
    assert fresh.headers['Sardinepier-Outcome'] == 'not-run'
    assert int(fresh.headers['Retry-After']) >= 1
    assert sum(target.ran.values()) == 1


class _Refusing:
    def admit(self, caller):
        from sardinepier.routing import errors  # noqa: PLC0415, WPS433 - local

        raise errors.CallerLimitError('Too many', 'Wait', 2.5)


async def test_a_key_belongs_to_one_request_and_one_caller(harness):
    target = await harness.add_target()
    await harness.add_gateway()
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1', 'Caller': 'a'}
    await harness.send('POST', '/books/postings', headers=headers, data=b'1')
    conflict, content = await harness.send(
        'POST',
        '/books/postings',
        headers=headers,
        data=b'2',
    )
    assert conflict.status == 422
    assert json.loads(content)['type'].endswith('key-conflict')
    other_caller, _ = await harness.send(
        'POST',
        '/books/postings',
        headers={**headers, 'Caller': 'b'},
        data=b'1',
    )
    assert other_caller.status == 200
    assert [seen.header('caller') for seen in target.seen] == ['a', 'b']


@pytest.mark.parametrize(
    ('change', 'status', 'outcome'),
    [
        ({'epoch': 5}, 400, 'not-run'),
        ({'home': 'd9~0000000000000009'}, 502, 'unknown'),
        ({'home': 'd0~0000000000000001'}, 502, 'unknown'),
    ],
)
async def test_tickets_of_others_and_of_the_future(
    harness,
    change,
    status,
    outcome,
):
    target = await harness.add_target()
    await harness.add_gateway()
    valid = tickets.parse_ticket(await harness.ticket())
    fields = {
        'home': valid.home,
        'epoch': valid.epoch,
        'nonce': valid.nonce,
        **change,
    }
    text = tickets.format_ticket(tickets.Ticket(**fields))
    headers = {'Idempotency-Key': f'{text}.1'}
    answer, _ = await harness.send('POST', '/books/postings', headers=headers)
    assert (answer.status, answer.headers['Sardinepier-Outcome']) == (
        status,
        outcome,
    )
    assert not target.seen


async def test_the_memory_of_bodies_is_limited(harness):
    target = await harness.add_target()
    gateway = await harness.add_gateway()
    budget = gateway.context.body_budget
    held = budget.reservation(BUDGET_BYTES)
    await held.grow(BUDGET_BYTES)
    answer, content = await harness.send(
        'PUT', '/books/books/1', data=b'xy', headers=SHORT_DEADLINE
    )
    assert (answer.status, answer.headers['Retry-After']) == (503, '1')
    assert json.loads(content)['type'].endswith('overloaded')
    assert budget.held_bytes == BUDGET_BYTES
    assert not target.seen
    held.release()
    answer, _ = await harness.send('PUT', '/books/books/1', data=b'xy')
    assert (answer.status, budget.held_bytes) == (200, 0)


async def test_bodies_count_by_what_arrived_of_them(harness):
    # Guards against callers whose stated lengths use up the memory of bodies.
    await harness.add_target()
    gateway = await harness.add_gateway(request_body_limit_bytes=60_000_000)
    writers = []
    for _ in range(3):
        _, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
        writer.write(
            b'PUT /books/books/1 HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: 60000000\r\n\r\nx'
        )
        writers.append(writer)
    while gateway.context.activity.in_flight < len(writers):
        await asyncio.sleep(0.01)
    answer, _ = await harness.send(
        'PUT', '/books/books/2', data=bytes(1_000_000)
    )
    assert answer.status == 200
    assert gateway.context.body_budget.held_bytes < 1_000_000
    for writer in writers:
        writer.close()


async def test_a_chunked_body_counts_whole(harness):
    # Guards against chunked bodies that take more memory than was reserved.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway(request_body_limit_bytes=10_000_000)

    async def body():
        for _ in range(8):
            yield bytes(1_000_000)

    sending = asyncio.create_task(
        harness.send('PUT', '/books/books/1', data=body())
    )
    while not target.seen:
        await asyncio.sleep(0.01)
    assert gateway.context.body_budget.held_bytes == 8_000_000
    target.released.set()
    answer, _ = await sending
    assert (answer.status, gateway.context.body_budget.held_bytes) == (200, 0)


async def test_a_keyed_body_is_held_until_its_request_ends(harness):
    # Guards against memory given back while a request goes on without its caller.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    key = f'{await harness.ticket()}.1'
    sending = asyncio.create_task(
        harness.send(
            'POST',
            '/books/postings',
            data=bytes(5000),
            headers={'Idempotency-Key': key},
        )
    )
    while not target.seen:
        await asyncio.sleep(0.01)
    sending.cancel()
    await asyncio.sleep(0.1)
    assert gateway.context.body_budget.held_bytes == 5000
    target.released.set()
    while gateway.context.activity.in_flight:
        await asyncio.sleep(0.01)
    assert gateway.context.body_budget.held_bytes == 0
