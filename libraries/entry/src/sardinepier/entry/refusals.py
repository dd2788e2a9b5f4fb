"""Errors that the daemon itself answers to a caller, each with its status.

The statuses in ``NOT_RUN_STATUSES`` tell the caller that the request did not
run and will not run. Subclasses of :class:`NotRunError` are therefore raised
only if that is proved.
"""

import http
from typing import ClassVar, Final

from sardinepier.core import errors

NOT_RUN_STATUSES: Final = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class EntryError(errors.SardinepierError):
    """Base of the errors that a caller gets, with the HTTP ``status``."""

    status: ClassVar[http.HTTPStatus] = http.HTTPStatus.BAD_GATEWAY


class NotRunError(EntryError):
    """Nothing ran. The caller may try again after ``retry_after_s`` seconds."""

    status = http.HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(
        self,
        what: str,
        remedy: str,
        retry_after_s: float,
    ) -> None:
        """Keep the seconds after which the caller may try again."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class NotConfiguredError(NotRunError):
    """The daemon has no configuration yet."""


class NoTargetError(NotRunError):
    """No target of the service may get the request."""


class HeldBackError(NotRunError):
    """The request is quarantined: it crashed the targets that ran it."""


class NoMemoryError(NotRunError):
    """The daemon holds as many bytes of bodies as it may."""


class ExitingError(NotRunError):
    """The daemon may exit before the request would end."""


class TimeUpError(NotRunError):
    """The time ran out before anything was sent."""


class NotConfirmedError(NotRunError):
    """The key can't be checked, as the platform is unavailable."""


class RateLimitError(NotRunError):
    """The customer has sent as many requests as its limit allows."""

    status = http.HTTPStatus.TOO_MANY_REQUESTS


class UnknownKeyError(EntryError):
    """The request has no key of any customer."""

    status = http.HTTPStatus.UNAUTHORIZED

    def __init__(self, what: str, remedy: str, scheme: str) -> None:
        """Keep the authentication scheme in which a key has to be sent."""
        super().__init__(what, remedy)
        self.scheme = scheme


class UnknownRouteError(EntryError):
    """The host has no route whose prefix the path begins with."""

    status = http.HTTPStatus.NOT_FOUND


class BodyTooLargeError(EntryError):
    """The body is larger than the configuration allows."""

    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class BadRequestError(EntryError):
    """The request can't be read as HTTP."""

    status = http.HTTPStatus.BAD_REQUEST


class UnknownFateError(EntryError):
    """The request may have run, but no target answered."""


class OverdueError(UnknownFateError):
    """The time ran out while a target processed the request."""

    status = http.HTTPStatus.GATEWAY_TIMEOUT


class CutOffByExitError(UnknownFateError):
    """The daemon exits while a target processes the request."""


class UnprovedError(UnknownFateError):
    """An error says that nothing ran, but the request was sent.

    No receiver stated that it did not run the request.
    """


class InternalError(UnknownFateError):
    """An internal error of this program."""


def status_of(error: errors.SardinepierError) -> http.HTTPStatus:
    """Return the HTTP status for ``error``."""
    if isinstance(error, EntryError):
        return error.status
    return InternalError.status
