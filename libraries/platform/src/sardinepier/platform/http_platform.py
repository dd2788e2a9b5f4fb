"""The platform over HTTP.

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
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.platform import errors, interface, shares
from sardinepier.platform.internal import (
    exchange,
    instance_cache,
    token_bucket,
)

_Value = TypeVar('_Value')

_MS_PER_S: Final = 1000
_REVISION_HEADER: Final = 'Revision'
_REVISION_DIGITS: Final = 18
_OVERHEAD_BYTES: Final = 65536
_SHOWN_CHARACTERS: Final = 32
_NO_HEADERS: Final[Mapping[str, str]] = {}
_REPORT: Final = 'Check what answers at the configured platform address'


@dataclasses.dataclass(frozen=True, slots=True)
class HttpPlatformOptions:
    """Limits of one client.

    ``call_timeout_s`` bounds a call whole, with its wait for a token; a
    watch has its own waiting time on top. ``burst`` calls may start at once.
    The instance list has a limit of its own, because at thousands of targets
    it is larger than any file.
    """

    call_timeout_s: float = 3.0
    burst: int = 5
    file_limit_bytes: int = interface.FILE_LIMIT_BYTES + _OVERHEAD_BYTES
    instances_limit_bytes: int = 8 * interface.FILE_LIMIT_BYTES


_DEFAULT_OPTIONS: Final = HttpPlatformOptions()


class HttpPlatform:
    """A :class:`interface.Platform` behind one of several addresses.

    A call goes to one address. When it fails, the next call goes to the next
    address; the caller decides when that is, so that a failing platform is
    never met with more calls than a working one.
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

        A ``session`` that is passed in stays the caller's to close. Raises
        :class:`sardinepier.core.errors.InvalidArgumentError` for no or
        malformed addresses, or a rate that is not above zero.
        """
        self._urls = _checked_urls(urls)
        self._turn = 0
        self._clock = clock
        self._options = options
        self._bucket = token_bucket.TokenBucket(
            clock,
            reads_per_s,
            options.burst,
        )
        self._session = session
        self._session_is_own = session is None
        self._instances = instance_cache.InstanceCache()

    async def list_files(self) -> interface.Listing:
        """Return the revisions of all files."""
        reply = await self._call('/v1/files', self._options.file_limit_bytes)
        return _decode(reply.body, interface.Listing)

    async def watch_files(
        self,
        after_revision: int,
        timeout_s: float,
    ) -> interface.Listing:
        """Return the listing once newer, or as it is after ``timeout_s``."""
        timeout_ms = int(timeout_s * _MS_PER_S)
        reply = await self._call(
            f'/v1/files?after={after_revision}&timeout_ms={timeout_ms}',
            self._options.file_limit_bytes,
            waiting_s=timeout_s,
        )
        return _decode(reply.body, interface.Listing)

    async def read_file(self, name: ids.FileName) -> interface.PublishedFile:
        """Return the newest text of one file."""
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
        """Return the share, the same object while it is unchanged.

        An answer that speaks of another share, or has a target outside it,
        is refused: a platform that divides the services otherwise, or not at
        all, must not pass for one that has nothing listed.
        """
        known = self._instances.find(share)
        query = shares.query_of(share)
        reply = await self._call(
            f'/v1/instances?{query}' if query else '/v1/instances',
            self._options.instances_limit_bytes,
            {'If-None-Match': known.tag} if known else _NO_HEADERS,
        )
        if known is not None and not reply.modified:
            return known.listed
        fresh = _decode(reply.body, interface.InstanceList)
        instance_cache.check_share(fresh, share)
        self._instances.keep(fresh, reply.headers.get('ETag', ''))
        return fresh

    def set_reads_per_s(self, reads_per_s: float) -> None:
        """Make ``reads_per_s`` calls a second at most from now on.

        Calls that wait for their turn keep it. Raises
        :class:`sardinepier.core.errors.InvalidArgumentError` for a rate that
        is not above zero.
        """
        self._bucket.set_rate(reads_per_s)

    async def close(self) -> None:
        """Close the client's own connections; calls are possible no more."""
        if self._session is not None and self._session_is_own:
            await self._session.close()

    async def _call(
        self,
        path: str,
        limit_bytes: int,
        headers: Mapping[str, str] = _NO_HEADERS,
        waiting_s: float = 0.0,
    ) -> exchange.Reply:
        timeout_s = self._options.call_timeout_s
        deadline_s = self._clock.monotonic_s() + timeout_s
        await self._bucket.take(deadline_s)
        url = yarl.URL(self._urls[self._turn] + path, encoded=True)
        remaining_s = deadline_s - self._clock.monotonic_s() + waiting_s
        try:
            return await exchange.fetch(
                self._open_session(),
                url,
                headers,
                limit_bytes,
                remaining_s,
            )
        except errors.PlatformFileMissingError:
            raise
        except errors.PlatformError:
            self._turn = (self._turn + 1) % len(self._urls)
            raise

    def _open_session(self) -> aiohttp.ClientSession:
        """Make the session on first use, because it needs a running loop."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


def _checked_urls(urls: Sequence[str]) -> tuple[str, ...]:
    if not urls:
        raise core_errors.InvalidArgumentError(
            'There is no address of the platform',
            'Pass one or more URLs such as http://10.0.0.5:8500',
        )
    return tuple(_checked_url(url) for url in urls)


def _checked_url(url: str) -> str:
    parts = url_parse.urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise core_errors.InvalidArgumentError(
            f'{url!r} is no address of a platform',
            'Write it like http://10.0.0.5:8500',
        )
    return url.rstrip('/')


def _decode(body: bytes, kind: type[_Value]) -> _Value:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise errors.PlatformReplyError(
            f'The platform sent no {kind.__name__}: {wrong}',
            _REPORT,
        ) from wrong


def _decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as wrong:
        raise errors.PlatformReplyError(
            f'The platform sent a file that is not in UTF-8: {wrong}',
            'Publish the file again in UTF-8',
        ) from wrong


def _parse_revision(headers: Mapping[str, str]) -> ids.Revision:
    text = headers.get(_REVISION_HEADER, '')
    usable = text.isascii() and text.isdigit()
    if usable and len(text) <= _REVISION_DIGITS:
        return ids.Revision(int(text))
    raise errors.PlatformReplyError(
        f'The platform sent a file with the revision {text[:_SHOWN_CHARACTERS]!r}',
        _REPORT,
    )
