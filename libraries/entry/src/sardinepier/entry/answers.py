"""Reading and checking a target's answer before any of it is forwarded."""

import dataclasses
from typing import Final

from sardinepier.entry import (
    answer_stream,
    header_names,
    own_answer,
    refusals,
)
from sardinepier.gateway import buffer_budget, errors, headers

_FIRST_SERVER_ERROR_STATUS: Final = 500
_FIRST_NON_SUCCESS_STATUS: Final = 300
_MISDIRECTED_STATUS: Final = 421
_LOAD_FIELDS: Final = 3
_SHED_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True, weakref_slot=True)
class Answer:
    """A target's answer.

    ``body`` is the whole body, or its beginning if there is a ``stream``.
    """

    status: int
    reason: str | None
    headers: headers.Pairs
    body: bytes
    stream: answer_stream.AnswerStream | None = None

    @property
    def is_good(self) -> bool:
        """Return whether the target handled the request: any status below 500."""
        return self.status < _FIRST_SERVER_ERROR_STATUS

    @property
    def length_bytes(self) -> int:
        """Return the body's length; that of the beginning if it is unknown."""
        if self.stream is None or self.stream.length_bytes is None:
            return len(self.body)
        return self.stream.length_bytes

    def close(self) -> None:
        """Discard an answer that is not forwarded."""
        if self.stream is not None:
            self.stream.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a target reports of itself, in requests."""

    running: int
    waiting: int
    slots: int


class OtherTargetError(errors.ProvedNotRunError):
    """Another target or incarnation has the address; the request did not run."""


STATED_NOT_RUN: Final = (errors.ShedError, OtherTargetError)
"""Errors by which a target itself states that it did not run a request."""


async def read(
    own: own_answer.OwnAnswer,
    names: header_names.HeaderNames,
    budget: buffer_budget.BufferBudget,
    deadline_s: float,
) -> Answer:
    """Return the answer, buffered whole as far as ``budget`` allows.

    What is buffered counts in ``budget`` until the answer is freed. The remainder
    of a longer one may be read until ``deadline_s``, a time of the event loop.
    If this raises, the connection is closed. Raises ``ShedError`` or
    ``OtherTargetError`` if the target states that the request did not run,
    ``TruncatedAnswerError`` if the connection ends too early, and
    ``BadAnswerError`` if a success has no signature of the target, a server
    error is not buffered whole, or the status would tell the caller that the
    request did not run.
    """
    try:
        with budget.hold() as held:
            answer = await _read(own, names, held, deadline_s)
            held.release_with(answer)
    except BaseException:
        own.response.close()
        raise
    return answer


async def _read(
    own: own_answer.OwnAnswer,
    names: header_names.HeaderNames,
    held: buffer_budget.HeldBytes,
    deadline_s: float,
) -> Answer:
    response = own.response
    answer_body = answer_stream.AnswerBody(response, names.attempt_id)
    body, is_whole = await _read_beginning(answer_body, held)
    _raise_if_not_run(own, names)
    if response.status in refusals.NOT_RUN_STATUSES:
        raise errors.BadAnswerError(
            f'The target answered {response.status} and may have run it',
            'Let the target mark the requests that it does not run',
        )
    is_success = response.status < _FIRST_NON_SUCCESS_STATUS
    if is_success and names.signature not in response.headers:
        raise errors.BadAnswerError(
            f'The answer {response.status} has no signature of a target',
            'Check whether the request ran before sending it again',
        )
    if not is_whole and response.status >= _FIRST_SERVER_ERROR_STATUS:
        raise errors.BadAnswerError(
            f'The target failed with {response.status} and over '
            f'{len(body)} bytes',
            'Shorten the error answers of the target',
        )
    return Answer(
        response.status,
        response.reason,
        headers.for_caller(response.headers),
        body,
        None
        if is_whole
        else answer_stream.AnswerStream(answer_body, deadline_s),
    )


async def _read_beginning(
    answer_body: answer_stream.AnswerBody,
    held: buffer_budget.HeldBytes,
) -> tuple[bytes, bool]:
    """Return the first bytes, and whether they are the whole body."""
    parts = []
    while chunk := await answer_body.read():
        parts.append(chunk)
        if not held.grow(len(chunk)):
            return b''.join(parts), False
    return b''.join(parts), True


def reported_load(
    own: own_answer.OwnAnswer,
    names: header_names.HeaderNames,
) -> Load | None:
    """Return the load that the target reported, None without a valid one."""
    text = own.response.headers.get(names.load)
    if text is None:
        return None
    parts = text.split(',')
    if len(parts) != _LOAD_FIELDS or not all(
        part.strip().isdigit() for part in parts
    ):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)


def _raise_if_not_run(
    own: own_answer.OwnAnswer,
    names: header_names.HeaderNames,
) -> None:
    response = own.response
    if response.status == _MISDIRECTED_STATUS:
        raise OtherTargetError(
            'Another target has this address now',
            'Send the request to a target that is listed',
            _SHED_RETRY_AFTER_S,
        )
    if names.not_run in response.headers:
        raise errors.ShedError(
            f'The target answered {response.status} and did not run it',
            'Send it again after the stated time',
            _SHED_RETRY_AFTER_S,
        )
