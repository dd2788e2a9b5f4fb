"""How much a connection reads ahead of who consumes it."""

import asyncio
from typing import Any, Final, cast

READ_AHEAD_BYTES: Final = 16_384
"""A connection stops reading beyond twice this. aiohttp's default is 256 KiB."""

_SOCKET_READ_BYTES: Final = 32_768

MAX_BUFFERED_BYTES: Final = 2 * READ_AHEAD_BYTES + _SOCKET_READ_BYTES
"""The most that a connection holds that nobody has consumed."""


def limit_socket_reads(transport: asyncio.BaseTransport) -> None:
    """Read less from the socket at once than asyncio's 256 KiB.

    Selector transports take the size from this attribute, which other
    transports ignore.
    """
    cast(Any, transport).max_size = _SOCKET_READ_BYTES
