"""A request keeps its key, is resent a bounded number of times, and never
claims more about its fate than is proved."""

import json

import pytest

LOST = {'status': 0}
UNKNOWN = {'status': 504, 'outcome': 'unknown'}
DONE = {'status': 201}
SHED = {
    'status': 503,
    'outcome': 'not-run',
    'retry_after': '2',
    'body': '{"title":"Full","detail":"The queue is full","remedy":"Wait"}',
    'content_type': 'application/problem+json',
}


@pytest.fixture
def send(daemons, tool, reply):
    """Script the daemons' replies in the order of sending, then send."""

    async def run(script, *options, method='post'):
        for number, each in enumerate(script):
            daemons[number % 2].replies.append(reply(**each))
        line = f'request {method} /a/../deposits?a=%20b --service theses'
        asked = ('--daemon', daemons[0].address)
        return await tool(*line.split(), *asked, *options)

    return run


def sent(daemons):
    return sum(len(fake.requests) for fake in daemons)


@pytest.mark.parametrize(
    ('script', 'outcome', 'code', 'sendings'),
    [
        ([DONE], 'completed', 0, 1),
        ([{'status': 404}], 'completed', 1, 1),
        ([SHED], 'not-run', 1, 1),
        ([LOST, DONE], 'completed', 0, 2),
        ([UNKNOWN, DONE], 'completed', 0, 2),
        ([UNKNOWN, LOST, DONE], 'completed', 0, 3),
        ([UNKNOWN, UNKNOWN, UNKNOWN], 'unknown', 3, 3),
        ([LOST, LOST, LOST], 'unknown', 3, 3),
        # A refusal proves nothing about the sending before it.
        ([LOST, SHED, SHED], 'unknown', 3, 3),
        ([UNKNOWN, SHED, DONE], 'completed', 0, 3),
        # Something else than a daemon answered.
        ([{'outcome': ''}, DONE], 'completed', 0, 2),
        ([{'outcome': 'done'}, LOST, LOST], 'unknown', 3, 3),
    ],
)
async def test_sendings_with_a_key(
    daemons,
    tool,
    send,
    script,
    outcome,
    code,
    sendings,
):
    assert await send(script, '--once', '--json') == code
    document = json.loads(tool.out[0])
    keys = {
        headers['Idempotency-Key']
        for fake in daemons
        for headers in fake.requests
    }

    assert document['outcome'] == outcome
    assert len(document['attempts']) == sent(daemons) == sendings
    assert keys == {document['key']}
    assert document['key'].startswith('d0~0a.0.0b.')


@pytest.mark.parametrize(
    ('script', 'outcome', 'code'),
    [
        ([DONE], 'completed', 0),
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
    assert sent(daemons) == 1
    assert 'Idempotency-Key' not in daemons[0].requests[0]


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'PATCH'])
async def test_no_method_is_sent_twice_by_itself(daemons, send, method):
    assert await send([LOST, DONE, DONE], method=method) == 3
    assert sent(daemons) == 1


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
    assert [each['outcome'] for each in document['attempts']] == [
        'not-run',
        'completed',
    ]
    assert key == document['key']
    assert key.startswith('d1~0a')


async def test_without_any_connection_it_is_proved_not_run(daemons, tool):
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
async def test_it_goes_out_as_it_was_written(daemons, send, body, content_type):
    options = ('--body', body, '--caller', '007', '--caller_header', 'By')

    assert await send([DONE], *options) == 0
    request = daemons[0].requests[0]
    assert request['target'] == 'POST /theses/a/../deposits?a=%20b'
    assert request['body'] == body
    assert request['Content-Type'] == content_type
    assert request['By'] == '007'


@pytest.mark.parametrize('form', [(), ('--json',)])
@pytest.mark.parametrize('script', [[LOST, DONE], [SHED]])
async def test_forms_of_an_outcome(tool, send, script, form, snapshot):
    await send(script, '--once', *form)
    assert tool.text == snapshot


@pytest.mark.parametrize(
    ('answer', 'code', 'said'),
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
    said,
):
    daemons[0].documents['/v1/addresses'] = reply(**answer)

    assert await send([], '--once') == code
    assert said in tool.err[0]
    assert not sent(daemons)
