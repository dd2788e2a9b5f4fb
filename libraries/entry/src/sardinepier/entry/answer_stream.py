"""Reading of an answer's body, also of one that is too large to be buffered."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import client_exceptions, client_reqrep

from sardinepier.entry import embedded_heads
from sardinepier.gateway import answer_chunks, errors


class AnswerBody:
    """The body of an answer, read as it arrives."""

    def __init__(
        self, response: client_reqrep.ClientResponse, id_name: str
    ) -> None:
        """Read the body of ``response``; ``id_name`` is the header of ids."""
        self.response = response
        self._heads = embedded_heads.EmbeddedHeads(id_name)

    async def read(self) -> bytes:
        """Return the bytes that have arrived, none at the end.

        Raises ``TruncatedAnswerError`` if the body ended too early, also if it
        goes on with bytes of another answer.
        """
        try:
            chunk = await answer_chunks.read(self.response)
        except (client_exceptions.ClientError, OSError) as error:
            raise _truncated(type(error).__name__) from error
        if self._heads.contain(chunk):
            raise _truncated('another answer follows in its body')
        return chunk


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
        body: AnswerBody,
        deadline_s: float,
    ) -> None:
        """Continue an answer whose first bytes have been read."""
        self.on_close = contextlib.ExitStack()
        self.length_bytes = body.response.content_length
        self._body = body
        self.deadline_s = deadline_s
        self._close_timer = asyncio.get_running_loop().call_at(
            deadline_s,
            self.close,
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they arrive.

        Raises ``TruncatedAnswerError`` if the connection ends too early.
        """
        while chunk := await self._body.read():
            yield chunk

    def close(self) -> None:
        """End the exchange; close the connection if the answer is incomplete."""
        self._close_timer.cancel()
        if not self._body.response.content.at_eof():
            self._body.response.close()
        self.on_close.close()


def _truncated(cause: str) -> errors.TruncatedAnswerError:
    return errors.TruncatedAnswerError(
        f"The target's answer was truncated ({cause})",
        'Check whether the request ran before sending it again',
    )
