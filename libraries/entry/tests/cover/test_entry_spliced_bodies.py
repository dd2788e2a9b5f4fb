"""Answers that break off within their body, and what the target sends next.

Their connection stays open, so that the next bytes fill up the body.
"""

import asyncio

import entry_support as support
import pytest

NAMES = support.NAMES
ANOTHER = support.answer('another', body=b'of another caller')
EMPTY = support.answer('another', body=b'')
FRAMINGS = ('length', 'chunked', 'unframed')
LARGE = b'line of a long answer\n' * 100_000
"""2 MB, of which only the beginning is buffered."""


class BrokenOffTarget(support.RawTarget):
    """A target whose answers have ``missing`` bytes less, and then ``filler``.

    ``framing`` is ``length``, ``chunked``, or ``unframed``: such an answer ends
    with its connection.
    """

    def __init__(self, name, missing, filler, framing='length', body=None):
        super().__init__(name)
        self.missing = missing
        self.filler = filler
        self.framing = framing
        self.body = support.BODY * 20 if body is None else body
        self.pause_s = 0.02

    async def _answer(self, behaviour, headers, reader, writer):
        self.run_count += 1
        head = support.answer(
            headers[NAMES.attempt_id], body=b'', framed=False
        ).removesuffix(b'\r\n\r\n')
        size = len(self.body)
        framing = {
            'length': b'\r\nContent-Length: %d\r\n\r\n' % size,
            'chunked': b'\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n' % size,
            'unframed': b'\r\n\r\n',
        }
        writer.write(head + framing[self.framing])
        writer.write(self.body[: size - self.missing])
        await writer.drain()
        if self.pause_s:
            await asyncio.sleep(self.pause_s)
        writer.write(self.filler)
        await writer.drain()
        return self.framing != 'unframed'


async def send_all(entry, **options):
    """Send a request; return all bytes until the connection ends or waits."""
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request(**options))
    received = b''
    try:
        async with asyncio.timeout(2.5):
            while chunk := await reader.read(2**20):
                received += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


def gaps(filler):
    """Return how many bytes the filler fills, up to the whole of it."""
    blank_line = 4
    return sorted({1, 5, 9, 10, 60, len(filler) - blank_line, len(filler)})


FILLED = [
    (filler, missing) for filler in (ANOTHER, EMPTY) for missing in gaps(filler)
]


# Guards against an answer that ends with bytes of another caller's answer.
@pytest.mark.parametrize('pause_s', [0.0, 0.02], ids=['at once', 'later'])
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(('filler', 'missing'), FILLED)
async def test_an_answer_that_was_filled_up_is_not_forwarded(
    entry, framing, filler, missing, pause_s
):
    target = BrokenOffTarget('t1', missing, filler, framing)
    target.pause_s = pause_s
    await entry.set_targets(target)
    status, _, body = await entry.send('/once/1', 'POST', b'payload')
    assert status == 502
    assert b'of another caller' not in body
    assert NAMES.attempt_id.encode() not in body
    assert target.run_count == 1


@pytest.mark.parametrize('framing', FRAMINGS)
async def test_an_idempotent_request_gets_the_answer_of_another_target(
    entry, framing
):
    """Guards against callers that pay for an answer that was broken off."""
    broken = BrokenOffTarget('t1', 60, ANOTHER, framing)
    await entry.set_targets(broken, support.RawTarget('t2'))
    entry.shared.services.pool(support.SERVICE).retry_budget.set_burst(20)
    for _ in range(6):
        status, _, body = await entry.send()
        assert (status, body) == (200, support.BODY)
    assert broken.run_count


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('missing', gaps(ANOTHER))
async def test_a_streamed_answer_that_was_filled_up_does_not_look_complete(
    entry, framing, missing
):
    """Guards against a long answer that ends with another one's bytes."""
    target = BrokenOffTarget('t1', missing, ANOTHER, framing, LARGE)
    await entry.set_targets(target)
    received = await send_all(entry)
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    if b'Content-Length' in head:
        assert len(body) < len(LARGE)
    else:
        assert not body.endswith(b'0\r\n\r\n')
    assert b'of another caller' not in body


async def test_a_relayed_answer_that_was_filled_up_is_not_forwarded(fleet):
    """Guards against such an answer where a peer has read it."""
    first, second = fleet
    target = BrokenOffTarget('t1', 60, ANOTHER)
    await second.set_targets(target)
    await first.lose_path_to(target)
    status, _, body = await first.send('/once/1', 'POST', b'payload')
    assert (status, target.run_count) == (502, 1)
    assert b'of another caller' not in body


TRANSCRIPTS = [
    b'GET / HTTP/1.1\r\n%s: x\r\n\r\n' % NAMES.attempt_id.encode(),
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n\r\n%s: x\r\n' % NAMES.attempt_id.encode(),
    b'HTTP/1.1 and %s: x' % NAMES.attempt_id.encode(),
]


@pytest.mark.parametrize('body', TRANSCRIPTS)
async def test_a_body_may_contain_http(entry, body):
    """Guards against answers that are rejected for what they are about."""
    await entry.set_targets(
        support.RawTarget('t1', [support.with_body(body * 3)])
    )
    assert (await entry.send('/once/1', 'POST', b'x'))[::2] == (200, body * 3)


@pytest.mark.parametrize('body', [support.BODY, LARGE], ids=['short', 'long'])
async def test_an_answer_with_a_whole_one_behind_is_forwarded(entry, body):
    """Guards against answers that are lost for what follows them."""
    await entry.set_targets(BrokenOffTarget('t1', 0, ANOTHER, body=body))
    status, _, received = await entry.send('/once/1', 'POST', b'payload')
    assert (status, received) == (200, body)
