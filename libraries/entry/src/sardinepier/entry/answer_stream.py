"""Streaming of an answer that is too large to be buffered whole."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import client_exceptions, client_reqrep

from sardinepier.gateway import errors


class AnswerStream:
    """The remainder of an answer that its target is still sending.

    Chunks are read from the target only as fast as they are consumed, so that
    a slow caller slows the target down instead of filling memory here. The
    owner must consume all chunks or close the stream; at ``deadline_s``, a
    time of the event loop, the stream closes itself. ``on_close`` holds the
    callbacks that run when it closes. ``length_bytes`` is the length of the
    whole answer, None if the target did not state it.
    """

    def __init__(
        self,
        response: client_reqrep.ClientResponse,
        deadline_s: float,
    ) -> None:
        """Continue an answer whose first bytes have been read."""
        self.on_close = contextlib.ExitStack()
        self.length_bytes = response.content_length
        self._response = response
        self.deadline_s = deadline_s
        self._close_timer = asyncio.get_running_loop().call_at(
            deadline_s,
            self.close,
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they arrive.

        Raises ``TruncatedAnswerError`` if the connection ends too early.
        """
        while chunk := await read_chunk(self._response):
            yield chunk

    def close(self) -> None:
        """End the exchange; close the connection if the answer is incomplete."""
        self._close_timer.cancel()
        if not self._response.content.at_eof():
            self._response.close()
        self.on_close.close()


async def read_chunk(response: client_reqrep.ClientResponse) -> bytes:
    """Return the bytes of an answer that have arrived, none at its end.

    Raises ``TruncatedAnswerError`` if the connection ends too early.
    """
    try:
        return await response.content.readany()
    except (client_exceptions.ClientError, OSError) as error:
        raise errors.TruncatedAnswerError(
            f"The target's answer was truncated ({type(error).__name__})",
            'Check whether the request ran before sending it again',
        ) from error
