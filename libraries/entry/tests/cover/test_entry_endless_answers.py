"""Targets whose answers never end, in a head or in a body.

They send as fast as the daemon reads, until it closes the connection.
"""

import asyncio
import contextlib

import entry_support as support
import pytest

HEAD = 'HTTP/1.1 200 OK\r\n{attempt_id}: {echo}\r\n{signature}: s\r\n'
TO_THE_END = f'{HEAD}\r\n'
CHUNKED = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
LATE = 'HTTP/1.1 200 OK\r\n{attempt_id}: another\r\n{signature}: s\r\n'
MAX_READ_BYTES = 16 * 2**20
"""More than the daemon and the buffers of both sockets may take."""

NEVER_BEGIN = {
    'noise': ('', '\x00\x01'),
    'status line': ('HTTP/1.1 200 ', 'O'),
    'header': ('HTTP/1.1 200 OK\r\nX-Long: ', 'a'),
    'headers': ('HTTP/1.1 200 OK\r\n', 'X-Next: a\r\n'),
    'interim answers': ('', 'HTTP/1.1 100 Continue\r\n\r\n'),
    'early hints': ('', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'),
    'late answers': ('', f'{LATE}Content-Length: 1\r\n\r\na'),
    'body of a late answer': (f'{LATE}\r\n', 'a'),
    'chunks of a late answer': (
        f'{LATE}Transfer-Encoding: chunked\r\n\r\n',
        '1\r\na\r\n',
    ),
}
"""Endless answers without a head of their own: their beginning, what follows."""

NEVER_END = {
    'size of a chunk': (CHUNKED, '0'),
    'extension of a chunk': (f'{CHUNKED}1;', 'a'),
    'extension of a later chunk': (f'{CHUNKED}1\r\na\r\n1;', 'a'),
    'trailer': (f'{CHUNKED}1\r\na\r\n0\r\nX-Long: ', 'a'),
    'trailers': (f'{CHUNKED}1\r\na\r\n0\r\n', 'X-Next: a\r\n'),
}
"""Endless answers whose bodies don't go on."""

ALL = {**NEVER_BEGIN, **NEVER_END}


class EndlessTarget(support.RawTarget):
    """A target that answers without an end, and counts what it could send."""

    def __init__(self, name, beginning, more):
        super().__init__(name)
        self.beginning = beginning
        self.more = more * (4096 // len(more) + 1)
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()

    async def _answer(self, behaviour, headers, reader, writer):
        self.run_count += 1
        names = {
            'attempt_id': support.NAMES.attempt_id,
            'signature': support.NAMES.signature,
            'echo': headers[support.NAMES.attempt_id],
        }
        writer.write(self.beginning.format(**names).encode('latin-1'))
        more = self.more.format(**names).encode('latin-1')
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(more)
                await writer.drain()
                self.sent_bytes += len(more)
        self.is_closed.set()
        return False


def prefer_first(entry):
    """Let a daemon choose its first target first, and retry at the second."""
    pool = entry.shared.services.pool(support.SERVICE)
    pool.retry_budget.set_burst(5)
    now_s = entry.shared.clock.monotonic_s()
    pool.targets.find('t2').estimate.failed(now_s, is_early=False)


async def send_to_endless(entry, beginning, more, path='/books/1', **options):
    """Send a request that meets an endless answer first."""
    endless = EndlessTarget('t1', beginning, more)
    await entry.set_targets(endless, support.RawTarget('t2'))
    prefer_first(entry)
    reply = await entry.send(path, **options)
    await asyncio.wait_for(endless.is_closed.wait(), support.TIMEOUT_S)
    return endless, reply


@pytest.mark.parametrize('name', ALL)
async def test_an_idempotent_request_is_answered_by_another_target(entry, name):
    """Guards against requests that wait for their deadline on such bytes."""
    endless, (status, _, body) = await send_to_endless(entry, *ALL[name])
    assert (status, body) == (200, support.BODY)
    assert endless.run_count == 1
    assert endless.sent_bytes < MAX_READ_BYTES


@pytest.mark.parametrize('name', ALL)
async def test_a_request_that_may_have_run_fails_before_its_deadline(
    entry, name
):
    """Guards against a caller that is told only when its time is over."""
    endless, (status, _, _) = await send_to_endless(
        entry, *ALL[name], path='/once/1', method='POST'
    )
    assert status == 502
    assert endless.sent_bytes < MAX_READ_BYTES


@pytest.mark.parametrize('name', ALL)
async def test_a_request_is_not_blamed_for_an_endless_answer(entry, name):
    """Guards against ordinary requests in quarantine for their target."""
    await send_to_endless(entry, *ALL[name])
    assert not entry.shared.quarantine.has_marks()


@pytest.mark.parametrize(
    'name',
    ['interim answers', 'body of a late answer', 'extension of a chunk'],
)
async def test_a_relayed_request_is_answered_by_another_target(fleet, name):
    """Guards against such bytes where a peer reads them for a daemon."""
    endless = EndlessTarget('t1', *ALL[name])
    first, second = fleet
    await second.set_targets(endless, support.RawTarget('t2'))
    await first.lose_path_to(*second.targets)
    for entry in fleet:
        prefer_first(entry)
    status, _, body = await first.send()
    assert (status, body, endless.run_count) == (200, support.BODY, 1)
    assert endless.sent_bytes < MAX_READ_BYTES


@pytest.mark.parametrize(
    ('beginning', 'more'),
    [(TO_THE_END, 'a'), (CHUNKED, '4\r\naaaa\r\n')],
    ids=['to the end', 'chunks'],
)
async def test_an_endless_body_is_read_as_fast_as_its_caller_reads(
    entry, beginning, more
):
    """Guards against memory that fills with a body without an end."""
    endless = EndlessTarget('t1', beginning, more)
    await entry.set_targets(endless)
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.transport.pause_reading()
    writer.write(support.request())
    await asyncio.wait_for(endless.is_closed.wait(), support.TIMEOUT_S)
    assert endless.sent_bytes < MAX_READ_BYTES
    writer.close()


async def test_the_connection_of_a_whole_answer_with_bytes_behind_is_closed(
    entry,
):
    whole = (
        support.answer('{echo}')
        .decode()
        .replace(
            f'{support.NAMES.attempt_id}: {{echo}}', '{attempt_id}: {echo}'
        )
    )
    endless, (status, _, body) = await send_to_endless(entry, whole, 'a')
    assert (status, body) == (200, support.BODY)
    assert endless.sent_bytes < MAX_READ_BYTES
