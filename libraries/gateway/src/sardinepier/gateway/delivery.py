"""Sends a target's answer to the caller, completely or visibly cut off."""

import asyncio
from typing import Final

import multidict
from aiohttp import helpers, http, web_request, web_response

from sardinepier.core import outcomes
from sardinepier.gateway import context as contexts
from sardinepier.gateway import errors, headers, target_answer
from sardinepier.once import answers

_COMPLETED: Final = outcomes.Outcome.COMPLETED.value
_ANSWER_KEY: Final = helpers.ResponseKey('answer', target_answer.TargetAnswer)
_NOT_KEPT: Final = errors.AnswerNotKeptError(
    'The request ran, but its answer was too large to keep',
    'Read the result from the service instead of sending the request again',
)


def whole_response(
    answer: target_answer.TargetAnswer,
    outcome: str = _COMPLETED,
) -> web_response.Response:
    """Return an answer that was read to its end."""
    if answer.body:
        return buffered_response(answer, outcome)
    return _empty_response(answer, outcome)


def buffered_response(
    answer: target_answer.TargetAnswer,
    outcome: str = _COMPLETED,
) -> web_response.Response:
    """Return an answer whose complete body is in memory."""
    response = _response(
        answer.status, answer.reason, answer.headers, answer.body, outcome
    )
    # Keeps ``answer`` in the buffer budget until a slow caller has read it.
    response[_ANSWER_KEY] = answer
    return response


def _response(
    status: int,
    reason: str | None,
    pairs: headers.Pairs,
    body: bytes,
    outcome: str,
) -> web_response.Response:
    answer_headers = multidict.CIMultiDict(pairs)
    answer_headers[headers.OUTCOME] = outcome
    return web_response.Response(
        status=status,
        reason=reason,
        headers=answer_headers,
        body=body,
    )


def _empty_response(
    answer: target_answer.TargetAnswer,
    outcome: str,
) -> web_response.Response:
    """Return an answer without a body, which may still state a length."""
    answer_headers = multidict.CIMultiDict(answer.headers)
    answer_headers[headers.OUTCOME] = outcome
    if answer.length_bytes is not None:
        answer_headers[headers.CONTENT_LENGTH] = str(answer.length_bytes)
    return web_response.Response(
        status=answer.status,
        reason=answer.reason,
        headers=answer_headers,
    )


def recorded_response(answer: answers.RecordedAnswer) -> web_response.Response:
    """Return a recorded answer; raise ``AnswerNotKeptError`` without a body."""
    if answer.body is None:
        raise _NOT_KEPT
    return _response(
        answer.status, None, answer.headers, answer.body, _COMPLETED
    )


class Stream:
    """Streams a long answer to the caller.

    If the stream fails, the caller's connection is aborted: a partial answer
    must not look complete.
    """

    def __init__(
        self,
        context: contexts.GatewayContext,
        request: web_request.BaseRequest,
        answer: target_answer.TargetAnswer,
        deadline_s: float,
        outcome: str = _COMPLETED,
    ) -> None:
        """Prepare the headers; the stream ends by ``deadline_s``."""
        self._context = context
        self._request = request
        self._answer = answer
        self._deadline_s = deadline_s
        self._is_caller_connected = True
        answer_headers = multidict.CIMultiDict(answer.headers)
        answer_headers[headers.OUTCOME] = outcome
        self.response = web_response.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=answer_headers,
        )
        self._set_framing()

    async def send(self, remainder: target_answer.BodyStream) -> None:
        """Send the headers, the buffered body and the remainder.

        If the caller hangs up, the answer is still read to its end. Raises
        ``TruncatedAnswerError`` or ``AnswerOverdueError`` after it aborted
        the connection.
        """
        left_s = self._deadline_s - self._context.clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._send(remainder)
        except TimeoutError as error:
            overdue_error = errors.AnswerOverdueError(
                'The answer was not complete before the deadline',
                'Send the request with a longer deadline',
            )
            remainder.close(overdue_error)
            self._abort()
            raise overdue_error from error
        except BaseException as error:
            remainder.close(error)
            self._abort()
            raise

    async def _send(self, remainder: target_answer.BodyStream) -> None:
        await self._send_chunk(None)
        await self._send_chunk(self._answer.body)
        async for chunk in remainder.chunks():
            await self._send_chunk(chunk)

    async def _send_chunk(self, chunk: bytes | None) -> None:
        if not self._is_caller_connected:
            return
        try:
            if chunk is None:
                await self.response.prepare(self._request)
            else:
                await self.response.write(chunk)
        except ConnectionError:
            self._is_caller_connected = False

    def _set_framing(self) -> None:
        if self._context.activity.is_draining:
            self.response.force_close()
        length_bytes = self._answer.length_bytes
        if length_bytes is None and self._request.version < http.HttpVersion11:
            self.response.force_close()
        elif length_bytes is None:
            self.response.enable_chunked_encoding()
        else:
            self.response.content_length = length_bytes

    def _abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()
