"""Reads a target's answer and rejects one that can't be forwarded."""

from typing import Final

from aiohttp import client_exceptions, client_reqrep

from sardinepier.gateway import (
    answer_chunks,
    buffer_budget,
    caller_request,
    errors,
    headers,
    target_answer,
)
from sardinepier.settings import model

_NO_CONTENT: Final = frozenset((204, 304))
_HEAD: Final = 'HEAD'
_CHUNKED: Final = 'chunked'


async def read(
    response: client_reqrep.ClientResponse,
    request: caller_request.CallerRequest,
    budget: buffer_budget.BufferBudget,
    on_end: target_answer.OnEnd,
) -> target_answer.TargetAnswer:
    """Return the complete answer, or the beginning of a long one.

    What is buffered counts in ``budget`` from its arrival on, and the budget
    limits how long an answer may be. ``on_end`` is passed to the stream of a
    long answer. Raises ``BadAnswerError`` if the answer can't be forwarded. If
    this raises before the answer was read to its end, it closes the connection.
    """
    limit_bytes = request.snapshot.settings.answer_buffer_limit_bytes
    try:
        with budget.hold(limit_bytes) as held:
            answer = await _read(response, request, held, on_end)
            held.release_with(answer)
    except (client_exceptions.ClientError, OSError) as error:
        response.close()
        raise target_answer.truncated(error) from error
    except BaseException:
        response.close()
        raise
    return answer


def refuse_shed(
    response: client_reqrep.ClientResponse,
    shed: model.ShedReply,
    retry_after_s: float,
) -> None:
    """Raise ``ShedError`` if this is the shed reply of the service's settings.

    ``retry_after_s`` is when a target of the service accepts requests again.
    """
    if response.status != shed.status:
        return
    if shed.header_value in response.headers.getall(shed.header_name, ()):
        response.close()
        raise errors.ShedError(
            'The target is overloaded and did not run the request',
            'Send the request again after the stated time',
            retry_after_s,
        )


async def _read(
    response: client_reqrep.ClientResponse,
    request: caller_request.CallerRequest,
    held: buffer_budget.HeldBytes,
    on_end: target_answer.OnEnd,
) -> target_answer.TargetAnswer:
    _require_framing(response, request.method)
    answer = target_answer.TargetAnswer(
        response.status,
        response.reason,
        headers.for_caller(response.headers),
        response.content_length,
    )
    _require_readable(answer)
    content = response.content
    if content.is_eof():
        # A short answer usually arrives together with its headers.
        answer.body = content.read_nowait()
        held.grow(len(answer.body))
        return answer
    parts: list[bytes] = []
    async for chunk in answer_chunks.iterate(response):
        parts.append(chunk)
        if not held.grow(len(chunk)):
            answer.remainder = target_answer.BodyStream(response, on_end)
            break
    answer.body = b''.join(parts)
    return answer


def _require_framing(
    response: client_reqrep.ClientResponse,
    method: str,
) -> None:
    # An answer that ends with its connection can't be distinguished from one
    # that was cut off.
    if method == _HEAD or response.status in _NO_CONTENT:
        return
    coding = response.headers.get(headers.TRANSFER_ENCODING, '')
    is_chunked = coding.lower().endswith(_CHUNKED)
    if not is_chunked and headers.CONTENT_LENGTH not in response.headers:
        raise errors.BadAnswerError(
            'The answer of the target has neither a length nor chunks',
            'Have the target send Content-Length or use chunked encoding',
        )


def _require_readable(answer: target_answer.TargetAnswer) -> None:
    if not headers.is_readable(answer.headers):
        raise errors.BadAnswerError(
            'The target sent a header that is not UTF-8',
            'Have the target send headers in ASCII',
        )
