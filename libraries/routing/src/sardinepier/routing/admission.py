"""A queue in which tasks wait, such as for a slot of a service."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Final, Generic

from sardinepier.core import clock
from sardinepier.routing import errors, queue_order, wait_queue
from sardinepier.routing.internal import checks

QueuedRequest = wait_queue.QueuedRequest

_RECHECK_INTERVAL_S: Final = 0.05


class SlotQueue(Generic[wait_queue.GrantT]):
    """Bounded queue for slots, ordered by priority, then by deadline.

    Anything that is reserved and released can take the place of a slot, for
    example a token of a rate limit. ``choose`` *reserves* the slot of the
    target that it returns, for example ``lambda: slots.reserve(chooser)``, and
    ``release`` releases one. The queue itself calls ``release`` only for a slot
    that was granted to a task that was cancelled at the same time. Otherwise
    the caller releases the slot when its attempt has ended, and then calls
    :meth:`wake`::

        target_id = await queue.acquire(request, choose)
        try:
            ...
        finally:
            slots.release(target_id)
            queue.wake()

    While requests wait, the queue also looks for free slots every
    ``recheck_interval_s``, since some become free without an event: a target's
    back-off ends, or the report of a peer becomes stale. Where
    ``recheck_after_s`` is given, it returns after how many seconds to look
    again, and one timer for this and the first deadline replaces those of the
    waiting requests.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        length: int,
        random_source: random.Random,
        release: Callable[[wait_queue.GrantT], None],
        capacity_forecast: Callable[
            [], wait_queue.Forecast
        ] = wait_queue.always_available,
        *,
        recheck_interval_s: float = _RECHECK_INTERVAL_S,
        recheck_after_s: Callable[[], float] | None = None,
        rules: queue_order.QueueRules = queue_order.SLOT_RULES,
    ) -> None:
        """Let at most ``length`` requests wait; 0 means that none waits.

        ``capacity_forecast`` returns when the targets accept requests.

        Raises :class:`errors.RoutingOptionError` if ``length`` is negative or
        the interval isn't positive.
        """
        checks.positive('recheck_interval_s', recheck_interval_s)
        self._clock = local_clock
        self._queue: wait_queue.WaitQueue[wait_queue.GrantT] = (
            wait_queue.WaitQueue(
                local_clock,
                length,
                random_source,
                capacity_forecast,
                rules,
            )
        )
        self._release = release
        self._recheck_interval_s = recheck_interval_s
        self._recheck_after_s = recheck_after_s
        self._recheck: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def waiting_by_priority(self) -> Mapping[int, int]:
        """Return how many requests wait that are not late, by priority.

        See :meth:`wait_queue.WaitQueue.waiting_by_priority`.
        """
        return self._queue.waiting_by_priority()

    def observe_service_time(self, service_s: float) -> None:
        """Record how long a target took for one request, in seconds."""
        self._queue.observe_service_time(service_s)

    async def acquire(
        self,
        request: wait_queue.QueuedRequest,
        choose: Callable[[], wait_queue.GrantT | None],
    ) -> wait_queue.GrantT:
        """Wait for a slot and return what ``choose`` reserved.

        Raises :class:`errors.QueueFullError` if the queue is full, its
        subclass :class:`errors.DisplacedError` if a request of higher priority
        took the place, and :class:`errors.QueueDeadlineError` as soon as the
        deadline can't be met. Errors of ``choose`` are passed on.
        """
        waiter = _TaskWaiter(request, choose)
        try:
            self._queue.submit(waiter)
            self._watch(waiter)
            return await waiter.outcome
        except BaseException:
            # The task was cancelled, or its ``choose`` failed. A refused
            # waiter is no longer in the queue; removing it again is harmless.
            self._withdraw(waiter)
            raise
        finally:
            waiter.cancel_timer()

    def displace_last(self, request: wait_queue.QueuedRequest) -> bool:
        """Refuse the last request that waits if ``request`` has precedence.

        Returns whether it was refused.
        """
        return self._queue.displace_last(request)

    def wake(self) -> None:
        """Hand out free slots; to be called when a slot or target becomes free."""
        self._queue.dispatch()

    def _withdraw(self, waiter: '_TaskWaiter[wait_queue.GrantT]') -> None:
        self._queue.remove(waiter)
        if waiter.granted is not None:
            self._release(waiter.granted)
        self.wake()

    def _watch(self, waiter: '_TaskWaiter[wait_queue.GrantT]') -> None:
        """Schedule calls of :meth:`wake` until the waiter is too late."""
        if waiter.outcome.done():
            return
        self._keep_rechecking()
        if self._recheck_after_s is not None:
            return
        latest_start_s = self._queue.latest_start_s(waiter.request)
        remaining_s = max(0.0, latest_start_s - self._clock.monotonic_s())
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_later(remaining_s, self.wake)

    def _keep_rechecking(self) -> None:
        interval_s = self._recheck_interval_s
        if self._recheck_after_s is not None:
            left_s = self._queue.next_end_s() - self._clock.monotonic_s()
            interval_s = max(0.0, min(left_s, self._recheck_after_s()))
        loop = asyncio.get_running_loop()
        due_s = loop.time() + interval_s
        if self._recheck is not None:
            if self._recheck.when() <= due_s:
                return
            self._recheck.cancel()
        self._recheck = loop.call_at(due_s, self._recheck_now)

    def _recheck_now(self) -> None:
        self._recheck = None
        self.wake()
        if len(self._queue):
            self._keep_rechecking()


class _TaskWaiter(Generic[wait_queue.GrantT]):
    """A task that waits for a slot."""

    def __init__(
        self,
        request: wait_queue.QueuedRequest,
        choose: Callable[[], wait_queue.GrantT | None],
    ) -> None:
        """Wait in the running event loop."""
        self.request = request
        self._choose = choose
        self.granted: wait_queue.GrantT | None = None
        self.timer: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[wait_queue.GrantT] = loop.create_future()

    def choose(self) -> wait_queue.GrantT | None:
        """Reserve a slot; an error is raised in the waiting task.

        Other tasks dispatch the queue, and their requests must not fail
        because of an error in this task's ``choose``.
        """
        try:
            return self._choose()
        except Exception as error:
            with contextlib.suppress(asyncio.InvalidStateError):
                self.outcome.set_exception(error)
            return None

    def cancel_timer(self) -> None:
        """Cancel the timer for the waiter's deadline."""
        if self.timer is not None:
            self.timer.cancel()

    def grant(self, reserved: wait_queue.GrantT) -> None:
        """Resume the task with what was reserved for it.

        If the task was cancelled but is still in the queue, its future is
        cancelled already; the slot is then released because of
        :attr:`granted`.
        """
        self.granted = reserved
        with contextlib.suppress(asyncio.InvalidStateError):
            self.outcome.set_result(reserved)

    def refuse(self, error: errors.RefusalError) -> None:
        """Resume the task with an error."""
        with contextlib.suppress(asyncio.InvalidStateError):
            self.outcome.set_exception(error)
