"""Resends keep their key and are bounded, and the reported outcome is
``unknown`` unless it is proved."""

import json

import pytest

LOST = {'status': 0}
UNKNOWN = {'status': 504, 'outcome': 'unknown'}
COMPLETED = {'status': 201}
SHED = {
    'status': 503,
    'outcome': 'not-run',
    'retry_after': '2',
    'body': '{"title":"Full","detail":"The queue is full","remedy":"Wait"}',
    'content_type': 'application/problem+json',
}


@pytest.fixture
def send(daemons, tool, reply):
    """Script the daemons' replies, alternating, then send the request."""

    async def run(script, *options, method='post'):
        for number, fields in enumerate(script):
            daemons[number % 2].replies.append(reply(**fields))
        line = f'request {method} /a/../deposits?a=%20b --service theses'
        daemon_option = ('--daemon', daemons[0].address)
        return await tool(*line.split(), *daemon_option, *options)

    return run


def count_requests(daemons):
    return sum(len(fake.requests) for fake in daemons)


@pytest.mark.parametrize(
    ('script', 'outcome', 'code', 'attempts'),
    [
        ([COMPLETED], 'completed', 0, 1),
        ([{'status': 404}], 'completed', 1, 1),
        ([SHED], 'not-run', 1, 1),
        ([LOST, COMPLETED], 'completed', 0, 2),
        ([UNKNOWN, COMPLETED], 'completed', 0, 2),
        ([UNKNOWN, LOST, COMPLETED], 'completed', 0, 3),
        ([UNKNOWN, UNKNOWN, UNKNOWN], 'unknown', 3, 3),
        ([LOST, LOST, LOST], 'unknown', 3, 3),
        # "Not run" proves nothing about the previous attempt.
        ([LOST, SHED, SHED], 'unknown', 3, 3),
        ([UNKNOWN, SHED, COMPLETED], 'completed', 0, 3),
        # The answer has no valid outcome, so it isn't that of a daemon.
        ([{'outcome': ''}, COMPLETED], 'completed', 0, 2),
        ([{'outcome': 'done'}, LOST, LOST], 'unknown', 3, 3),
    ],
)
async def test_resends_with_a_key(
    daemons,
    tool,
    send,
    script,
    outcome,
    code,
    attempts,
):
    assert await send(script, '--once', '--json') == code
    document = json.loads(tool.out[0])
    keys = {
        headers['Idempotency-Key']
        for fake in daemons
        for headers in fake.requests
    }

    assert document['outcome'] == outcome
    assert len(document['attempts']) == count_requests(daemons) == attempts
    assert keys == {document['key']}
    assert document['key'].startswith('d0~0a.0.0b.')


@pytest.mark.parametrize(
    ('script', 'outcome', 'code'),
    [
        ([COMPLETED], 'completed', 0),
        ([UNKNOWN], 'unknown', 3),
        ([LOST], 'unknown', 3),
        ([SHED], 'not-run', 1),
    ],
)
async def test_without_a_key_nothing_is_resent(
    daemons,
    tool,
    send,
    script,
    outcome,
    code,
):
    assert await send(script) == code
    assert tool.out[0] == f'outcome: {outcome}'
    assert count_requests(daemons) == 1
    assert 'Idempotency-Key' not in daemons[0].requests[0]


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'PATCH'])
async def test_no_method_is_resent_by_the_http_client(daemons, send, method):
    assert await send([LOST, COMPLETED, COMPLETED], method=method) == 3
    assert count_requests(daemons) == 1


async def test_a_failed_connection_moves_to_another_home(daemons, tool, reply):
    addresses = daemons[0].documents['/v1/addresses']
    daemons[0].documents['/v1/addresses'] = addresses.replace(
        f'"port":{daemons[0].port}'.encode(),
        b'"port":1',
    )
    daemons[1].replies.append(reply())
    line = ('request', 'POST', 'x', '--service', 's', '--once', '--daemon')

    assert await tool(*line, daemons[0].address, '--json') == 0
    document = json.loads(tool.out[0])
    key = daemons[1].requests[0]['Idempotency-Key']
    assert [attempt['outcome'] for attempt in document['attempts']] == [
        'not-run',
        'completed',
    ]
    assert key == document['key']
    assert key.startswith('d1~0a')


async def test_without_a_connection_the_outcome_is_not_run(daemons, tool):
    daemons[0].documents['/v1/addresses'] = (
        b'{"valid_s":1,"addresses":'
        b'[{"ip":"127.0.0.1","port":1,"zone":"a","ticket":"t"}]}'
    )
    line = ('request', 'PUT', 'x', '--service', 's', '--daemon')

    assert await tool(*line, daemons[0].address) == 1
    assert tool.out[0] == 'outcome: not-run'
    assert 'Connection refused' in tool.err[0]


@pytest.mark.parametrize(
    ('body', 'content_type'),
    [
        ('{"a": 1e3}', 'application/json'),
        ('1e3', 'application/json'),
        ('a=1', 'text/plain; charset=utf-8'),
    ],
)
async def test_the_request_is_sent_unchanged(daemons, send, body, content_type):
    options = ('--body', body, '--caller', '007', '--caller_header', 'By')

    assert await send([COMPLETED], *options) == 0
    request = daemons[0].requests[0]
    assert request['target'] == 'POST /theses/a/../deposits?a=%20b'
    assert request['body'] == body
    assert request['Content-Type'] == content_type
    assert request['By'] == '007'


@pytest.mark.parametrize('form', [(), ('--json',)])
@pytest.mark.parametrize('script', [[LOST, COMPLETED], [SHED]])
async def test_forms_of_an_outcome(tool, send, script, form, snapshot):
    await send(script, '--once', *form)
    assert tool.text == snapshot


@pytest.mark.parametrize(
    ('answer', 'code', 'expected_text'),
    [
        ({'body': '{"addresses":[],"valid_s":1}'}, 1, 'no daemon that serves'),
        (
            {'status': 404, 'body': '{"detail":"No such service."}'},
            1,
            'No such service. Correct the request',
        ),
        ({'status': 500, 'body': '<html>'}, 3, 'no reason'),
        ({'body': '{"addresses":3}'}, 3, 'not understood'),
    ],
)
async def test_without_addresses_nothing_is_sent(
    daemons,
    tool,
    reply,
    send,
    answer,
    code,
    expected_text,
):
    daemons[0].documents['/v1/addresses'] = reply(**answer)

    assert await send([], '--once') == code
    assert expected_text in tool.err[0]
    assert not count_requests(daemons)
