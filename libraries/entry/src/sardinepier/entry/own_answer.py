"""The answer to one request, as opposed to other bytes on its connection.

What proves that nothing ran is read from an :class:`OwnAnswer` only, and
:func:`identify` is what makes one.
"""

import dataclasses

import multidict
from aiohttp import client_reqrep

from sardinepier.entry import header_names
from sardinepier.gateway import errors

Headers = multidict.CIMultiDictProxy[str]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnAnswer:
    """A response with the id of the request that it answers."""

    response: client_reqrep.ClientResponse


def bears_id(
    headers: Headers, names: header_names.HeaderNames, request_id: str
) -> bool:
    """Return whether the headers are those of the answer to a request.

    Targets and daemons echo the id, so that bytes without it prove nothing.
    """
    return headers.get(names.attempt_id, '') == request_id


def identify(
    response: client_reqrep.ClientResponse,
    names: header_names.HeaderNames,
    request_id: str,
) -> OwnAnswer:
    """Return the answer to a request.

    Raises ``BadAnswerError``, and closes the connection, if the response
    belongs to another one.
    """
    if not bears_id(response.headers, names, request_id):
        response.close()
        raise errors.BadAnswerError(
            'The answer does not bear the id of the request',
            'Check whether the request ran before sending it again',
        )
    return OwnAnswer(response)
