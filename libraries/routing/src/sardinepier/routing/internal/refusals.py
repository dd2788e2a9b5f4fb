"""The errors with which the queue refuses requests."""

import random
from typing import Final

from sardinepier.routing import errors
from sardinepier.routing.internal import spread

_RETRY_LATER: Final = 'Send it again after retry_after_s'


class Refusals:
    """Creates the errors for refused requests, with random retry times."""

    def __init__(self, random_source: random.Random) -> None:
        """Draw the retry times from ``random_source``."""
        self._random = random_source

    def late(self, wait_s: float) -> errors.QueueDeadlineError:
        """Return the error for a request that can't finish in time."""
        return errors.QueueDeadlineError(
            'The request can not be finished before its deadline',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )

    def full(self, wait_s: float, length: int) -> errors.QueueFullError:
        """Return the error for a request that arrives at a full queue."""
        return errors.QueueFullError(
            f'All {length} places of the queue are taken',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )

    def displaced(self, wait_s: float) -> errors.DisplacedError:
        """Return the error for a request that another one displaced."""
        return errors.DisplacedError(
            'A request of higher priority took the place in the queue',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )
