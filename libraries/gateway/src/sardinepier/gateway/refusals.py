"""Why a request is refused before any attempt at a target is made."""

from sardinepier.gateway import errors


class NotConfiguredError(errors.ProvedNotRunError):
    """No settings file is in force yet."""


class BadRequestError(errors.ProvedNotRunError):
    """The request breaks HTTP or a rule of ``docs/callers.md``."""


class UnknownServiceError(errors.ProvedNotRunError):
    """No service has the name with which the path starts."""


class UnknownRouteError(errors.ProvedNotRunError):
    """The service has no route for the path."""


class MethodNotAllowedError(errors.ProvedNotRunError):
    """The service has routes for the path, but none with this method."""


class HeaderTooLargeError(errors.ProvedNotRunError):
    """The request line or the headers are over the limits."""


class BodyTooLargeError(errors.ProvedNotRunError):
    """The body is larger than the service takes."""


class BodyIncompleteError(errors.ProvedNotRunError):
    """The caller's body ended before its stated length, or too late."""


class KeyRequiredError(errors.ProvedNotRunError):
    """A non-idempotent request came without an ``Idempotency-Key``."""


class PausedError(errors.ProvedNotRunError):
    """The process stood still and has not caught up with its peers yet."""


class DeadlinePassedError(errors.ProvedNotRunError):
    """The time ran out before anything was sent."""


class NoTargetError(errors.ProvedNotRunError):
    """The service has no target that may take work."""


class ReleasedError(errors.ProvedNotRunError):
    """The send of the same key that this one waited for did not run."""


class OverloadedError(errors.ProvedNotRunError):
    """The daemon has as many requests in hand as its memory allows."""
