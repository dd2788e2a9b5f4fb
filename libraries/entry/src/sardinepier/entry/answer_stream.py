"""The rest of an answer that is too large to be held whole."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import client_exceptions, client_reqrep

from sardinepier.gateway import errors


class AnswerStream:
    """What a target still has to send of its answer.

    The target is read only as fast as the chunks are taken, so that a slow
    caller slows the target down and nothing piles up here. Whoever holds it
    takes all chunks or closes it; at ``deadline_s``, a time of the event
    loop, it closes by itself. ``ending`` is what happens when it ends, and
    ``length_bytes`` that of the whole answer, None where it was not stated.
    """

    def __init__(
        self,
        response: client_reqrep.ClientResponse,
        deadline_s: float,
    ) -> None:
        """Go on with an answer whose beginning was read."""
        self.ending = contextlib.ExitStack()
        self.length_bytes = response.content_length
        self._response = response
        self.deadline_s = deadline_s
        self._alarm = asyncio.get_running_loop().call_at(
            deadline_s,
            self.close,
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the bytes as they come.

        Raises ``TruncatedAnswerError`` when they end before the answer does.
        """
        while piece := await read_chunk(self._response):
            yield piece

    def close(self) -> None:
        """End the exchange; a connection that is not at its end is closed."""
        self._alarm.cancel()
        if not self._response.content.at_eof():
            self._response.close()
        self.ending.close()


async def read_chunk(response: client_reqrep.ClientResponse) -> bytes:
    """Return what has come of an answer, nothing at its end.

    Raises ``TruncatedAnswerError`` when it ended before it was whole.
    """
    try:
        return await response.content.readany()
    except (client_exceptions.ClientError, OSError) as error:
        raise errors.TruncatedAnswerError(
            f"The target's answer ended before it was whole ({error!r})",
            'Find out whether the request ran before sending it anew',
        ) from error
