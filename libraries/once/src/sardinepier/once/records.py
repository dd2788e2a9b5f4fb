"""The record of one key, opened before the request is sent."""

import asyncio
import dataclasses
from collections.abc import Callable

from sardinepier.core import clock as clocks
from sardinepier.once import answers, errors

_OnSettled = Callable[[answers.Settlement], answers.Settlement]


class Record:
    """A key that was granted to run; settled exactly once.

    Whoever was granted the record must call ``complete``, ``mark_unknown`` or
    ``release_not_run``. Only the first of these calls has an effect, so a
    ``finally`` clause may always call ``mark_unknown`` as a fallback.
    """

    __slots__ = ('_clock', '_on_settled', '_settled', '_waiters', 'fingerprint')

    def __init__(
        self,
        fingerprint: int,
        clock: clocks.Clock,
        on_settled: '_OnSettled',
    ) -> None:
        """Open the record of the request with this fingerprint.

        ``on_settled`` gets the settlement and returns the one to store, for
        example without the body of a large answer.
        """
        self.fingerprint = fingerprint
        self._clock = clock
        self._on_settled: _OnSettled | None = on_settled
        self._settled: answers.Settlement | None = None
        # A tuple, since many records are kept and most have no waiters.
        self._waiters: tuple[asyncio.Future[answers.Settlement], ...] = ()

    @property
    def settlement(self) -> answers.Settlement | None:
        """The outcome of the request, or None while it runs."""
        return self._settled

    def complete(self, answer: answers.RecordedAnswer) -> None:
        """Store the answer of the target that ran the request."""
        self._settle(answer)

    def mark_unknown(self, problem: str) -> None:
        """Store that it is unknown whether the request ran."""
        self._settle(answers.UnknownFate(problem))

    def release_not_run(self) -> None:
        """Free the key, because the request provably did not run."""
        self._settle(answers.Released.NOT_RUN)

    async def wait(self, deadline_s: float) -> answers.Settlement:
        """Wait until the record is settled and return its settlement.

        Raises ``RecordDeadlineError`` if that takes until ``deadline_s``.
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
            self._remove_waiter(waiter)

    def _settle(self, settlement: answers.Settlement) -> None:
        on_settled = self._on_settled
        if on_settled is None:
            return
        self._on_settled = None
        self._settled = on_settled(settlement)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(self._settled)

    def _remove_waiter(
        self, waiter: asyncio.Future[answers.Settlement]
    ) -> None:
        self._waiters = tuple(
            pending for pending in self._waiters if pending is not waiter
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The key is new: the request may run, and must settle the record."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The request is already running: wait for its record."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request has ended: return its outcome again."""

    answer: answers.RecordedAnswer | answers.UnknownFate


Claim = Granted | Joined | Answered
