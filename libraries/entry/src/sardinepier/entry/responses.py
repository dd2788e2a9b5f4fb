"""What goes back to a caller: a target's answer, or the daemon's own."""

import asyncio
from typing import Final

import msgspec
import multidict
from aiohttp import helpers, web_response

from sardinepier.core import errors as core_errors
from sardinepier.entry import answer_stream, answers, refusals
from sardinepier.gateway import errors as gateway_errors
from sardinepier.telemetry import logs

_ANSWER: Final = helpers.ResponseKey('answer', answers.Answer)
_RETRY_AFTER: Final = 'Retry-After'
_CHALLENGE: Final = 'WWW-Authenticate'
_JSON: Final = 'application/json'


class _Told(msgspec.Struct):
    """The body of an answer that the daemon makes itself."""

    error: str
    remedy: str


class RelayedResponse(web_response.StreamResponse):
    """An answer whose rest is passed on as it comes from its target.

    An answer that breaks on its way must not look whole: its connection is
    reset.
    """

    def __init__(
        self,
        answer: answers.Answer,
        rest: answer_stream.AnswerStream,
    ) -> None:
        """Begin with the part of ``answer`` that was read."""
        super().__init__(
            status=answer.status,
            reason=answer.reason,
            headers=multidict.CIMultiDict(answer.headers),
        )
        if rest.length_bytes is not None:
            self.content_length = rest.length_bytes
        self._answer = answer
        self._rest = rest

    def abort(self) -> None:
        """End the exchange with the target: the caller is gone."""
        self._rest.close()

    async def write_eof(self, data: bytes = b'') -> None:
        """Pass everything on; raise ``ConnectionResetError`` if it breaks."""
        try:
            async with asyncio.timeout_at(self._rest.deadline_s):
                await self._pass_on()
        except (gateway_errors.GatewayError, TimeoutError) as error:
            logs.failure('answer-broken', error)
            self._reset()
            raise ConnectionResetError('The answer broke on its way') from error
        finally:
            self._rest.close()
        await super().write_eof(data)

    async def _pass_on(self) -> None:
        await self.write(self._answer.body)
        async for chunk in self._rest.chunks():
            await self.write(chunk)

    def _reset(self) -> None:
        if self._req is not None and self._req.transport is not None:
            self._req.transport.abort()


def from_target(answer: answers.Answer) -> web_response.StreamResponse:
    """Return a target's answer unchanged."""
    if answer.stream is not None:
        return RelayedResponse(answer, answer.stream)
    response = web_response.Response(
        status=answer.status,
        reason=answer.reason,
        headers=multidict.CIMultiDict(answer.headers),
        body=answer.body,
    )
    # What is held of answers counts until a slow caller has read this one.
    response[_ANSWER] = answer
    return response


def from_error(error: core_errors.SardinepierError) -> web_response.Response:
    """Return what the caller is told of ``error``."""
    response = web_response.Response(
        status=refusals.status_of(error),
        content_type=_JSON,
        body=msgspec.json.encode(_Told(error.what, error.remedy)),
    )
    if isinstance(error, refusals.NotRunError):
        response.headers[_RETRY_AFTER] = f'{error.retry_after_s:.3f}'
    if isinstance(error, refusals.UnknownKeyError):
        response.headers[_CHALLENGE] = error.scheme
    return response
