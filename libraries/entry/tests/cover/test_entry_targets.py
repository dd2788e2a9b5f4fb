"""Misbehaving targets, and what the caller gets then."""

import asyncio

import entry_support as support
import pytest
from sardinepier.entry import model
from sardinepier.gateway import errors

ONCE = '/once/1'
SAFE = '/books/1'

# The first behaviour of one target, the request's path, the caller's status,
# and how often the request ran on both targets. The second target is sound.
CASES = (
    ('ok', SAFE, 200, 1),
    ('ok', ONCE, 200, 1),
    ('fail', SAFE, 200, 2),
    ('fail', ONCE, 500, 1),
    ('shed', SAFE, 200, 1),
    ('shed', ONCE, 200, 1),
    ('other', SAFE, 200, 1),
    ('other', ONCE, 200, 1),
    ('unsigned', SAFE, 200, 2),
    ('unsigned', ONCE, 502, 1),
    ('short', SAFE, 200, 2),
    ('short', ONCE, 502, 1),
    ('garbage', SAFE, 200, 2),
    ('garbage', ONCE, 502, 1),
    ('reset', SAFE, 200, 2),
    ('reset', ONCE, 502, 1),
    ('until-end', SAFE, 200, 1),
    ('until-end', ONCE, 200, 1),
    ('until-reset', SAFE, 200, 2),
    ('until-reset', ONCE, 502, 1),
    ('late-extra', SAFE, 200, 1),
    ('late-extra', ONCE, 200, 1),
    ('extra-after', SAFE, 200, 1),
    ('closing', ONCE, 200, 1),
)


@pytest.mark.parametrize(('behaviour', 'path', 'status', 'ran'), CASES)
async def test_the_caller_gets_a_whole_answer_of_its_own_or_a_failure(
    entry,
    behaviour,
    path,
    status,
    ran,
):
    bad = support.RawTarget('bad', [behaviour, 'ok'])
    await entry.set_targets(bad, support.RawTarget('good'))
    # A target with a good answer would be preferred.
    entry.shared.services.pool(support.SERVICE).targets.find(
        'good',
    ).estimate.failed(entry.shared.clock.monotonic_s(), is_early=False)
    got, headers, body = await entry.send(path, 'POST', b'payload')
    assert (got, entry.run_count) == (status, ran)
    if got == 200:
        assert body == support.BODY
        assert headers[support.NAMES.signature] == 'proof-of-id-1'
    if got == 502:
        assert support.NAMES.signature not in headers


# Guards against statuses of targets that tell the caller that a request did
# not run, which then sends it again.
@pytest.mark.parametrize('signed', [True, False])
@pytest.mark.parametrize(
    'status', ['408 Timeout', '429 Slow Down', '503 Unavailable']
)
async def test_a_target_promises_nothing_without_the_mark(
    entry, status, signed
):
    ran = support.RawTarget(
        't1', [lambda echo: support.answer(echo, status, signed=signed)]
    )
    await entry.set_targets(ran)
    got, headers, _ = await entry.send(ONCE, 'POST', b'payload')
    assert (got, entry.run_count) == (502, 1)
    assert support.NAMES.signature not in headers
    await entry.set_targets(ran, support.RawTarget('good'))
    got, _, body = await entry.send(SAFE)
    assert (got, body) == (200, support.BODY)


async def test_an_extra_answer_is_not_used_for_the_next_request(entry):
    target = support.RawTarget('t1', ['extra-after', 'ok'])
    await entry.set_targets(target)
    for number in range(4):
        name = f'id-{number}'
        _, headers, body = await entry.send(
            **{support.NAMES.attempt_id: name},
        )
        assert headers[support.NAMES.attempt_id] == name
        assert body == support.BODY


async def test_the_request_arrives_as_it_was_sent(entry):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    await entry.send('/once/a%20b?x=1', 'DELETE', b'\x00body', Extra='kept')
    line, headers, body = target.received[0]
    assert line == b'DELETE /once/a%20b?x=1 HTTP/1.1'
    assert body == b'\x00body'
    assert headers['Extra'] == 'kept'
    assert headers['Host'] == 'a.example'
    assert headers[support.NAMES.expected_target] == 't1'
    assert 1500 < int(headers[support.NAMES.deadline_ms]) <= 2000


async def test_a_failure_is_passed_on_with_its_proof(entry):
    await entry.set_targets(support.RawTarget('t1', ['fail']))
    status, headers, body = await entry.send('/once/1', 'POST')
    assert (status, body) == (500, b'broken')
    assert headers[support.NAMES.signature] == 'proof-of-id-1'


async def test_a_refusal_has_a_retry_after(entry):
    await entry.set_targets(support.RawTarget('t1', ['shed']))
    status, headers, _ = await entry.send('/once/1', 'POST')
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert entry.run_count == 0


async def test_nothing_goes_to_a_target_that_drains(entry):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    entry.shared.services.offer_targets(
        model.TargetList(
            2,
            (
                support.listed(
                    't1',
                    target.port,
                    state=model.TargetState.DRAINING,
                ),
            ),
        ),
    )
    status, _, _ = await entry.send()
    assert (status, entry.run_count) == (503, 0)


async def test_an_unreachable_target_is_skipped(entry):
    unreachable = support.RawTarget('unreachable')
    await entry.set_targets(unreachable, support.RawTarget('good'))
    unreachable.server.close()
    for _ in range(6):
        status, _, _ = await entry.send('/once/1', 'POST')
        assert status == 200


async def test_a_route_s_timeout_ends_a_request(entry):
    """The route's timeout is shorter than the caller's deadline."""
    entry.shared.services.offer_configuration(
        support.configuration(2, [support.route(timeout_s=0.3)]),
    )
    await entry.set_targets(support.RawTarget('t1', ['hang']))
    status, _, _ = await asyncio.wait_for(
        entry.send(**{support.NAMES.deadline_ms: '60000'}),
        support.TIMEOUT_S,
    )
    assert status == 504


async def test_a_slow_idempotent_request_gets_a_second_target(entry):
    """Without a hedge it would end with 504 at its route's timeout."""
    targets = [support.RawTarget('t1'), support.RawTarget('t2')]
    await entry.set_targets(*targets)
    for _ in range(120):
        await entry.send()
    # Either target may be next: the other one is explored if it was idle for
    # too long. The first that gets the request hangs.
    behaviours = ['hang', 'ok']
    for target in targets:
        target.behaviours = behaviours
    ran_before = [known.run_count for known in targets]
    status, _, _ = await asyncio.wait_for(
        entry.send(**{support.NAMES.deadline_ms: '60000'}),
        support.TIMEOUT_S,
    )
    assert status == 200
    ran = [known.run_count for known in targets]
    assert ran == [count + 1 for count in ran_before]


async def test_a_connect_timeout_does_not_change_the_estimate(
    entry, monkeypatch
):
    """Only the network path from this daemon may be broken."""
    await entry.set_targets(support.RawTarget('t1'))
    record = entry.shared.services.pool(support.SERVICE).targets.find('t1')
    before = record.estimate.updated_s

    async def time_out(*passed, **named):
        raise errors.ConnectTimeoutError('no reply', 'wait', 0.2)

    with monkeypatch.context() as patched:
        patched.setattr(entry.shared.client, 'open', time_out)
        status, _, _ = await entry.send()
    assert status == 503
    assert record.failed_connects == 1
    assert record.estimate.updated_s == before


async def test_a_target_that_answered_is_reachable(entry):
    await entry.set_targets(support.RawTarget('t1'))
    record = entry.shared.services.pool(support.SERVICE).targets.find('t1')
    record.mark_unreachable(entry.shared.clock.monotonic_s())
    status, _, _ = await entry.send()
    assert status == 200
    assert record.failed_connects == 0
