"""A client of the platform over HTTP.

For example::

    client = HttpPlatform(('http://127.0.0.1:8500',), clock, reads_per_s=5)
    listing = await client.list_files()
    fleet = await client.read_file(ids.FileName('fleet'))
    await client.close()
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final, TypeVar
from urllib import parse as url_parse

import aiohttp
import msgspec
import yarl

from sardinepier.core import clock as clocks
from sardinepier.core import decoding, ids
from sardinepier.core import errors as core_errors
from sardinepier.platform import errors, interface, shares
from sardinepier.platform.internal import (
    exchange,
    instance_cache,
    token_bucket,
)

_Value = TypeVar('_Value')

_MS_PER_S: Final = 1000
_REVISION_HEADER: Final = 'Revision'
_MAX_REVISION_DIGITS: Final = 18
_OVERHEAD_BYTES: Final = 65536
_QUOTED_CHARACTERS: Final = 32
_NO_HEADERS: Final[Mapping[str, str]] = {}
_CHECK_ADDRESS: Final = 'Check what answers at the configured platform address'


@dataclasses.dataclass(frozen=True, slots=True)
class HttpPlatformOptions:
    """Limits of one client.

    ``call_timeout_s`` limits a whole call, including its wait for a token; a
    watch may take longer by its own timeout. ``burst`` calls may start at
    once. The instance list has a separate size limit, because with thousands
    of targets it is larger than any file.
    """

    call_timeout_s: float = 3.0
    burst: int = 5
    file_limit_bytes: int = interface.FILE_LIMIT_BYTES + _OVERHEAD_BYTES
    instances_limit_bytes: int = 8 * interface.FILE_LIMIT_BYTES


_DEFAULT_OPTIONS: Final = HttpPlatformOptions()


class HttpPlatform:
    """A :class:`interface.Platform` at one of several addresses.

    Each call is sent once, to one address. After a failure the next call is
    sent to the next address. The client never retries by itself, so that a
    failing platform does not get more calls than a working one.
    """

    def __init__(
        self,
        urls: Sequence[str],
        clock: clocks.Clock,
        reads_per_s: float,
        *,
        session: aiohttp.ClientSession | None = None,
        options: HttpPlatformOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Check the arguments; nothing is sent yet.

        The caller must close a ``session`` that it passes in. Raises
        :class:`sardinepier.core.errors.InvalidArgumentError` for no or
        malformed addresses, or a rate that is not above zero.
        """
        self._urls = _validate_urls(urls)
        self._url_index = 0
        self._clock = clock
        self._options = options
        self._bucket = token_bucket.TokenBucket(
            clock,
            reads_per_s,
            options.burst,
        )
        self._session = session
        self._owns_session = session is None
        self._instance_cache = instance_cache.InstanceCache()

    async def list_files(self) -> interface.Listing:
        """Return the revisions of all files."""
        reply = await self._call('/v1/files', self._options.file_limit_bytes)
        return _decode(reply.body, interface.Listing)

    async def watch_files(
        self,
        after_revision: int,
        timeout_s: float,
    ) -> interface.Listing:
        """Return the listing once it is newer, or after ``timeout_s``."""
        timeout_ms = int(timeout_s * _MS_PER_S)
        reply = await self._call(
            f'/v1/files?after={after_revision}&timeout_ms={timeout_ms}',
            self._options.file_limit_bytes,
            extra_timeout_s=timeout_s,
        )
        return _decode(reply.body, interface.Listing)

    async def read_file(self, name: ids.FileName) -> interface.PublishedFile:
        """Return the newest revision of one file."""
        quoted = url_parse.quote(name)
        reply = await self._call(
            f'/v1/files/{quoted}',
            self._options.file_limit_bytes,
        )
        return interface.PublishedFile(
            name=name,
            revision=_parse_revision(reply.headers),
            text=_decode_text(reply.body),
        )

    async def list_instances(
        self,
        share: shares.InstanceShare = shares.WHOLE,
    ) -> interface.InstanceList:
        """Return the share, as the same object while it is unchanged.

        An answer for another share, or with a target outside the share, is
        rejected. Otherwise a platform that partitions the services in another
        way, or not at all, would seem to list no targets.
        """
        cached = self._instance_cache.find(share)
        query = shares.query_of(share)
        reply = await self._call(
            f'/v1/instances?{query}' if query else '/v1/instances',
            self._options.instances_limit_bytes,
            {'If-None-Match': cached.tag} if cached else _NO_HEADERS,
        )
        if cached is not None and not reply.modified:
            return cached.listed
        listed = _decode(reply.body, interface.InstanceList)
        instance_cache.check_share(listed, share)
        self._instance_cache.store(listed, reply.headers.get('ETag', ''))
        return listed

    def set_reads_per_s(self, reads_per_s: float) -> None:
        """Limit calls to ``reads_per_s`` per second from now on.

        Calls that already wait for a token keep their start time. Raises
        :class:`sardinepier.core.errors.InvalidArgumentError` for a rate that
        is not above zero.
        """
        self._bucket.set_rate(reads_per_s)

    async def close(self) -> None:
        """Close the client's own session; no more calls are possible."""
        if self._session is not None and self._owns_session:
            await self._session.close()

    async def _call(
        self,
        path: str,
        limit_bytes: int,
        headers: Mapping[str, str] = _NO_HEADERS,
        extra_timeout_s: float = 0.0,
    ) -> exchange.Reply:
        timeout_s = self._options.call_timeout_s
        deadline_s = self._clock.monotonic_s() + timeout_s
        await self._bucket.take(deadline_s)
        url = yarl.URL(self._urls[self._url_index] + path, encoded=True)
        remaining_s = deadline_s - self._clock.monotonic_s() + extra_timeout_s
        try:
            return await exchange.fetch(
                self._get_session(),
                url,
                headers,
                limit_bytes,
                remaining_s,
            )
        except errors.PlatformFileMissingError:
            raise
        except errors.PlatformError:
            self._url_index = (self._url_index + 1) % len(self._urls)
            raise

    def _get_session(self) -> aiohttp.ClientSession:
        """Return the session, created on first use in a running event loop."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


def _validate_urls(urls: Sequence[str]) -> tuple[str, ...]:
    if not urls:
        raise core_errors.InvalidArgumentError(
            'No platform address is given',
            'Pass one or more URLs such as http://10.0.0.5:8500',
        )
    return tuple(_validate_url(url) for url in urls)


def _validate_url(url: str) -> str:
    parts = url_parse.urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise core_errors.InvalidArgumentError(
            f'{url!r} is not a valid platform address',
            'Write it like http://10.0.0.5:8500',
        )
    return url.rstrip('/')


def _decode(body: bytes, kind: type[_Value]) -> _Value:
    try:
        return msgspec.json.decode(body, type=kind)
    except decoding.FAILURES as error:
        raise errors.PlatformReplyError(
            f'The platform sent an invalid {kind.__name__}: {error}',
            _CHECK_ADDRESS,
        ) from error


def _decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise errors.PlatformReplyError(
            f'The platform sent a file that is not in UTF-8: {error}',
            'Publish the file again in UTF-8',
        ) from error


def _parse_revision(headers: Mapping[str, str]) -> ids.Revision:
    text = headers.get(_REVISION_HEADER, '')
    is_number = text.isascii() and text.isdigit()
    if is_number and len(text) <= _MAX_REVISION_DIGITS:
        return ids.Revision(int(text))
    raise errors.PlatformReplyError(
        f'The platform sent a file with the revision {text[:_QUOTED_CHARACTERS]!r}',
        _CHECK_ADDRESS,
    )
