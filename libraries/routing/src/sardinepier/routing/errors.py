"""Errors of the routing library.

The hierarchy under :class:`RoutingError`::

    RoutingError
        RefusalError            retry_after_s: when to try again
            QueueFullError      no place in the queue of the service
                DisplacedError  the place went to a request of higher priority
            QueueDeadlineError  the deadline can't be met any more
            CustomerLimitError  the customer's limit leaves no token in time
            RetryBudgetError    the retry budget has no attempt left in time
            CallerLimitError    this caller sends more than its share
                CallerTableFullError  no memory for one more caller
    GivenUpError                the caller of a waiting request has left
    RoutingOptionError          an argument is outside its documented range
    NotReservedError            a slot was released that was not reserved

A refusal is raised before anything is sent to a target, so the request has
not run. Only a ``RetryBudgetError`` comes after an attempt.
"""

from sardinepier.core import errors


class RoutingError(errors.SardinepierError):
    """Base class of all errors of this library."""


class RoutingOptionError(RoutingError, errors.InvalidArgumentError):
    """An argument is outside its documented range."""


class NotReservedError(RoutingError):
    """A slot was released more often than it was reserved."""


class RefusalError(RoutingError):
    """The request was refused, and nothing of it was sent to a target.

    ``retry_after_s`` is the number of seconds after which to try again. It has
    a random component, so that callers refused together don't return together.
    """

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Store the texts and the number of seconds after which to try again."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class QueueFullError(RefusalError):
    """The queue is full of requests of the same or a higher priority."""


class DisplacedError(QueueFullError):
    """A request of higher priority took the place of this one."""


class QueueDeadlineError(RefusalError):
    """The request can no longer finish before its deadline."""


class CustomerLimitError(RefusalError):
    """The limit of the customer leaves no token before the latest start."""


class RetryBudgetError(RefusalError):
    """The retry budget has no attempt left for the request in time.

    Unlike after other refusals, an earlier attempt of the request may have run.
    """


class GivenUpError(RoutingError):
    """The caller of a waiting request has left."""


class CallerLimitError(RefusalError):
    """The caller has used up its rate and its burst."""


class CallerTableFullError(CallerLimitError):
    """The table is full of callers that are still limited; none can go."""
