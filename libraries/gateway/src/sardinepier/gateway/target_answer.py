"""A target's answer, buffered completely or with a remainder to stream."""

import dataclasses
from collections.abc import AsyncIterator, Callable

from aiohttp import client_exceptions, client_reqrep

from sardinepier.gateway import answer_chunks, errors, headers

OnEnd = Callable[[BaseException | None], None]


@dataclasses.dataclass(slots=True, eq=False, weakref_slot=True)
class TargetAnswer:
    """The answer of a target.

    ``body`` is the complete body, unless ``remainder`` is set: then it is the
    beginning, and ``remainder`` must be read to its end or closed.
    """

    status: int
    reason: str | None
    headers: headers.Pairs
    length_bytes: int | None
    body: bytes = b''
    remainder: 'BodyStream | None' = None


class BodyStream:
    """The remainder of a long answer that has not arrived yet.

    ``on_end`` is called once, with None or the error that ended the stream.
    """

    def __init__(
        self,
        response: client_reqrep.ClientResponse,
        on_end: OnEnd,
    ) -> None:
        """Continue to read ``response``."""
        self._response = response
        self._on_end: OnEnd | None = on_end

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``TruncatedAnswerError`` if it is cut off.
        """
        try:
            async for chunk in answer_chunks.iterate(self._response):
                yield chunk
        except (client_exceptions.ClientError, OSError) as error:
            cut_error = truncated(error)
            self.close(cut_error)
            raise cut_error from error
        self._end(None)

    def close(self, error: BaseException) -> None:
        """Stop reading and close the connection, which is not reused."""
        self._response.close()
        self._end(error)

    def _end(self, error: BaseException | None) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(error)


def truncated(error: Exception) -> errors.TruncatedAnswerError:
    """Return the error for an answer that was cut off."""
    name = type(error).__name__
    return errors.TruncatedAnswerError(
        f"The target's answer ended before it was complete ({name})",
        'Check whether the request ran before sending it again',
    )
