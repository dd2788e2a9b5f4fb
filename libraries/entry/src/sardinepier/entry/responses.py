"""HTTP responses to callers: a target's answer, or an error of the daemon."""

import asyncio
from typing import Final

import msgspec
import multidict
from aiohttp import helpers, web_response

from sardinepier.core import errors as core_errors
from sardinepier.entry import answer_stream, answers, refusals
from sardinepier.gateway import errors as gateway_errors
from sardinepier.telemetry import logs

_ANSWER_KEY: Final = helpers.ResponseKey('answer', answers.Answer)
_RETRY_AFTER_HEADER: Final = 'Retry-After'
_CHALLENGE_HEADER: Final = 'WWW-Authenticate'
_JSON: Final = 'application/json'


class _ErrorBody(msgspec.Struct):
    """The JSON body of an error response."""

    error: str
    remedy: str


class RelayedResponse(web_response.StreamResponse):
    """Streams an answer to its caller as it arrives from the target.

    If the stream breaks, the connection to the caller is reset, so that the
    caller doesn't take a truncated answer for a whole one.
    """

    def __init__(
        self,
        answer: answers.Answer,
        stream: answer_stream.AnswerStream,
    ) -> None:
        """Prepare to send ``answer.body`` and then ``stream``."""
        super().__init__(
            status=answer.status,
            reason=answer.reason,
            headers=multidict.CIMultiDict(answer.headers),
        )
        if stream.length_bytes is not None:
            self.content_length = stream.length_bytes
        self._answer = answer
        self._stream = stream

    def abort(self) -> None:
        """End the exchange with the target because the caller is gone."""
        self._stream.close()

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the whole answer; raise ``ConnectionResetError`` if it breaks."""
        try:
            async with asyncio.timeout_at(self._stream.deadline_s):
                await self._send_answer()
        except (gateway_errors.GatewayError, TimeoutError) as error:
            logs.failure('answer-broken', error)
            self._reset_connection()
            raise ConnectionResetError('The answer was interrupted') from error
        finally:
            self._stream.close()
        await super().write_eof(data)

    async def _send_answer(self) -> None:
        await self.write(self._answer.body)
        async for chunk in self._stream.chunks():
            await self.write(chunk)

    def _reset_connection(self) -> None:
        if self._req is not None and self._req.transport is not None:
            self._req.transport.abort()


def from_target(answer: answers.Answer) -> web_response.StreamResponse:
    """Return the response that forwards a target's answer."""
    if answer.stream is not None:
        return RelayedResponse(answer, answer.stream)
    response = web_response.Response(
        status=answer.status,
        reason=answer.reason,
        headers=multidict.CIMultiDict(answer.headers),
        body=answer.body,
    )
    # Keeps ``answer`` in the buffer budget until a slow caller has read it.
    response[_ANSWER_KEY] = answer
    return response


def from_error(error: core_errors.SardinepierError) -> web_response.Response:
    """Return the response that reports ``error`` to the caller."""
    response = web_response.Response(
        status=refusals.status_of(error),
        content_type=_JSON,
        body=msgspec.json.encode(_ErrorBody(error.what, error.remedy)),
    )
    if isinstance(error, refusals.NotRunError):
        response.headers[_RETRY_AFTER_HEADER] = f'{error.retry_after_s:.3f}'
    if isinstance(error, refusals.UnknownKeyError):
        response.headers[_CHALLENGE_HEADER] = error.scheme
    return response
