"""The record of one key, from before its first byte goes out."""

import asyncio
import dataclasses
from collections.abc import Callable

from sardinepier.core import clock as clocks
from sardinepier.once import answers, errors

_OnSettled = Callable[[answers.Settlement], answers.Settlement]


class Record:
    """One key that was granted to run; settled exactly once.

    The one who was granted the record must call one of ``complete``,
    ``mark_unknown`` and ``release_not_run``. Only the first of these counts, so a
    ``finally`` clause may always call ``mark_unknown`` as the last resort.
    """

    __slots__ = ('_clock', '_on_settled', '_settled', '_waiters', 'fingerprint')

    def __init__(
        self,
        fingerprint: int,
        clock: clocks.Clock,
        on_settled: '_OnSettled',
    ) -> None:
        """Open the record of a request with this fingerprint.

        ``on_settled`` decides what is kept of the settlement that was given.
        """
        self.fingerprint = fingerprint
        self._clock = clock
        self._on_settled: _OnSettled | None = on_settled
        self._settled: answers.Settlement | None = None
        # Most records never have any, and many records are kept.
        self._waiters: tuple[asyncio.Future[answers.Settlement], ...] = ()

    @property
    def settlement(self) -> answers.Settlement | None:
        """How the request ended, or None while it runs."""
        return self._settled

    def complete(self, answer: answers.RecordedAnswer) -> None:
        """Keep the answer of the target that ran the request."""
        self._settle(answer)

    def mark_unknown(self, problem: str) -> None:
        """Keep that nobody can tell whether the request ran."""
        self._settle(answers.UnknownFate(problem))

    def release_not_run(self) -> None:
        """Free the key, because it is proved that nothing ran."""
        self._settle(answers.Released.NOT_RUN)

    async def wait(self, deadline_s: float) -> answers.Settlement:
        """Return how the running attempt ends.

        Raises ``RecordDeadlineError`` when it has not by ``deadline_s``.
        """
        if self._settled is not None:
            return self._settled
        waiter = asyncio.get_running_loop().create_future()
        self._waiters = (*self._waiters, waiter)
        remaining_s = deadline_s - self._clock.monotonic_s()
        try:
            return await asyncio.wait_for(waiter, max(0.0, remaining_s))
        except TimeoutError as error:
            raise errors.RecordDeadlineError(
                'The first attempt of this request was still running when '
                'this one ran out of time',
                'Send the same request with the same key again later',
            ) from error
        finally:
            self._forget(waiter)

    def _settle(self, settlement: answers.Settlement) -> None:
        on_settled = self._on_settled
        if on_settled is None:
            return
        self._on_settled = None
        self._settled = on_settled(settlement)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(self._settled)

    def _forget(self, waiter: asyncio.Future[answers.Settlement]) -> None:
        self._waiters = tuple(
            other for other in self._waiters if other is not waiter
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The key is new: run the request, then settle the record."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The key is running: wait for its record."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The key has run: give this again."""

    answer: answers.RecordedAnswer | answers.UnknownFate


Claim = Granted | Joined | Answered
