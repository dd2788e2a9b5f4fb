"""What routing refuses, and when the caller may come back.

The tree under :class:`RoutingError`::

    RoutingError
        RefusalError            retry_after_s: a new try makes sense then
            QueueFullError      no place in the queue of the service
                DisplacedError  the place went to work of higher priority
            QueueDeadlineError  the deadline can't be met any more
            CallerLimitError    this caller sends more than its share
                CallerTableFullError  no memory for one more caller
    RoutingOptionError          an argument outside its stated range
    NotReservedError            a slot was given back that nobody held

A refusal is raised before anything was sent to a target, so the request was
not run.
"""

from sardinepier.core import errors


class RoutingError(errors.SardinepierError):
    """Root of all failures of this library."""


class RoutingOptionError(RoutingError, errors.InvalidArgumentError):
    """An argument lies outside the range which its description states."""


class NotReservedError(RoutingError):
    """A slot was released more often than it was reserved."""


class RefusalError(RoutingError):
    """The request was not taken, and nothing of it was sent to a target.

    ``retry_after_s`` says how many seconds from now a new try makes sense. It
    is spread at random, so that callers refused together don't return
    together.
    """

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Keep the sentences and the seconds until a new try makes sense."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class QueueFullError(RefusalError):
    """All places of the queue hold work of the same or a higher priority."""


class DisplacedError(QueueFullError):
    """Work of higher priority came and took this request's place."""


class QueueDeadlineError(RefusalError):
    """The request can't be finished before its deadline any more."""


class CallerLimitError(RefusalError):
    """The caller has used up its rate and its burst."""


class CallerTableFullError(CallerLimitError):
    """Every remembered caller is still being limited, so none makes room."""
