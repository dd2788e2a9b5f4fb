"""The HTTP client rejects replies that do not conform to the interface."""

import asyncio
import contextlib

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock, ids
from sardinepier.core import errors as core_errors
from sardinepier.platform import errors, http_platform, shares
from sardinepier.platform.internal import token_bucket
from sardinepier.standins import platform_standin

_FLEET = ids.FileName('fleet')


async def _serve(raw):
    """Start a server that answers every request with ``raw``."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(raw)
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    return server, f'http://127.0.0.1:{port}'


def _client(*urls, reads_per_s=1000.0, burst=5):
    return http_platform.HttpPlatform(
        urls,
        clock.SystemClock(),
        reads_per_s,
        options=http_platform.HttpPlatformOptions(
            call_timeout_s=0.5,
            burst=burst,
        ),
    )


def _reply(headers, body):
    return b'\r\n'.join((b'HTTP/1.1 200 OK', *headers, b'', body))


@pytest.mark.parametrize(
    ('raw', 'error'),
    [
        (b'', errors.PlatformUnavailableError),
        (b'nonsense\r\n\r\n', errors.PlatformReplyError),
        (b'HTTP/1.1 500 X\r\n\r\n', errors.PlatformUnavailableError),
        (
            b'HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n',
            errors.PlatformUnavailableError,
        ),
        (
            b'HTTP/1.1 302 X\r\nLocation: /\r\n\r\n',
            errors.PlatformReplyError,
        ),
        # Without a length a whole body cannot be distinguished from half of it.
        (_reply([b'Revision: 1'], b'half'), errors.PlatformReplyError),
        (
            _reply([b'Revision: 1', b'Content-Length: 9'], b'half'),
            errors.PlatformReplyError,
        ),
        (_reply([b'Content-Length: 4'], b'full'), errors.PlatformReplyError),
        (
            _reply([b'Revision: -1', b'Content-Length: 4'], b'full'),
            errors.PlatformReplyError,
        ),
        (
            _reply(
                [
                    b'Revision: 1',
                    b'Content-Encoding: gzip',
                    b'Content-Length: 4',
                ],
                b'full',
            ),
            errors.PlatformReplyError,
        ),
        (
            _reply([b'Revision: 1', b'Content-Length: 2'], b'\xff\xfe'),
            errors.PlatformReplyError,
        ),
        (
            _reply([b'Transfer-Encoding: chunked'], b'zz\r\n'),
            errors.PlatformReplyError,
        ),
    ],
)
async def test_an_invalid_reply_to_a_read_raises_a_typed_error(raw, error):
    server, url = await _serve(raw)
    client = _client(url)
    with pytest.raises(error):
        await client.read_file(_FLEET)
    await client.close()
    server.close()


_SHARE_REPLY = (
    b'{"targets": [{"service": "a", "target_id": "w", "incarnation": "1",'
    b'"state": "live"}], "share": {"parts": 2, "chosen": [%d]}}'
)


@pytest.mark.parametrize(
    ('body', 'is_valid'),
    [
        (b'{"targets": [], "daemons": []}', False),
        (
            b'{"share": {"parts": 3, "chosen": [0], "has_daemons": false}}',
            False,
        ),
        (b'{"share": {"parts": 0, "chosen": [0]}}', False),
        (_SHARE_REPLY % shares.part_of('a', 2), True),
        (_SHARE_REPLY % (1 - shares.part_of('a', 2)), False),
    ],
)
async def test_an_answer_for_another_share_is_rejected(body, is_valid):
    length = b'Content-Length: %d' % len(body)
    server, url = await _serve(_reply([length], body))
    client = _client(url)
    chosen = [
        shares.part_of('a', 2) if is_valid else 1 - shares.part_of('a', 2)
    ]
    requested = shares.share_of(2, chosen, has_daemons=True)
    if is_valid:
        assert (await client.list_instances(requested)).share == requested
    else:
        with pytest.raises(errors.PlatformReplyError):
            await client.list_instances(requested)
    await client.close()
    server.close()


@pytest.mark.parametrize(
    'query',
    [
        'parts=0',
        'parts=2&part=2',
        'part=1',
        'parts=2&part=-1',
        'parts=x&part=0',
    ],
)
async def test_an_invalid_share_query_is_rejected(query):
    standin = platform_standin.PlatformStandin()
    url = await standin.start()
    async with aiohttp.ClientSession() as session:
        answer = await session.get(f'{url}/v1/instances?{query}')
        assert answer.status == 400
    await standin.stop()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_only_raise_platform_errors(raw):
    async def check():
        server, url = await _serve(raw)
        client = _client(url)
        with pytest.raises(errors.PlatformError):
            await client.list_files()
        await client.close()
        server.close()

    asyncio.run(check())


async def test_the_next_call_goes_to_the_next_address_after_a_failure():
    down = platform_standin.PlatformStandin()
    down.set_mode(platform_standin.PlatformMode.DOWN)
    working = platform_standin.PlatformStandin()
    client = _client(await down.start(), await working.start())
    with pytest.raises(errors.PlatformUnavailableError):
        await client.list_files()
    # An HTTP library that retries by itself would make two calls.
    assert down.counts.total == 1
    await client.list_files()
    await client.list_instances()
    assert (down.counts.total, working.counts.total) == (1, 2)
    await client.close()
    await asyncio.gather(down.stop(), working.stop())


async def test_calls_over_the_rate_limit_are_not_made():
    standin = platform_standin.PlatformStandin()
    client = _client(await standin.start(), reads_per_s=0.01, burst=2)
    await client.watch_files(0, 0)
    await client.list_instances()
    with pytest.raises(errors.PlatformBudgetError):
        await client.list_files()
    assert standin.counts.total == 2
    client.set_reads_per_s(1000)
    await client.list_files()
    assert standin.counts.total == 3
    await client.close()
    await standin.stop()


@given(
    st.lists(st.floats(min_value=0, max_value=2), max_size=60),
    st.floats(min_value=0.1, max_value=50),
    st.integers(min_value=1, max_value=5),
)
def test_a_token_bucket_never_exceeds_its_rate_and_burst(
    pauses, rate_per_s, burst
):
    manual = clock.ManualClock()
    bucket = token_bucket.TokenBucket(manual, rate_per_s, burst)
    starts_s = []
    for pause_s in pauses:
        manual.advance(pause_s)
        now_s = manual.monotonic_s()
        with contextlib.suppress(errors.PlatformBudgetError):
            starts_s.append(now_s + bucket.reserve(now_s + 1))
    for position, start_s in enumerate(starts_s):
        allowed = burst + rate_per_s * start_s + 1e-6
        assert position + 1 <= allowed
        assert start_s >= starts_s[max(0, position - 1)]


@pytest.mark.parametrize('urls', [(), ('10.0.0.1:80',), ('ftp://a',)])
def test_malformed_addresses_are_rejected_at_construction(urls):
    with pytest.raises(core_errors.InvalidArgumentError):
        _client(*urls)


@pytest.mark.parametrize(
    ('rate_per_s', 'burst'),
    [(0, 5), (-1, 5), (float('nan'), 5), (float('inf'), 5), (1, 0)],
)
def test_invalid_rates_and_bursts_are_rejected_at_construction(
    rate_per_s, burst
):
    with pytest.raises(core_errors.InvalidArgumentError):
        _client('http://a', reads_per_s=rate_per_s, burst=burst)
    if burst:
        with pytest.raises(core_errors.InvalidArgumentError):
            _client('http://a').set_reads_per_s(rate_per_s)
