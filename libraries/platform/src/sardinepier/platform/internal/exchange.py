"""One HTTP exchange with the platform, with every failure given its type."""

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
_TOO_MANY: Final = 429
_SERVER_ERRORS: Final = 500
_CHUNK_BYTES: Final = 65536
_RETRY: Final = 'Check the platform; the call is made again after a pause'
_REPORT: Final = 'Check what answers at the configured platform address'


class _ConnectionLostError(aiohttp.ClientError):
    """The connection failed, in a type on which the client gives up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A usable answer: its body whole, and its headers."""

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
    """Get ``url`` and return its answer whole, within ``timeout_s``.

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
    """Return the error of ours that says what ``failure`` means."""
    match failure:
        case TimeoutError():
            return errors.PlatformUnavailableError(
                f'{url} did not answer within {timeout_s:.1f} s',
                _RETRY,
            )
        case aiohttp.ClientPayloadError():
            return errors.PlatformReplyError(
                f'The answer of {url} is cut short or garbled',
                _RETRY,
            )
        case aiohttp.ClientResponseError():
            return errors.PlatformReplyError(
                f'{url} does not answer in HTTP: {failure.message}',
                _REPORT,
            )
        case _:
            return errors.PlatformUnavailableError(
                f'{url} cannot be reached: {failure}',
                _RETRY,
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
    """Keep the client from sending again on a lost connection.

    By itself it does so for every GET, and a platform that drops its
    connections would be met with two calls for each one that was counted.
    It knows the occasion by the type of the error.
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
    if status >= _SERVER_ERRORS or status == _TOO_MANY:
        raise errors.PlatformUnavailableError(what, _RETRY)
    if status == _NOT_FOUND:
        raise errors.PlatformFileMissingError(
            what,
            'Publish the file, or ask for the list of files again',
        )
    raise errors.PlatformReplyError(what, _REPORT)


def _check_framing(response: aiohttp.ClientResponse) -> None:
    """Refuse a body that ends with its connection.

    Nothing tells such a body from one that was cut short, and a settings
    file cut at the end of a section may still be a valid one.
    """
    if 'Content-Length' in response.headers:
        return
    if response.headers.get('Transfer-Encoding', '').lower() == 'chunked':
        return
    raise errors.PlatformReplyError(
        f'The answer of {response.url} does not state its length',
        _REPORT,
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
                f'{response.url} answered with over {limit_bytes} bytes',
                'Split the published value, or check the address',
            )
    return bytes(body)
