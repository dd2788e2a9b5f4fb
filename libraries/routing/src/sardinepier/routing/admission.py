"""The queue of one service, in which tasks wait for a slot."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.routing import errors, wait_queue
from sardinepier.routing.internal import checks

QueuedRequest = wait_queue.QueuedRequest

_RECHECK_INTERVAL_S: Final = 0.05


class SlotQueue:
    """Bounded queue for slots, by priority, then deadline.

    ``choose`` *reserves* the slot which it returns, for example
    ``lambda: slots.reserve(chooser)``, and ``release`` gives one back. The
    queue calls ``release`` itself only for a slot that was granted to a
    task which is cancelled in the same moment; else the caller does so when
    its attempt has ended, and then calls :meth:`wake`::

        target_id = await queue.acquire(work, choose)
        try:
            ...
        finally:
            slots.release(target_id)
            queue.wake()

    While somebody waits, free slots are also looked for every
    ``recheck_interval_s``, since some come free by time alone: a target's
    back-off ends, or an old count of a peer fades.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        length: int,
        random_source: random.Random,
        release: Callable[[ids.TargetId], None],
        capacity_forecast: Callable[
            [], wait_queue.CapacityForecast
        ] = wait_queue.always_available,
        *,
        recheck_interval_s: float = _RECHECK_INTERVAL_S,
    ) -> None:
        """Let at most ``length`` requests wait; 0 means that none waits.

        ``capacity_forecast`` tells when the targets want requests.

        Raises :class:`errors.RoutingOptionError` when ``length`` is negative
        or the interval isn't positive.
        """
        checks.positive('recheck_interval_s', recheck_interval_s)
        self._clock = local_clock
        self._line = wait_queue.WaitQueue(
            local_clock,
            length,
            random_source,
            capacity_forecast,
        )
        self._release = release
        self._recheck_interval_s = recheck_interval_s
        self._recheck: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return how many requests wait now."""
        return len(self._line)

    def observe_service_time(self, service_s: float) -> None:
        """Learn how long a target took for one request, in seconds."""
        self._line.observe_service_time(service_s)

    async def acquire(
        self,
        work: wait_queue.QueuedRequest,
        choose: Callable[[], ids.TargetId | None],
    ) -> ids.TargetId:
        """Wait for a slot and return the target at which it was reserved.

        Raises :class:`errors.QueueFullError` when there is no place, its
        subclass :class:`errors.DisplacedError` when the place went to work
        of higher priority, and :class:`errors.QueueDeadlineError` as soon as
        the deadline can't be met. What ``choose`` raises is passed on.
        """
        waiter = _TaskWaiter(work, choose)
        try:
            self._line.submit(waiter)
            self._watch(waiter)
            return await waiter.outcome
        except BaseException:
            # Cancelled, or its own choice failed; a refused one is out of
            # the line already, and taking it out again does no harm.
            self._withdraw(waiter)
            raise
        finally:
            waiter.stop_alarm()

    def wake(self) -> None:
        """Hand out free slots. Call it when a slot or a target came free."""
        self._line.dispatch()

    def _withdraw(self, waiter: '_TaskWaiter') -> None:
        self._line.remove(waiter)
        if waiter.granted is not None:
            self._release(waiter.granted)
        self.wake()

    def _watch(self, waiter: '_TaskWaiter') -> None:
        """Serve the queue when the waiter gets too late, and in between."""
        if waiter.outcome.done():
            return
        self._keep_rechecking()
        latest_start_s = self._line.latest_start_s(waiter.request)
        remaining_s = max(0.0, latest_start_s - self._clock.monotonic_s())
        loop = asyncio.get_running_loop()
        waiter.alarm = loop.call_later(remaining_s, self.wake)

    def _keep_rechecking(self) -> None:
        if self._recheck is None:
            self._recheck = asyncio.get_running_loop().call_later(
                self._recheck_interval_s,
                self._recheck_now,
            )

    def _recheck_now(self) -> None:
        self._recheck = None
        self.wake()
        if len(self._line):
            self._keep_rechecking()


class _TaskWaiter:
    """A task that waits for its slot."""

    def __init__(
        self,
        work: wait_queue.QueuedRequest,
        choose: Callable[[], ids.TargetId | None],
    ) -> None:
        """Wait in the running event loop."""
        self.request = work
        self._choose = choose
        self.granted: ids.TargetId | None = None
        self.alarm: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[ids.TargetId] = loop.create_future()

    def choose(self) -> ids.TargetId | None:
        """Reserve a slot; a failure goes to the task that waits.

        The queue is served from other tasks, whose requests must not end by
        a failure of this one's choice.
        """
        try:
            return self._choose()
        except Exception as error:
            with contextlib.suppress(asyncio.InvalidStateError):
                self.outcome.set_exception(error)
            return None

    def stop_alarm(self) -> None:
        """Drop the timer of the waiter's deadline."""
        if self.alarm is not None:
            self.alarm.cancel()

    def grant(self, target_id: ids.TargetId) -> None:
        """Resume the task with its target.

        The future is cancelled already when the task was cancelled before it
        could leave the line; :attr:`granted` then has the slot given back.
        """
        self.granted = target_id
        with contextlib.suppress(asyncio.InvalidStateError):
            self.outcome.set_result(target_id)

    def refuse(self, error: errors.RefusalError) -> None:
        """Resume the task with the refusal."""
        with contextlib.suppress(asyncio.InvalidStateError):
            self.outcome.set_exception(error)
