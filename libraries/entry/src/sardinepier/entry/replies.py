"""What goes back to a caller: a target's answer, or the daemon's own."""

from typing import Final

import msgspec
import multidict
from aiohttp import web_response

from sardinepier.core import errors as core_errors
from sardinepier.entry import answers, refusals

_RETRY_AFTER: Final = 'Retry-After'
_JSON: Final = 'application/json'


class _Told(msgspec.Struct):
    """The body of an answer that the daemon makes itself."""

    error: str
    remedy: str


def of_target(answer: answers.Answer) -> web_response.Response:
    """Return a target's answer unchanged."""
    return web_response.Response(
        status=answer.status,
        reason=answer.reason,
        headers=multidict.CIMultiDict(answer.headers),
        body=answer.body,
    )


def of_error(error: core_errors.SardinepierError) -> web_response.Response:
    """Return what the caller is told of ``error``."""
    response = web_response.Response(
        status=refusals.status_of(error),
        content_type=_JSON,
        body=msgspec.json.encode(_Told(error.what, error.remedy)),
    )
    if isinstance(error, refusals.NotRunError):
        response.headers[_RETRY_AFTER] = f'{error.retry_after_s:.3f}'
    return response
