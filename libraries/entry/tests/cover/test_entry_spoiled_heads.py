"""Heads of targets with any byte in them.

What is read from a target must be what can be written to a caller: an answer
that fails while it is written takes the connection along.
"""

import asyncio
import contextlib

import entry_support as support
import pytest
from sardinepier.entry import responses

NAMES = support.NAMES
PLACES = {
    'reason': 'HTTP/1.1 200 O{}K\r\n',
    'value': 'HTTP/1.1 200 OK\r\nTold: be{}hind\r\n',
    'name': 'HTTP/1.1 200 OK\r\nTo{}ld: x\r\n',
    'end of a value': 'HTTP/1.1 200 OK\r\nTold: x{}\r\n',
}


def with_byte(place, spoiled):
    """Return a behaviour: a whole answer with a byte in its head."""
    before, after = PLACES[place].split('{}')

    def answer(echo):
        head = before.encode() + bytes([spoiled]) + after.encode()
        return head + support.answer(echo).split(b'\r\n', 1)[1]

    return answer


async def pipelined(entry, count):
    """Send requests at once; return the answers until the connection ends."""
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    for number in range(count):
        writer.write(support.request(**{NAMES.attempt_id: f'id-{number}'}))
    answers = []
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        for _ in range(count):
            answers.append(await support.read_answer(reader))
    writer.close()
    return answers


# Guards against a connection that ends without an answer, and with the requests
# behind, as a head was read that could not be written.
@pytest.mark.parametrize('place', PLACES)
async def test_a_head_with_any_byte_costs_one_answer_at_most(entry, place):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    for spoiled in range(256):
        target.behaviours = [with_byte(place, spoiled), 'ok']
        answers = await pipelined(entry, 3)
        statuses = [status for status, _, _ in answers]
        assert len(statuses) == 3, spoiled
        assert set(statuses) <= {200, 502}, spoiled
        assert statuses.count(502) <= 1, spoiled
        for number, (status, headers, body) in enumerate(answers):
            assert status == 502 or body == support.BODY, spoiled
            proof = headers.get(NAMES.signature)
            assert status == 502 or proof == f'proof-of-id-{number}', spoiled


@pytest.mark.parametrize('spoiled', [1, 127, 200])
async def test_a_relayed_head_with_any_byte_is_answered(fleet, spoiled):
    """Guards against such a head where a peer has read it."""
    first, second = fleet
    target = support.RawTarget('t1', [with_byte('value', spoiled)])
    await second.set_targets(target)
    await first.lose_path_to(target)
    status, _, _ = await first.send('/once/1', 'POST', b'payload')
    assert status in {200, 502}
    assert target.run_count == 1


async def test_an_answer_that_cannot_be_written_costs_no_other(
    entry, monkeypatch
):
    # Guards against an error in one answer that closes the connection.
    await entry.set_targets(support.RawTarget('t1'))
    written = []
    from_target = responses.from_target

    def unwritable_once(answer):
        response = from_target(answer)
        if not written:
            response.headers['Told'] = 'be\x01hind'
        written.append(response)
        return response

    monkeypatch.setattr(responses, 'from_target', unwritable_once)
    answers = await pipelined(entry, 4)
    assert sorted(status for status, _, _ in answers) == [200, 200, 200, 502]
