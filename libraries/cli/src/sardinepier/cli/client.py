"""An HTTP client for a daemon's own paths, with typed answers and errors."""

import asyncio
import contextlib
import errno
import os
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Final, TypeVar

import aiohttp
import msgspec
from sardinepier.cli import answers, endpoints, errors

_ADDRESSES_PATH: Final = '/v1/addresses'
_MAX_ANSWER_BYTES: Final = 67_108_864
_OK: Final = 200

Answer = TypeVar('Answer')
Query = Mapping[str, str]

EXCHANGE_ERRORS: Final = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""The errors of an exchange that ended without a whole answer."""


@contextlib.asynccontextmanager
async def open_session(
    timeout_s: float,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session in which each exchange has the timeout ``timeout_s``.

    Each exchange opens a new connection, since a command makes only a few.
    """
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    ) as session:
        yield session


class DaemonClient:
    """Sends requests to the daemons' own paths."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use ``session``, which remains open."""
        self._session = session

    async def addresses(
        self,
        daemon: endpoints.Endpoint,
        service: str,
        zone: str,
    ) -> answers.AddressesAnswer:
        """Get addresses for ``service``, near ``zone`` unless it is empty.

        Raises the errors of :meth:`get`.
        """
        query = {'service': service}
        if zone:
            query['zone'] = zone
        return await self.get(
            daemon,
            _ADDRESSES_PATH,
            query,
            answers.parse_addresses,
        )

    async def get(
        self,
        daemon: endpoints.Endpoint,
        path: str,
        query: Query,
        decode: Callable[[bytes], Answer],
    ) -> Answer:
        """Return the answer of ``daemon``, decoded by ``decode``.

        Raises ``UnreachableDaemonError`` when no whole answer arrived,
        ``RefusedError`` when the daemon answered with an error and a reason,
        and ``BadAnswerError`` for any other error and when ``decode`` raises
        ``msgspec.DecodeError``.
        """
        try:
            status, text = await self._fetch(daemon, path, query)
        except EXCHANGE_ERRORS as error:
            raise errors.UnreachableDaemonError(
                f'{daemon} gave no whole answer ({describe(error)})',
                'Check the address, and that the daemon runs',
            ) from error
        if status != _OK:
            raise _refusal(daemon, status, text)
        return _decoded(daemon, text, decode)

    async def _fetch(
        self,
        daemon: endpoints.Endpoint,
        path: str,
        query: Query,
    ) -> tuple[int, bytes]:
        async with self._session.get(
            f'http://{daemon}{path}',
            params=query,
            allow_redirects=False,
        ) as answer:
            return answer.status, await read_bounded(answer)


async def read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    """Return the whole body.

    Raises :class:`errors.BadAnswerError` when it is over 64 MiB.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body.extend(chunk)
        if len(body) > _MAX_ANSWER_BYTES:
            raise errors.BadAnswerError(
                f'The answer is longer than {_MAX_ANSWER_BYTES} bytes',
                'Check that the address is that of a daemon',
            )
    return bytes(body)


def describe(error: BaseException) -> str:
    """Return a short reason for a failed exchange."""
    if isinstance(error, asyncio.TimeoutError):
        return 'out of time'
    if isinstance(error, aiohttp.ClientConnectorError):
        return os.strerror(error.os_error.errno or errno.ECONNREFUSED)
    return str(error) or type(error).__name__


def _refusal(
    daemon: endpoints.Endpoint,
    status: int,
    text: bytes,
) -> errors.CommandError:
    problem = answers.parse_problem(text)
    reason = problem.detail or problem.title
    if not reason:
        return errors.BadAnswerError(
            f'{daemon} answered with status {status} and no reason',
            'Check that the address is that of a daemon',
        )
    return errors.RefusedError(
        f'{daemon} refused: {reason.rstrip(".")}',
        problem.remedy.rstrip('.') or 'Correct the request and try again',
    )


def _decoded(
    daemon: endpoints.Endpoint,
    text: bytes,
    decode: Callable[[bytes], Answer],
) -> Answer:
    try:
        return decode(text)
    except msgspec.DecodeError as error:
        raise errors.BadAnswerError(
            f'{daemon} gave an answer that is not understood ({error})',
            'Use a tool of the same version as the daemon',
        ) from error
