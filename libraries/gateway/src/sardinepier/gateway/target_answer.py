"""A target's answer: whole in memory, or whole so far with more to come."""

import dataclasses
from collections.abc import AsyncIterator, Callable

from aiohttp import client_exceptions, client_reqrep

from sardinepier.gateway import errors, headers

OnEnd = Callable[[BaseException | None], None]


@dataclasses.dataclass(slots=True, eq=False)
class TargetAnswer:
    """What a target answered.

    ``body`` is the whole content unless ``remainder`` is set. Then it is the
    beginning, and ``remainder`` must be read to its end or closed.
    """

    status: int
    reason: str | None
    headers: headers.Pairs
    length_bytes: int | None
    body: bytes = b''
    remainder: 'BodyStream | None' = None


class BodyStream:
    """The part of a long answer that is still on its way.

    ``on_end`` is called once, with the error that ended it early or None.
    """

    def __init__(
        self,
        response: client_reqrep.ClientResponse,
        on_end: OnEnd,
    ) -> None:
        """Go on reading ``response``."""
        self._response = response
        self._on_end: OnEnd | None = on_end

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the content as it comes.

        Raises ``TruncatedAnswerError`` when it ends too early.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (client_exceptions.ClientError, OSError) as error:
            cut = truncated(error)
            self.close(cut)
            raise cut from error
        self._end(None)

    def close(self, error: BaseException) -> None:
        """Give up: the connection is closed and never used again."""
        self._response.close()
        self._end(error)

    def _end(self, error: BaseException | None) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(error)


def truncated(error: Exception) -> errors.TruncatedAnswerError:
    """Return the error for an answer that was cut short."""
    name = type(error).__name__
    return errors.TruncatedAnswerError(
        f"The target's answer ended before it was whole ({name})",
        'Find out whether the request ran before sending it anew',
    )
