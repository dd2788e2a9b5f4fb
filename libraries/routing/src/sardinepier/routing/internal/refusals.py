"""The refusals of the queue, each with a spread time to come back."""

import random
from typing import Final

from sardinepier.routing import errors
from sardinepier.routing.internal import spread

_RETRY_LATER: Final = 'Send it again after retry_after_s'


class Refusals:
    """Makes the errors which the queue hands to those it gives up on."""

    def __init__(self, random_source: random.Random) -> None:
        """Spread the times by ``random_source``."""
        self._random = random_source

    def late(self, wait_s: float) -> errors.QueueDeadlineError:
        """Return the refusal of a request that can't be done in time."""
        return errors.QueueDeadlineError(
            'The request can not be finished before its deadline',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )

    def full(self, wait_s: float, length: int) -> errors.QueueFullError:
        """Return the refusal of a request that finds no place."""
        return errors.QueueFullError(
            f'All {length} places of the queue are taken',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )

    def displaced(self, wait_s: float) -> errors.DisplacedError:
        """Return the refusal of a request that lost its place."""
        return errors.DisplacedError(
            'A request of higher priority took the place in the queue',
            _RETRY_LATER,
            spread.retry_after_s(wait_s, self._random),
        )
