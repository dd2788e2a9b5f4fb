"""Errors with which a daemon refuses a request, or gives it up at its exit."""

from sardinepier.gateway import errors


class NotConfiguredError(errors.ProvedNotRunError):
    """The daemon has no settings yet."""


class BadRequestError(errors.ProvedNotRunError):
    """The request violates HTTP or a rule of ``docs/callers.md``."""


class UnknownServiceError(errors.ProvedNotRunError):
    """No service has the name at the start of the path."""


class UnknownRouteError(errors.ProvedNotRunError):
    """The service has no route for the path."""


class MethodNotAllowedError(errors.ProvedNotRunError):
    """The service has routes for the path, but none for this method."""


class HeaderTooLargeError(errors.ProvedNotRunError):
    """The request line or a header exceeds the size limits."""


class BodyTooLargeError(errors.ProvedNotRunError):
    """The body exceeds the size limit of the service."""


class BodyIncompleteError(errors.ProvedNotRunError):
    """The caller's body was cut short or did not arrive in time."""


class KeyRequiredError(errors.ProvedNotRunError):
    """A non-idempotent request has no ``Idempotency-Key``."""


class PausedError(errors.ProvedNotRunError):
    """The process was paused and has not synchronized with its peers yet."""


class DeadlinePassedError(errors.ProvedNotRunError):
    """The deadline passed before anything was sent."""


class NoTargetError(errors.ProvedNotRunError):
    """The service has no target that can accept the request."""


class ReleasedError(errors.ProvedNotRunError):
    """This send waited for an earlier one of its key, which did not run."""


class ExitingError(errors.ProvedNotRunError):
    """The daemon may exit before the request would end."""


class CutOffByExitError(errors.UnknownFateError):
    """The daemon exits while it has the request."""


class OverloadedError(errors.ProvedNotRunError):
    """The daemon has as many requests in flight as its limits allow."""
