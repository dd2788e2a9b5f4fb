"""A target's answer, read and checked before any of it is passed on."""

import dataclasses
from typing import Final

import multidict
from aiohttp import client_reqrep

from sardinepier.entry import answer_stream, header_names
from sardinepier.gateway import errors, headers

Headers = multidict.CIMultiDictProxy[str]

_FIRST_FAILURE: Final = 500
_FIRST_OTHER: Final = 300
_MISDIRECTED: Final = 421
_LOAD_PARTS: Final = 3
_SHED_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True, weakref_slot=True)
class Answer:
    """What a target answered.

    ``body`` is all of it, unless there is a ``stream``.
    """

    status: int
    reason: str | None
    headers: headers.Pairs
    body: bytes
    stream: answer_stream.AnswerStream | None = None

    @property
    def is_good(self) -> bool:
        """Tell whether the target did what was asked or explains why not."""
        return self.status < _FIRST_FAILURE

    @property
    def length_bytes(self) -> int:
        """Return the length of the whole answer, as far as it is known."""
        if self.stream is None or self.stream.length_bytes is None:
            return len(self.body)
        return self.stream.length_bytes

    def close(self) -> None:
        """Give the answer up; it is not passed on."""
        if self.stream is not None:
            self.stream.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a target says of its own load."""

    running: int
    waiting: int
    slots: int


class OtherTargetError(errors.ProvedNotRunError):
    """Another target start has the address; it did not run the request."""


async def read(
    response: client_reqrep.ClientResponse,
    names: header_names.HeaderNames,
    max_bytes: int,
    deadline_s: float,
) -> Answer:
    """Return the answer, whole if it has no more than ``max_bytes``.

    The rest of a longer one may be read until ``deadline_s``, a time of the
    event loop. Raises ``ShedError`` and ``OtherTargetError`` when the target
    says that the request did not run, ``TruncatedAnswerError`` when the
    answer is not whole and ``BadAnswerError`` when it is not the target's
    own, or tells of a failure at great length.
    """
    body, is_whole = await _beginning(response, max_bytes)
    _refuse_not_run(response, names)
    is_success = response.status < _FIRST_OTHER
    if is_success and names.signature not in response.headers:
        raise errors.BadAnswerError(
            f'An answer {response.status} came without the proof of a target',
            'Find out whether the request ran before sending it anew',
        )
    if not is_whole and response.status >= _FIRST_FAILURE:
        raise errors.BadAnswerError(
            f'The target failed with {response.status} and over '
            f'{max_bytes} bytes',
            'Let the target tell of failures in few words',
        )
    return Answer(
        response.status,
        response.reason,
        headers.for_caller(response.headers),
        body,
        None if is_whole else answer_stream.AnswerStream(response, deadline_s),
    )


async def _beginning(
    response: client_reqrep.ClientResponse,
    max_bytes: int,
) -> tuple[bytes, bool]:
    """Return the first bytes, and whether that is all."""
    parts = bytearray()
    while piece := await answer_stream.read_chunk(response):
        parts += piece
        if len(parts) > max_bytes:
            return bytes(parts), False
    return bytes(parts), True


def reported_load(
    response: client_reqrep.ClientResponse,
    names: header_names.HeaderNames,
) -> Load | None:
    """Return the load that the target told, None when it told none."""
    text = response.headers.get(names.load)
    if text is None:
        return None
    parts = text.split(',')
    if len(parts) != _LOAD_PARTS or not all(
        part.strip().isdigit() for part in parts
    ):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)


def _refuse_not_run(
    response: client_reqrep.ClientResponse,
    names: header_names.HeaderNames,
) -> None:
    if response.status == _MISDIRECTED:
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
