"""Passing a target's answer on to its caller, whole or visibly broken."""

import asyncio
from typing import Final

import multidict
from aiohttp import http, web_request, web_response

from sardinepier.core import outcomes
from sardinepier.gateway import context as contexts
from sardinepier.gateway import errors, headers, target_answer
from sardinepier.once import answers

_COMPLETED: Final = outcomes.Outcome.COMPLETED.value
_NOT_KEPT: Final = errors.AnswerNotKeptError(
    'The request ran, but its answer was too large to keep',
    'Read the result from the service instead of sending the request again',
)


def whole(
    status: int,
    reason: str | None,
    pairs: headers.Pairs,
    body: bytes,
    outcome: str = _COMPLETED,
) -> web_response.Response:
    """Return an answer whose content is in memory."""
    named = multidict.CIMultiDict(pairs)
    named[headers.OUTCOME] = outcome
    return web_response.Response(
        status=status,
        reason=reason,
        headers=named,
        body=body,
    )


def empty(
    answer: target_answer.TargetAnswer,
    outcome: str = _COMPLETED,
) -> web_response.Response:
    """Return an answer without content that may state the length of one."""
    named = multidict.CIMultiDict(answer.headers)
    named[headers.OUTCOME] = outcome
    if answer.length_bytes is not None:
        named[headers.CONTENT_LENGTH] = str(answer.length_bytes)
    return web_response.Response(
        status=answer.status,
        reason=answer.reason,
        headers=named,
    )


def recorded(answer: answers.RecordedAnswer) -> web_response.Response:
    """Return a recorded answer; raise ``AnswerNotKeptError`` without one."""
    if answer.body is None:
        raise _NOT_KEPT
    return whole(answer.status, None, answer.headers, answer.body)


class Stream:
    """A long answer on its way to the caller.

    When it breaks, the caller's connection is aborted: what was sent so far
    must not look like the whole.
    """

    def __init__(
        self,
        context: contexts.GatewayContext,
        request: web_request.BaseRequest,
        answer: target_answer.TargetAnswer,
        deadline_s: float,
        outcome: str = _COMPLETED,
    ) -> None:
        """Prepare the answer's head; the stream ends by ``deadline_s``."""
        self._context = context
        self._request = request
        self._answer = answer
        self._deadline_s = deadline_s
        self._is_caller_there = True
        named = multidict.CIMultiDict(answer.headers)
        named[headers.OUTCOME] = outcome
        self.response = web_response.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=named,
        )
        self._frame()

    async def send(self, rest: target_answer.BodyStream) -> None:
        """Send everything.

        When the caller goes away, the answer is still read to its end.
        Raises ``TruncatedAnswerError`` or ``AnswerOverdueError`` after the
        connection was aborted.
        """
        left_s = self._deadline_s - self._context.clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._send(rest)
        except TimeoutError as error:
            overdue = errors.AnswerOverdueError(
                'The answer was not through before the time ran out',
                'Allow the request more time',
            )
            rest.close(overdue)
            self._abort()
            raise overdue from error
        except BaseException as error:
            rest.close(error)
            self._abort()
            raise

    async def _send(self, rest: target_answer.BodyStream) -> None:
        await self._pass_on(None)
        await self._pass_on(self._answer.body)
        async for chunk in rest.chunks():
            await self._pass_on(chunk)

    async def _pass_on(self, chunk: bytes | None) -> None:
        if not self._is_caller_there:
            return
        try:
            if chunk is None:
                await self.response.prepare(self._request)
            else:
                await self.response.write(chunk)
        except ConnectionError:
            self._is_caller_there = False

    def _frame(self) -> None:
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
