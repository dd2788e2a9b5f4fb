"""One HTTP exchange with the platform, with typed errors."""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Final

import aiohttp
import yarl

from sardinepier.platform import errors

_OK: Final = 200
_NOT_MODIFIED: Final = 304
_NOT_FOUND: Final = 404
_TOO_MANY_REQUESTS: Final = 429
_SERVER_ERRORS: Final = 500
_CHUNK_BYTES: Final = 65536
_WILL_RETRY: Final = 'Check the platform; the call is retried after a pause'
_CHECK_ADDRESS: Final = 'Check what answers at the configured platform address'


class _ConnectionLostError(aiohttp.ClientError):
    """The connection failed; aiohttp does not retry on this type."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A valid answer with its whole body and headers."""

    body: bytes
    headers: Mapping[str, str]
    modified: bool


async def fetch(
    session: aiohttp.ClientSession,
    url: yarl.URL,
    headers: Mapping[str, str],
    limit_bytes: int,
    timeout_s: float,
) -> Reply:
    """Return the whole answer to a GET of ``url`` within ``timeout_s``.

    Raises :class:`errors.PlatformUnavailableError` and
    :class:`errors.PlatformReplyError` and nothing else.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(session, url, headers, limit_bytes)
    except (aiohttp.ClientError, OSError, ValueError) as failure:
        raise _typed_error(url, timeout_s, failure) from failure


def _typed_error(
    url: yarl.URL,
    timeout_s: float,
    failure: Exception,
) -> errors.PlatformError:
    """Return the platform error that ``failure`` stands for."""
    match failure:
        case TimeoutError():
            return errors.PlatformUnavailableError(
                f'{url} did not answer within {timeout_s:.1f} s',
                _WILL_RETRY,
            )
        case aiohttp.ClientPayloadError():
            return errors.PlatformReplyError(
                f'The answer of {url} is truncated or malformed',
                _WILL_RETRY,
            )
        case aiohttp.ClientResponseError():
            return errors.PlatformReplyError(
                f'{url} does not answer in HTTP: {failure.message}',
                _CHECK_ADDRESS,
            )
        case _:
            return errors.PlatformUnavailableError(
                f'{url} cannot be reached: {failure}',
                _WILL_RETRY,
            )


async def _exchange(
    session: aiohttp.ClientSession,
    url: yarl.URL,
    headers: Mapping[str, str],
    limit_bytes: int,
) -> Reply:
    async with session.get(
        url,
        headers=headers,
        allow_redirects=False,
        middlewares=(_send_once,),
    ) as response:
        if response.status == _NOT_MODIFIED:
            return Reply(b'', response.headers, modified=False)
        _check_status(response)
        _check_framing(response)
        body = await _read_limited(response, limit_bytes)
        return Reply(body, response.headers, modified=True)


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying when the connection is lost.

    By default aiohttp retries every GET, recognized by the type of the error.
    A platform that drops connections would get two calls for each one that
    the rate limit counts.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as lost:
        raise _ConnectionLostError(str(lost)) from lost


def _check_status(response: aiohttp.ClientResponse) -> None:
    status = response.status
    if status == _OK:
        return
    what = f'{response.url} answered with status {status}'
    if status >= _SERVER_ERRORS or status == _TOO_MANY_REQUESTS:
        raise errors.PlatformUnavailableError(what, _WILL_RETRY)
    if status == _NOT_FOUND:
        raise errors.PlatformFileMissingError(
            what,
            'Publish the file, or read the list of files again',
        )
    raise errors.PlatformReplyError(what, _CHECK_ADDRESS)


def _check_framing(response: aiohttp.ClientResponse) -> None:
    """Reject a body that is delimited by the end of the connection.

    Such a body cannot be distinguished from a truncated one, and a settings
    file truncated at the end of a section may still be valid.
    """
    if 'Content-Length' in response.headers:
        return
    if response.headers.get('Transfer-Encoding', '').lower() == 'chunked':
        return
    raise errors.PlatformReplyError(
        f'The answer of {response.url} does not state its length',
        _CHECK_ADDRESS,
    )


async def _read_limited(
    response: aiohttp.ClientResponse,
    limit_bytes: int,
) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        body.extend(chunk)
        if len(body) > limit_bytes:
            raise errors.PlatformReplyError(
                f'{response.url} answered with more than {limit_bytes} bytes',
                'Split the published value, or check the address',
            )
    return bytes(body)
