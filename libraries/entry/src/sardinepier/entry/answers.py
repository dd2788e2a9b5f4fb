"""A target's answer, read whole and checked before any of it is passed on."""

import dataclasses
from typing import Final

import multidict
from aiohttp import client_exceptions, client_reqrep

from sardinepier.entry import dialect
from sardinepier.gateway import errors, headers

Headers = multidict.CIMultiDictProxy[str]

_FIRST_FAILURE: Final = 500
_FIRST_OTHER: Final = 300
_MISDIRECTED: Final = 421
_LOAD_PARTS: Final = 3
_SHED_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a target answered, whole."""

    status: int
    reason: str | None
    headers: headers.Pairs
    body: bytes

    @property
    def is_good(self) -> bool:
        """Tell whether the target did what was asked or explains why not."""
        return self.status < _FIRST_FAILURE


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
    names: dialect.HeaderNames,
) -> Answer:
    """Return the whole answer.

    Raises ``ShedError`` and ``OtherTargetError`` when the target says that
    the request did not run, ``TruncatedAnswerError`` when the answer is not
    whole and ``BadAnswerError`` when it is not the target's own.
    """
    try:
        body = await response.content.read()
    except (client_exceptions.ClientError, OSError) as error:
        raise errors.TruncatedAnswerError(
            f"The target's answer ended before it was whole ({error!r})",
            'Find out whether the request ran before sending it anew',
        ) from error
    _refuse_not_run(response, names)
    is_success = response.status < _FIRST_OTHER
    if is_success and names.signature not in response.headers:
        raise errors.BadAnswerError(
            f'An answer {response.status} came without the proof of a target',
            'Find out whether the request ran before sending it anew',
        )
    return Answer(
        response.status,
        response.reason,
        headers.for_caller(response.headers),
        body,
    )


def load_of(
    response: client_reqrep.ClientResponse,
    names: dialect.HeaderNames,
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
    names: dialect.HeaderNames,
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
